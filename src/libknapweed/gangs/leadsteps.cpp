// The lead's own steps: phase changes, repeated messages, renewals, time limits and outcomes.

#include "gangs/lead.h"

#include "base/invariant.h"

#include <algorithm>
#include <xxhash.h>

namespace knapweed::gangs
{

namespace
{

constexpr Milliseconds firstOutcomeInterval {200};
constexpr Milliseconds outcomeIntervalLimit {2000};
/// Limit of repeated StopRequests to each member after an end before go. More are not needed, because holds expire by themselves.
constexpr std::int64_t releaseAttempts = 5;

template<typename Request>
Request requestFor(const Gang &gang, std::int32_t index)
{
    Request request;
    request.attempt = attemptId(gang.key);
    request.member = index;
    request.fence = gang.members[index].fence;
    return request;
}

wire::HoldRequest holdRequest(const Gang &gang, std::int32_t index, const CoreOptions &options)
{
    wire::HoldRequest request;
    request.attempt = attemptId(gang.key);
    request.member = index;
    request.lead = options.self;
    request.spec = gang.spec;
    request.accelerators = gang.members[index].placement.accelerators;
    request.holdMs = std::min(options.holdTimeout, gang.lease).count();
    request.borrowed = gang.borrowed;
    request.gangSize = static_cast<std::int32_t>(gang.members.size());
    return request;
}

wire::StopRequest stopRequest(const Gang &gang, std::int32_t index)
{
    wire::StopRequest request = requestFor<wire::StopRequest>(gang, index);
    request.reason = gang.stopReason;
    request.graceMs = gang.grace.count();
    return request;
}

wire::PartResult partResult(const GangMember &member)
{
    wire::PartResult result;
    result.worker = member.placement.worker;
    result.output = member.report->output;
    result.length = static_cast<std::int64_t>(result.output.size());
    result.digest = static_cast<std::int64_t>(XXH3_64bits(result.output.data(), result.output.size()));
    return result;
}

bool hasSucceeded(const GangMember &member)
{
    return member.report && member.report->succeeded;
}

} // namespace

void Lead::enter(MonotonicTime now, Gang &gang, GangPhase phase, Actions &actions)
{
    assertInvariant(gang.phase <= phase && gang.phase != GangPhase::Done, "the phase of a gang only advances");
    gang.phase = phase;
    gang.enteredAt = now;
    if (phase == GangPhase::Arming) {
        gang.nextRenewal = now + gang.lease / renewalsPerLease;
    }
    gang.nextSend = now + options_.retryInterval;
    sendPending(now, gang, actions);
}

void Lead::go(MonotonicTime now, Gang &gang, Actions &actions)
{
    assertInvariant(gang.phase == GangPhase::Arming || gang.phase == GangPhase::Recording, "go is sent only from Arming or Recording");
    assertInvariant(gang.spec.repeatable || gang.phase == GangPhase::Recording, "a job that is not repeatable goes only after its start record");
    assertInvariant(now < gang.startBefore && now < oldestConfirmation(gang) + gang.lease, "go is sent only within the start limit and the gang lease");
    gang.goSent = true;
    gang.goAt = now;
    enter(now, gang, GangPhase::Going, actions);
}

void Lead::sendPending(MonotonicTime now, Gang &gang, Actions &actions)
{
    for (std::int32_t index = 0; index < static_cast<std::int32_t>(gang.members.size()); ++index) {
        const GangMember &member = gang.members[index];
        const std::string &peer = member.placement.agent;
        if (gang.phase == GangPhase::Holding && !member.granted) {
            actions.push_back(SendMessage {peer, holdRequest(gang, index, options_)});
        } else if (gang.phase == GangPhase::Arming && !member.armed) {
            wire::ArmRequest request = requestFor<wire::ArmRequest>(gang, index);
            request.leaseMs = gang.lease.count();
            actions.push_back(SendMessage {peer, request});
        } else if (gang.phase == GangPhase::Going && !member.running) {
            wire::GoRequest request = requestFor<wire::GoRequest>(gang, index);
            request.leaseMs = gang.lease.count();
            actions.push_back(SendMessage {peer, request});
        } else if (gang.phase == GangPhase::Stopping && !member.stopped) {
            actions.push_back(SendMessage {peer, stopRequest(gang, index)});
        }
    }
}

void Lead::sendRenewals(MonotonicTime now, Gang &gang, Actions &actions)
{
    ++gang.renewalSequence;
    gang.nextRenewal = now + gang.lease / renewalsPerLease;
    const Milliseconds remaining = std::chrono::duration_cast<Milliseconds>(oldestConfirmation(gang) + gang.lease - now);
    for (std::int32_t index = 0; index < static_cast<std::int32_t>(gang.members.size()); ++index) {
        GangMember &member = gang.members[index];
        if (member.report || member.stopped) {
            continue;
        }
        wire::RenewRequest request = requestFor<wire::RenewRequest>(gang, index);
        request.leaseMs = remaining.count();
        request.sequence = gang.renewalSequence;
        request.heardSequence = member.confirmedSequence;
        member.pendingRenewals.emplace_back(gang.renewalSequence, now);
        actions.push_back(SendMessage {member.placement.agent, request});
    }
}

/// The oldest confirmation among the members that still run. No member gets a lease beyond this time plus one lease, so that all stop within one lease
/// after the first of them becomes unresponsive.
MonotonicTime Lead::oldestConfirmation(const Gang &gang) const
{
    MonotonicTime oldest = MonotonicTime::max();
    for (const GangMember &member : gang.members) {
        oldest = member.report || member.stopped ? oldest : std::min(oldest, member.confirmedAt);
    }
    return oldest == MonotonicTime::max() ? MonotonicTime::max() - gang.lease : oldest;
}

void Lead::end(MonotonicTime now, Gang &gang, wire::StopReason::type stopReason, wire::Reason::type reason, const std::string &detail, Actions &actions)
{
    if (gang.phase >= GangPhase::Stopping) {
        return;
    }
    gang.stopReason = stopReason;
    gang.reason = reason;
    gang.detail = detail;
    if (gang.goSent) {
        enter(now, gang, GangPhase::Stopping, actions);
        checkFinished(now, gang, actions);
        return;
    }
    for (std::int32_t index = 0; index < static_cast<std::int32_t>(gang.members.size()); ++index) {
        actions.push_back(SendMessage {gang.members[index].placement.agent, stopRequest(gang, index)});
        gang.pendingReleases.emplace_back(index, releaseAttempts);
    }
    finish(now, gang, wire::Outcome::NotRun, reason, actions);
}

void Lead::expire(MonotonicTime now, Actions &actions)
{
    for (auto &[key, gang] : active_) {
        expireGang(now, gang, actions);
    }
}

void Lead::expireGang(MonotonicTime now, Gang &gang, Actions &actions)
{
    if (gang.phase == GangPhase::Stopping) {
        checkFinished(now, gang, actions);
        return;
    }
    if (gang.phase == GangPhase::Done) {
        return;
    }
    if (!gang.goSent && now >= gang.startBefore) {
        end(now, gang, wire::StopReason::Abandoned, wire::Reason::Expired, "not started in time", actions);
    } else if (gang.phase == GangPhase::Holding && now >= gang.enteredAt + options_.holdTimeout) {
        end(now, gang, wire::StopReason::GangBroken, wire::Reason::Unreachable, "not every member answered the hold", actions);
    } else if (gang.phase != GangPhase::Holding && now >= oldestConfirmation(gang) + gang.lease) {
        end(now, gang, wire::StopReason::GangBroken, wire::Reason::MemberLost, "a member has not been heard for a lease", actions);
    } else if ((gang.phase == GangPhase::Arming || gang.phase == GangPhase::Going) && now >= gang.enteredAt + gang.lease) {
        end(now, gang, wire::StopReason::GangBroken, wire::Reason::Unreachable, "not every member was ready within a lease", actions);
    }
}

void Lead::advance(MonotonicTime now, Actions &actions)
{
    for (auto gang = active_.begin(); gang != active_.end();) {
        advanceGang(now, gang->second, actions);
        const bool retained = now - gang->second.doneAt < options_.outcomeRetention;
        const bool closed = gang->second.phase == GangPhase::Done && gang->second.pendingReleases.empty() && (gang->second.acknowledged || !retained);
        if (!closed) {
            ++gang;
            continue;
        }
        gang->second.acknowledged = true;
        gang->second.outcome.parts.clear();
        gang->second.spec.input.clear();
        tombstoneOrder_.push_back(gang->first);
        tombstones_.insert(active_.extract(gang++));
    }
    evictTombstones(now);
}

void Lead::advanceGang(MonotonicTime now, Gang &gang, Actions &actions)
{
    // Parts that write a checkpoint keep running under their lease until the grace period ends.
    const bool inGrace = gang.phase == GangPhase::Stopping && now < gang.enteredAt + gang.grace;
    const bool renewed = (gang.phase > GangPhase::Holding && gang.phase < GangPhase::Stopping) || inGrace;
    if (renewed && now >= gang.nextRenewal) {
        sendRenewals(now, gang, actions);
    }
    if (gang.phase == GangPhase::Done && !gang.acknowledged && now >= gang.nextSend) {
        sendOutcome(now, gang, actions);
    }
    if (gang.phase == GangPhase::Done && now >= gang.enteredAt) {
        gang.enteredAt = now + options_.retryInterval;
        for (auto &[index, left] : gang.pendingReleases) {
            actions.push_back(SendMessage {gang.members[index].placement.agent, stopRequest(gang, index)});
            --left;
        }
        std::erase_if(gang.pendingReleases, [](const std::pair<std::int32_t, std::int64_t> &release) {
            return release.second <= 0;
        });
    }
    if (gang.phase < GangPhase::Done && now >= gang.nextSend) {
        gang.nextSend = now + options_.retryInterval;
        sendPending(now, gang, actions);
    }
}

void Lead::checkFinished(MonotonicTime now, Gang &gang, Actions &actions)
{
    const bool allSucceeded = std::all_of(gang.members.begin(), gang.members.end(), hasSucceeded);
    if (allSucceeded) {
        finish(now, gang, wire::Outcome::Completed, wire::Reason::None, actions);
        return;
    }
    if (gang.phase != GangPhase::Stopping) {
        return;
    }
    const bool confirmed = std::all_of(gang.members.begin(), gang.members.end(), [](const GangMember &member) {
        return member.stopped;
    });
    if (confirmed || now >= gang.enteredAt + stopTimeout(gang)) {
        finish(now, gang, outcomeOfStopped(gang, confirmed), gang.reason, actions);
    }
}

/// After this time an unresponsive member has stopped because its own lease expired, and its worker and endpoint because theirs did.
Milliseconds Lead::stopTimeout(const Gang &gang) const
{
    return gang.grace + gang.lease + 2 * options_.callTimeout;
}

wire::Outcome::type Lead::outcomeOfStopped(const Gang &gang, bool confirmed) const
{
    if (!confirmed && !gang.spec.repeatable) {
        return wire::Outcome::Unknown;
    }
    return gang.stopReason == wire::StopReason::Cancelled ? wire::Outcome::Cancelled : wire::Outcome::Failed;
}

void Lead::finish(MonotonicTime now, Gang &gang, wire::Outcome::type outcome, wire::Reason::type reason, Actions &actions)
{
    assertInvariant(outcome != wire::Outcome::NotRun || !gang.goSent, "NotRun is reported only for an attempt without go");
    assertInvariant(gang.phase != GangPhase::Done, "an attempt has only one outcome");
    gang.phase = GangPhase::Done;
    gang.enteredAt = now + options_.retryInterval;
    gang.doneAt = now;
    gang.outcomeInterval = firstOutcomeInterval;
    gang.outcome.attempt = attemptId(gang.key);
    gang.outcome.lead = options_.self;
    gang.outcome.outcome = outcome;
    gang.outcome.reason = reason;
    gang.outcome.detail = gang.detail;
    gang.outcome.runMs = gang.goSent ? std::chrono::duration_cast<Milliseconds>(now - gang.goAt).count() : 0;
    if (outcome == wire::Outcome::Completed) {
        for (GangMember &member : gang.members) {
            gang.outcome.parts.push_back(partResult(member));
            member.report->output.clear();
        }
    }
    sendOutcome(now, gang, actions);
}

void Lead::sendOutcome(MonotonicTime now, Gang &gang, Actions &actions)
{
    gang.nextSend = now + gang.outcomeInterval;
    gang.outcomeInterval = std::min(2 * gang.outcomeInterval, outcomeIntervalLimit);
    actions.push_back(SendMessage {gang.home, gang.outcome});
}

/// Records a tombstone for an unknown attempt, so that a late request cannot start it.
Gang &Lead::addTombstone(MonotonicTime now, const wire::AttemptId &attempt, const std::string &home, bool neverStarted)
{
    Gang gang;
    gang.key = attemptKey(attempt);
    gang.home = home;
    gang.phase = GangPhase::Done;
    gang.doneAt = now;
    gang.acknowledged = true;
    gang.outcome.attempt = attempt;
    gang.outcome.lead = options_.self;
    gang.outcome.outcome = neverStarted ? wire::Outcome::NotRun : wire::Outcome::Unknown;
    gang.outcome.reason = wire::Reason::Abandoned;
    const AttemptKey key = gang.key;
    tombstoneOrder_.push_back(key);
    return tombstones_.emplace(key, std::move(gang)).first->second;
}

void Lead::evictTombstones(MonotonicTime now)
{
    while (!tombstoneOrder_.empty()) {
        const auto oldest = tombstones_.find(tombstoneOrder_.front());
        if (oldest != tombstones_.end() && now - oldest->second.doneAt <= options_.tombstoneRetention) {
            return;
        }
        if (oldest != tombstones_.end()) {
            tombstones_.erase(oldest);
        }
        tombstoneOrder_.pop_front();
    }
}

void Lead::drain(MonotonicTime now, Actions &actions)
{
    draining_ = true;
    for (auto &[key, gang] : active_) {
        if (!gang.goSent) {
            end(now, gang, wire::StopReason::Draining, wire::Reason::Draining, "the lead is stopping", actions);
        }
    }
}

void Lead::stopAll(MonotonicTime now, Actions &actions)
{
    for (auto &[key, gang] : active_) {
        end(now, gang, wire::StopReason::Draining, wire::Reason::Draining, "the lead is stopping", actions);
    }
}

std::size_t Lead::activeGangCount() const
{
    return active_.size();
}

const std::map<AttemptKey, Gang> &Lead::gangs() const
{
    return active_;
}

} // namespace knapweed::gangs
