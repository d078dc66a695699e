// The lead of gangs: obtains holds from all members, arms them, appends a start record for jobs that are not repeatable, sends go, renews the gang lease,
// and reports one outcome until it is acknowledged. Performs no I/O and reads no clock: time and events are passed in, actions are returned.
#pragma once

#include "gangs/gang.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace knapweed::gangs
{

class Lead
{
public:
    /// @p nonce returns a new random number for each start record.
    Lead(CoreOptions options, std::function<std::int64_t()> nonce);

    /// Ends gangs whose leases or time limits have expired. Must run before each event is handled, because the process may have been paused.
    void expire(MonotonicTime now, Actions &actions);
    /// Repeats unanswered messages and renews gang leases.
    void advance(MonotonicTime now, Actions &actions);

    void handle(MonotonicTime now, const std::string &peer, const wire::GangRequest &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::HoldReply &reply, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::ArmReply &reply, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::GoReply &reply, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::RenewReply &reply, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::PartReport &report, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::StopReply &reply, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::EndAttempt &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::AttemptQuery &query, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::OutcomeAck &ack, Actions &actions);
    void handle(MonotonicTime now, const StartDecision &decision, Actions &actions);

    /// Accepts no more gangs and ends those for which go has not been sent.
    void drain(MonotonicTime now, Actions &actions);
    void stopAll(MonotonicTime now, Actions &actions);

    /// Number of gangs that are not finished or whose outcome is not acknowledged.
    std::size_t activeGangCount() const;
    const std::map<AttemptKey, Gang> &gangs() const;

private:
    Gang *findGang(const wire::AttemptId &attempt);
    GangMember *findMember(Gang &gang, const std::string &peer, std::int32_t member);
    void enter(MonotonicTime now, Gang &gang, GangPhase phase, Actions &actions);
    void advanceGang(MonotonicTime now, Gang &gang, Actions &actions);
    void sendPending(MonotonicTime now, Gang &gang, Actions &actions);
    void sendRenewals(MonotonicTime now, Gang &gang, Actions &actions);
    MonotonicTime oldestConfirmation(const Gang &gang) const;
    void go(MonotonicTime now, Gang &gang, Actions &actions);
    /// Before go, finishes the gang immediately and keeps it as a tombstone. After go, stops all members.
    void end(MonotonicTime now, Gang &gang, wire::StopReason::type stopReason, wire::Reason::type reason, const std::string &detail, Actions &actions);
    void expireGang(MonotonicTime now, Gang &gang, Actions &actions);
    void checkFinished(MonotonicTime now, Gang &gang, Actions &actions);
    void finish(MonotonicTime now, Gang &gang, wire::Outcome::type outcome, wire::Reason::type reason, Actions &actions);
    wire::Outcome::type outcomeOfStopped(const Gang &gang, bool confirmed) const;
    void resendOutcome(MonotonicTime now, Gang &gang, const std::string &requester, Actions &actions);
    void sendOutcome(MonotonicTime now, Gang &gang, Actions &actions);
    Gang &addTombstone(MonotonicTime now, const wire::AttemptId &attempt, const std::string &home, bool neverStarted);
    void sendEndReply(const std::string &peer, const Gang &gang, Actions &actions) const;
    Milliseconds stopTimeout(const Gang &gang) const;
    void evictTombstones(MonotonicTime now);

    CoreOptions options_;
    std::function<std::int64_t()> nonce_;
    std::map<AttemptKey, Gang> active_; ///< gangs that are not finished or not acknowledged; see gang.h for the invariants
    std::map<AttemptKey, Gang> tombstones_; ///< acknowledged or no longer retained outcomes; invariant: disjoint from active_, keys are in tombstoneOrder_
    std::deque<AttemptKey> tombstoneOrder_; ///< oldest first
    bool draining_ = false;
};

} // namespace knapweed::gangs
