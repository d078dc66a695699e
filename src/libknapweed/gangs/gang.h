// The state of one attempt, kept by the lead of its gang.
#pragma once

#include "gangs/actions.h"
#include "gangs/attempt.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::gangs
{

/// A gang only advances in this order. It can skip to Stopping or Done from any earlier phase, and Done is final.
enum class GangPhase {
    Holding, ///< waits until every member has granted its hold
    Arming, ///< waits until every member has acquired its worker lease and endpoint slot
    Recording, ///< only for jobs that are not repeatable: waits for the verdict on the start record
    Going, ///< go has been sent; waits until every member has confirmed it
    Running, ///< every member has confirmed that its part runs
    Stopping, ///< only after go: waits until every member has confirmed the end of its part or its lease has certainly expired
    Done, ///< the outcome is final; a gang that ended before go remains as a tombstone
};

/// The lead's state for one member.
struct GangMember
{
    wire::Member placement;
    std::int64_t fence = 0;
    bool granted = false;
    bool armed = false;
    bool running = false;
    bool stopped = false;
    bool everStarted = false;
    std::optional<wire::PartReport> report;
    MonotonicTime confirmedAt; ///< send time of the newest renewal answered as alive; until then, of the first hold request
    std::int64_t confirmedSequence = 0; ///< sequence of the newest renewal answered as alive
    std::deque<std::pair<std::int64_t, MonotonicTime>> pendingRenewals; ///< sequence and send time of unanswered renewals
};

struct Gang
{
    AttemptKey key;
    wire::JobSpec spec;
    std::string home;
    std::vector<GangMember> members;
    Milliseconds lease {0};
    bool borrowed = false;
    GangPhase phase = GangPhase::Holding;
    MonotonicTime enteredAt; ///< when the phase began; in Done, when pending releases are sent next
    MonotonicTime startBefore; ///< invariant: go is never sent at or after this time
    MonotonicTime nextSend; ///< when unanswered messages are sent again
    MonotonicTime nextRenewal;
    std::int64_t renewalSequence = 0; ///< sequence of the newest renewal
    std::int64_t startNonce = 0;
    bool goSent = false; ///< invariant: not changed in Done; once set, the outcome is never NotRun
    MonotonicTime goAt;
    wire::StopReason::type stopReason = wire::StopReason::GangBroken;
    wire::Reason::type reason = wire::Reason::None; ///< why the gang is being stopped
    std::string detail;
    Milliseconds grace {0};
    std::vector<std::pair<std::int32_t, std::int64_t>> pendingReleases; ///< after an end before go: members that have not confirmed the stop, and repeats left
    wire::OutcomeReport outcome; ///< valid in phase Done
    bool acknowledged = false;
    MonotonicTime doneAt;
    Milliseconds outcomeInterval {0};
};

} // namespace knapweed::gangs
