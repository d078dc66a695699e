// The state of one attempt at its lead.
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

/// Phases follow each other in this order. Stopping and Done can be reached from each of them; nothing leaves Done.
enum class GangPhase {
    Holding, ///< every member is asked for a hold
    Arming, ///< every member takes its worker lease and its endpoint slot
    Recording, ///< not repeatable only: the start record is on its way to the log and back
    Going, ///< go has been sent to all; not all have confirmed
    Running, ///< all members run
    Stopping, ///< after go only: waits until every member has confirmed its end or its lease has certainly lapsed
    Done, ///< the outcome is known; for a gang without go it is the tombstone
};

/// What the lead knows of one member.
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
    MonotonicTime confirmedAt; ///< when the newest renewal that was answered as alive left here; before that, when the hold was first asked for
    std::int64_t confirmedSequence = 0;
    std::deque<std::pair<std::int64_t, MonotonicTime>> pendingRenewals; ///< sequence and time of those that are not answered
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
    MonotonicTime enteredAt; ///< when the phase began
    MonotonicTime startBefore; ///< invariant: no go is sent at or after this
    MonotonicTime nextSend; ///< when unanswered messages are sent again
    MonotonicTime nextRenewal;
    std::int64_t renewalSequence = 0; ///< of the newest renewal
    std::int64_t startNonce = 0;
    bool goSent = false; ///< invariant: never set in Done; once set, the outcome is not NotRun
    MonotonicTime goAt;
    wire::StopReason::type stopReason = wire::StopReason::GangBroken;
    wire::Reason::type reason = wire::Reason::None; ///< why it is being stopped
    std::string detail;
    Milliseconds grace {0};
    std::vector<std::pair<std::int32_t, std::int64_t>> pendingReleases; ///< members to be told that the gang ended before go, and how often still
    wire::OutcomeReport outcome; ///< set in Done
    bool acknowledged = false;
    MonotonicTime doneAt;
    Milliseconds outcomeInterval {0};
};

} // namespace knapweed::gangs
