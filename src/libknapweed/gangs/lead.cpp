// The lead's handling of messages from home entries and members.

#include "gangs/lead.h"

#include "base/invariant.h"

#include <algorithm>

namespace knapweed::gangs
{

namespace
{

Gang makeGang(MonotonicTime now, const wire::GangRequest &request, const CoreOptions &options)
{
    Gang gang;
    gang.key = attemptKey(request.attempt);
    gang.spec = request.spec;
    gang.home = request.home;
    gang.lease = Milliseconds(std::max<std::int64_t>(request.leaseMs, 1));
    gang.borrowed = request.borrowed;
    gang.startBefore = now + (request.startWithinMs > 0 ? Milliseconds(request.startWithinMs) : options.defaultStartWithin);
    for (const wire::Member &placement : request.members) {
        GangMember member;
        member.placement = placement;
        member.confirmedAt = now;
        gang.members.push_back(std::move(member));
    }
    return gang;
}

template<typename Request>
bool isSameIncarnation(const Request &request, const CoreOptions &options)
{
    return request.leadIncarnation == options.incarnation;
}

} // namespace

Lead::Lead(CoreOptions options, std::function<std::int64_t()> nonce)
    : options_(std::move(options))
    , nonce_(std::move(nonce))
{
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::GangRequest &request, Actions &actions)
{
    wire::GangAck ack;
    ack.attempt = request.attempt;
    actions.push_back(SendMessage {peer, ack});
    if (Gang *known = findGang(request.attempt)) {
        known->home = request.home;
        if (known->phase == GangPhase::Done) {
            resendOutcome(now, *known, request.home, actions);
        }
        return;
    }
    Gang &gang = active_.emplace(attemptKey(request.attempt), makeGang(now, request, options_)).first->second;
    if (request.leadIncarnation != 0 && !isSameIncarnation(request, options_)) {
        gang.detail = "the lead has restarted since the attempt was made";
        finish(now, gang, wire::Outcome::Unknown, wire::Reason::MemberLost, actions);
        return;
    }
    if (gang.members.empty() || gang.members.front().placement.agent != options_.self) {
        end(now, gang, wire::StopReason::GangBroken, wire::Reason::Unreachable, "this agent is not the first member", actions);
        return;
    }
    if (draining_) {
        end(now, gang, wire::StopReason::Draining, wire::Reason::Draining, "the lead is stopping", actions);
        return;
    }
    enter(now, gang, GangPhase::Holding, actions);
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::HoldReply &reply, Actions &actions)
{
    Gang *gang = findGang(reply.attempt);
    GangMember *member = gang ? findMember(*gang, peer, reply.member) : nullptr;
    if (!member || gang->phase != GangPhase::Holding || member->granted) {
        return;
    }
    if (!reply.granted) {
        end(now, *gang, wire::StopReason::GangBroken, reply.reason, "hold refused by " + peer, actions);
        return;
    }
    member->granted = true;
    member->fence = reply.fence;
    if (std::all_of(gang->members.begin(), gang->members.end(), [](const GangMember &each) {
            return each.granted;
        })) {
        enter(now, *gang, GangPhase::Arming, actions);
    }
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::ArmReply &reply, Actions &actions)
{
    Gang *gang = findGang(reply.attempt);
    GangMember *member = gang ? findMember(*gang, peer, reply.member) : nullptr;
    if (!member || gang->phase != GangPhase::Arming || member->fence != reply.fence) {
        return;
    }
    if (!reply.armed) {
        end(now, *gang, wire::StopReason::GangBroken, reply.reason, "arm refused by " + peer, actions);
        return;
    }
    member->armed = true;
    const bool allArmed = std::all_of(gang->members.begin(), gang->members.end(), [](const GangMember &each) {
        return each.armed;
    });
    if (!allArmed) {
        return;
    }
    if (gang->spec.repeatable) {
        go(now, *gang, actions);
        return;
    }
    gang->startNonce = nonce_();
    enter(now, *gang, GangPhase::Recording, actions);
    AppendStart append;
    append.record.attempt = reply.attempt;
    append.record.lead = options_.self;
    append.record.leadNonce = gang->startNonce;
    actions.push_back(std::move(append));
}

void Lead::handle(MonotonicTime now, const StartDecision &decision, Actions &actions)
{
    Gang *gang = findGang(decision.attempt);
    if (!gang || gang->phase != GangPhase::Recording || gang->startNonce != decision.leadNonce) {
        return;
    }
    switch (decision.verdict) {
    case StartVerdict::Valid:
        go(now, *gang, actions);
        return;
    case StartVerdict::Abandoned:
        end(now, *gang, wire::StopReason::Abandoned, wire::Reason::Abandoned, "an abandon record came first", actions);
        return;
    case StartVerdict::OtherAttempt:
        end(now, *gang, wire::StopReason::GangBroken, wire::Reason::NotFirst, "another attempt of the job has started", actions);
        return;
    case StartVerdict::NotOwner:
        end(now, *gang, wire::StopReason::Abandoned, wire::Reason::NotFirst, "the job has another owner or its outcome", actions);
        return;
    case StartVerdict::NotAppended:
        end(now, *gang, wire::StopReason::GangBroken, wire::Reason::LogUnavailable, "the start record could not be queued", actions);
        return;
    case StartVerdict::OtherIncarnation:
        gang->detail = "an earlier process of the lead has started this attempt";
        finish(now, *gang, wire::Outcome::Unknown, wire::Reason::MemberLost, actions);
        return;
    }
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::GoReply &reply, Actions &actions)
{
    Gang *gang = findGang(reply.attempt);
    GangMember *member = gang ? findMember(*gang, peer, reply.member) : nullptr;
    if (!member || member->fence != reply.fence || member->report || (gang->phase != GangPhase::Going && gang->phase != GangPhase::Running)) {
        return;
    }
    if (!reply.running) {
        end(now, *gang, wire::StopReason::GangBroken, reply.reason, "go refused by " + peer, actions);
        return;
    }
    member->running = true;
    const bool allRun = std::all_of(gang->members.begin(), gang->members.end(), [](const GangMember &each) {
        return each.running;
    });
    if (allRun && gang->phase == GangPhase::Going) {
        enter(now, *gang, GangPhase::Running, actions);
    }
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::RenewReply &reply, Actions &actions)
{
    Gang *gang = findGang(reply.attempt);
    GangMember *member = gang ? findMember(*gang, peer, reply.member) : nullptr;
    if (!member || member->fence != reply.fence || member->report || gang->phase == GangPhase::Done) {
        return;
    }
    if (!reply.alive) {
        end(now, *gang, wire::StopReason::GangBroken, wire::Reason::MemberLost, peer + " has lost its part", actions);
        return;
    }
    while (!member->pendingRenewals.empty() && member->pendingRenewals.front().first <= reply.sequence) {
        if (member->pendingRenewals.front().first == reply.sequence) {
            member->confirmedAt = member->pendingRenewals.front().second;
            member->confirmedSequence = reply.sequence;
        }
        member->pendingRenewals.pop_front();
    }
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::PartReport &report, Actions &actions)
{
    wire::PartAck ack;
    ack.attempt = report.attempt;
    ack.member = report.member;
    ack.fence = report.fence;
    actions.push_back(SendMessage {peer, ack});
    Gang *gang = findGang(report.attempt);
    GangMember *member = gang ? findMember(*gang, peer, report.member) : nullptr;
    if (!member || member->fence != report.fence || member->report || !gang->goSent || gang->phase == GangPhase::Done) {
        return;
    }
    member->report = report;
    member->running = true;
    member->stopped = true;
    if (!report.succeeded && gang->phase != GangPhase::Stopping) {
        end(now, *gang, wire::StopReason::GangBroken, report.reason, "the part on " + member->placement.worker + " failed", actions);
        return;
    }
    checkFinished(now, *gang, actions);
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::StopReply &reply, Actions &actions)
{
    Gang *gang = findGang(reply.attempt);
    GangMember *member = gang ? findMember(*gang, peer, reply.member) : nullptr;
    if (!member) {
        return;
    }
    std::erase_if(gang->pendingReleases, [&reply](const std::pair<std::int32_t, std::int64_t> &release) {
        return release.first == reply.member;
    });
    if (gang->phase == GangPhase::Stopping && member->fence == reply.fence) {
        member->stopped = true;
        member->everStarted = reply.everStarted;
        checkFinished(now, *gang, actions);
    }
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::EndAttempt &request, Actions &actions)
{
    const std::string requester = request.replyTo.empty() ? peer : request.replyTo;
    Gang *gang = findGang(request.attempt);
    if (!gang) {
        sendEndReply(requester, addTombstone(now, request.attempt, requester, isSameIncarnation(request, options_)), actions);
        return;
    }
    // A job that is neither repeatable nor checkpointable is not preempted: its work would be lost and could not be run again.
    const bool mayPreempt = gang->spec.repeatable || gang->spec.checkpointable;
    const bool refused = request.reason == wire::StopReason::Preempted && !mayPreempt;
    if (gang->phase < GangPhase::Stopping && !refused) {
        gang->grace = Milliseconds(std::max<std::int64_t>(request.graceMs, 0));
        const bool preempted = request.reason == wire::StopReason::Preempted;
        const bool abandoned = request.reason == wire::StopReason::Abandoned;
        const wire::Reason::type reason = preempted ? wire::Reason::Preempted : abandoned ? wire::Reason::Abandoned : wire::Reason::Cancelled;
        end(now, *gang, request.reason, reason, "asked for by " + requester, actions);
    }
    sendEndReply(requester, *gang, actions);
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::AttemptQuery &query, Actions &actions)
{
    Gang *gang = findGang(query.attempt);
    if (!gang) {
        sendEndReply(query.home, addTombstone(now, query.attempt, query.home, isSameIncarnation(query, options_)), actions);
        return;
    }
    gang->home = query.home;
    if (gang->phase == GangPhase::Done && !gang->members.empty()) {
        resendOutcome(now, *gang, query.home, actions);
        return;
    }
    sendEndReply(query.home, *gang, actions);
}

void Lead::handle(MonotonicTime now, const std::string &peer, const wire::OutcomeAck &ack, Actions &actions)
{
    Gang *gang = findGang(ack.attempt);
    if (gang && gang->phase == GangPhase::Done) {
        gang->acknowledged = true;
        gang->outcome.parts.clear();
    }
}

/// The outputs of an acknowledged outcome have been discarded, so a completed outcome is not sent again without them.
void Lead::resendOutcome(MonotonicTime now, Gang &gang, const std::string &requester, Actions &actions)
{
    if (gang.acknowledged && gang.outcome.outcome == wire::Outcome::Completed) {
        sendEndReply(requester, gang, actions);
        return;
    }
    sendOutcome(now, gang, actions);
}

void Lead::sendEndReply(const std::string &peer, const Gang &gang, Actions &actions) const
{
    wire::EndAttemptReply reply;
    reply.attempt = attemptId(gang.key);
    reply.finished = gang.phase == GangPhase::Done;
    reply.neverStarted = reply.finished && gang.outcome.outcome == wire::Outcome::NotRun;
    assertInvariant(!reply.neverStarted || !gang.goSent, "neverStarted is reported only for an attempt without go");
    actions.push_back(SendMessage {peer, reply});
}

Gang *Lead::findGang(const wire::AttemptId &attempt)
{
    const AttemptKey key = attemptKey(attempt);
    if (const auto found = active_.find(key); found != active_.end()) {
        return &found->second;
    }
    const auto found = tombstones_.find(key);
    return found == tombstones_.end() ? nullptr : &found->second;
}

GangMember *Lead::findMember(Gang &gang, const std::string &peer, std::int32_t member)
{
    if (member < 0 || static_cast<std::size_t>(member) >= gang.members.size() || gang.members[member].placement.agent != peer) {
        return nullptr;
    }
    return &gang.members[member];
}

} // namespace knapweed::gangs
