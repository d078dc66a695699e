// The member's handling of messages from leads: hold, arm, go, renew, stop.

#include "gangs/member.h"

#include "base/invariant.h"

#include <algorithm>

namespace knapweed::gangs
{

namespace
{

/// Send times are kept for this many replies, as many as a lead may have outstanding.
constexpr std::size_t replyHistorySize = 32;

/// How long a hold waits for a part that is being stopped.
constexpr Milliseconds waitingHoldLimit {100};

template<typename Reply>
Reply replyTo(const wire::AttemptId &attempt, std::int32_t member, std::int64_t fence)
{
    Reply reply;
    reply.attempt = attempt;
    reply.member = member;
    reply.fence = fence;
    return reply;
}

void sendHoldReply(const std::string &peer, const wire::HoldRequest &request, std::int64_t fence, wire::Reason::type reason, Actions &actions)
{
    wire::HoldReply reply = replyTo<wire::HoldReply>(request.attempt, request.member, fence);
    reply.granted = reason == wire::Reason::None;
    reply.reason = reason;
    actions.push_back(SendMessage {peer, reply});
}

template<typename Request>
void sendGoReply(const std::string &peer, const Request &request, bool running, wire::Reason::type reason, Actions &actions)
{
    wire::GoReply reply = replyTo<wire::GoReply>(request.attempt, request.member, request.fence);
    reply.running = running;
    reply.reason = reason;
    actions.push_back(SendMessage {peer, reply});
}

template<typename Request>
void sendArmReply(const std::string &peer, const Request &request, bool armed, wire::Reason::type reason, Actions &actions)
{
    wire::ArmReply reply = replyTo<wire::ArmReply>(request.attempt, request.member, request.fence);
    reply.armed = armed;
    reply.reason = reason;
    actions.push_back(SendMessage {peer, reply});
}

wire::Reason::type reasonOf(wire::StopReason::type reason)
{
    switch (reason) {
    case wire::StopReason::Cancelled:
        return wire::Reason::Cancelled;
    case wire::StopReason::Preempted:
        return wire::Reason::Preempted;
    case wire::StopReason::Draining:
        return wire::Reason::Draining;
    case wire::StopReason::GangBroken:
        return wire::Reason::MemberLost;
    case wire::StopReason::Abandoned:
        return wire::Reason::Abandoned;
    }
    return wire::Reason::None;
}

/// Extends the gang lease, counted from the send time of the newest reply that the lead has received. A delayed renewal therefore never lengthens it.
void extendLease(Part &part, const wire::RenewRequest &request)
{
    const auto received = std::find_if(part.replies.begin(), part.replies.end(), [&request](const std::pair<std::int64_t, MonotonicTime> &reply) {
        return reply.first == request.heardSequence;
    });
    if (received != part.replies.end()) {
        part.leaseUntil = std::max(part.leaseUntil, received->second + std::min(Milliseconds(request.leaseMs), part.lease));
    }
}

void recordReply(Part &part, std::int64_t sequence, MonotonicTime now)
{
    part.replies.emplace_back(sequence, now);
    if (part.replies.size() > replyHistorySize) {
        part.replies.pop_front();
    }
}

} // namespace

Member::Member(CoreOptions options, WorkerSettings worker)
    : options_(std::move(options))
    , worker_(std::move(worker))
{
}

void Member::handle(MonotonicTime now, const std::string &peer, const wire::HoldRequest &request, Actions &actions)
{
    if (const Part *part = findPart(request.attempt, request.member)) {
        const bool repeated = part->phase == PartPhase::Held && part->lead == peer;
        sendHoldReply(peer, request, part->fence, repeated ? wire::Reason::None : wire::Reason::Expired, actions);
        return;
    }
    const wire::Reason::type reason = findEnded(request.attempt, request.member) ? wire::Reason::Expired : refusalReason(now, request);
    if (reason != wire::Reason::None) {
        sendHoldReply(peer, request, 0, reason, actions);
        return;
    }
    const CapacityCheck found = checkCapacity(request);
    if (found == CapacityCheck::BeingReleased) {
        waitingHolds_.push_back({peer, request, now + waitingHoldLimit});
        return;
    }
    if (found == CapacityCheck::Unavailable) {
        sendHoldReply(peer, request, 0, wire::Reason::Busy, actions);
        return;
    }
    addPart(now, peer, request);
    sendHoldReply(peer, request, highestFence_, wire::Reason::None, actions);
}

/// A hold whose accelerators are still being released waits for a short time instead of being refused. This cannot deadlock, because stopping a part never
/// waits for a hold.
void Member::retryHolds(MonotonicTime now, Actions &actions)
{
    std::vector<WaitingHold> holds = std::exchange(waitingHolds_, {});
    for (WaitingHold &hold : holds) {
        if (checkCapacity(hold.request) != CapacityCheck::BeingReleased) {
            handle(now, hold.peer, hold.request, actions);
        } else if (now >= hold.until) {
            sendHoldReply(hold.peer, hold.request, 0, wire::Reason::Busy, actions);
        } else {
            waitingHolds_.push_back(std::move(hold));
        }
    }
}

wire::Reason::type Member::refusalReason(MonotonicTime now, const wire::HoldRequest &request) const
{
    if (draining_) {
        return wire::Reason::Draining;
    }
    if (!isAvailable(now)) {
        return wire::Reason::EndpointLeaving;
    }
    // Borrowed accelerators can be reclaimed at any time, and a job that is neither repeatable nor checkpointable would then lose its work.
    if (request.borrowed && !request.spec.repeatable && !request.spec.checkpointable) {
        return wire::Reason::Reserved;
    }
    return wire::Reason::None;
}

Member::CapacityCheck Member::checkCapacity(const wire::HoldRequest &request) const
{
    const std::set<std::int32_t> wanted(request.accelerators.begin(), request.accelerators.end());
    if (wanted.size() != request.accelerators.size() || (!wanted.empty() && (*wanted.begin() < 0 || *wanted.rbegin() >= worker_.accelerators))) {
        return CapacityCheck::Unavailable;
    }
    CapacityCheck result = CapacityCheck::Available;
    std::int64_t processors = request.spec.processorsPerTask;
    std::int64_t memoryMib = request.spec.memoryMibPerTask;
    int slots = 1;
    for (const auto &[key, part] : parts_) {
        const bool overlaps = std::any_of(part.accelerators.begin(), part.accelerators.end(), [&wanted](std::int32_t accelerator) {
            return wanted.contains(accelerator);
        });
        if (overlaps && part.phase != PartPhase::Stopping) {
            return CapacityCheck::Unavailable;
        }
        result = overlaps ? CapacityCheck::BeingReleased : result;
        processors += part.spec.processorsPerTask;
        memoryMib += part.spec.memoryMibPerTask;
        slots += part.endpoint.ended ? 0 : 1;
    }
    const bool fits = processors <= worker_.processors && memoryMib <= worker_.memoryMib && slots <= endpoint_->slots;
    return fits ? result : CapacityCheck::Unavailable;
}

void Member::addPart(MonotonicTime now, const std::string &peer, const wire::HoldRequest &request)
{
    Part part;
    part.key = {attemptKey(request.attempt), request.member};
    part.lead = peer;
    part.spec = request.spec;
    part.accelerators = request.accelerators;
    part.fence = ++highestFence_;
    part.borrowed = request.borrowed;
    part.gangSize = request.gangSize;
    part.lease = Milliseconds(request.holdMs);
    part.leaseUntil = now + part.lease;
    part.endpoint.address = endpoint_->address;
    recordReply(part, 0, now);
    for (const auto &[key, other] : parts_) {
        for (const std::int32_t accelerator : other.accelerators) {
            const bool taken = std::find(part.accelerators.begin(), part.accelerators.end(), accelerator) != part.accelerators.end();
            assertInvariant(!taken, "no accelerator belongs to two parts");
        }
        assertInvariant(other.fence < part.fence, "fences only increase");
    }
    parts_.emplace(part.key, std::move(part));
    changed_ = true;
}

void Member::handle(MonotonicTime now, const std::string &peer, const wire::ArmRequest &request, Actions &actions)
{
    Part *part = findPart(request.attempt, request.member);
    if (!part || part->fence != request.fence || part->phase == PartPhase::Stopping) {
        sendArmReply(peer, request, false, part && part->phase != PartPhase::Stopping ? wire::Reason::StaleFence : wire::Reason::Expired, actions);
        return;
    }
    if (part->phase == PartPhase::Held) {
        if (!isAvailable(now)) {
            refuseArm(now, *part, draining_ ? wire::Reason::Draining : wire::Reason::EndpointLeaving, actions);
            return;
        }
        part->phase = PartPhase::Arming;
        part->lease = Milliseconds(request.leaseMs);
        advancePart(now, *part, actions);
        return;
    }
    if (part->phase != PartPhase::Arming) {
        sendArmReply(peer, request, true, wire::Reason::None, actions);
    }
}

void Member::handle(MonotonicTime now, const std::string &peer, const wire::GoRequest &request, Actions &actions)
{
    Part *part = findPart(request.attempt, request.member);
    if (!part || part->resultRecorded) {
        EndedPart *ended = findEnded(request.attempt, request.member);
        if (ended && ended->reportDue && ended->fence == request.fence) {
            sendReport(now, {attemptKey(request.attempt), request.member}, *ended, actions);
            return;
        }
        sendGoReply(peer, request, false, wire::Reason::LeaseLapsed, actions);
        return;
    }
    if (part->fence != request.fence || part->phase < PartPhase::Armed || part->phase == PartPhase::Stopping) {
        sendGoReply(peer, request, false, part->fence != request.fence ? wire::Reason::StaleFence : wire::Reason::LeaseLapsed, actions);
        return;
    }
    if (part->phase == PartPhase::Armed) {
        if (!isEndpointReady(now)) {
            sendGoReply(peer, request, false, wire::Reason::EndpointLeaving, actions);
            beginStop(now, *part, wire::Reason::EndpointLeaving, actions);
            return;
        }
        part->goReceived = true;
        part->phase = PartPhase::Starting;
        part->startedAt = now;
        part->checkpointedAt = now;
        ++startedTasks_;
        changed_ = true;
        advancePart(now, *part, actions);
        return;
    }
    if (part->phase >= PartPhase::Running) {
        sendGoReply(peer, request, true, wire::Reason::None, actions);
    }
}

void Member::handle(MonotonicTime now, const std::string &peer, const wire::RenewRequest &request, Actions &actions)
{
    Part *part = findPart(request.attempt, request.member);
    EndedPart *ended = findEnded(request.attempt, request.member);
    if (!discovery_.done && !part && !ended) {
        return; // the part may still be found at the worker and the endpoint
    }
    if (ended && ended->reportDue && ended->fence == request.fence) {
        ended->lead = peer;
        ended->reportUntil = now + options_.resultRetention;
        sendReport(now, {attemptKey(request.attempt), request.member}, *ended, actions);
        return;
    }
    const bool known = part && part->fence == request.fence && part->phase != PartPhase::Stopping;
    const bool leaving = known && part->phase < PartPhase::Starting && !isEndpointReady(now);
    const bool alive = known && !leaving && isInContact(now, *part);
    wire::RenewReply reply = replyTo<wire::RenewReply>(request.attempt, request.member, request.fence);
    reply.sequence = request.sequence;
    reply.alive = alive;
    actions.push_back(SendMessage {peer, reply});
    if (known && !alive) {
        beginStop(now, *part, leaving ? wire::Reason::EndpointLeaving : wire::Reason::Unreachable, actions);
        return;
    }
    if (alive) {
        part->lead = peer;
        extendLease(*part, request);
        recordReply(*part, request.sequence, now);
        advancePart(now, *part, actions);
    }
}

void Member::handle(MonotonicTime now, const std::string &peer, const wire::StopRequest &request, Actions &actions)
{
    std::erase_if(waitingHolds_, [&request](const WaitingHold &hold) {
        return hold.request.attempt == request.attempt && hold.request.member == request.member;
    });
    Part *part = findPart(request.attempt, request.member);
    if (part && request.fence != 0 && request.fence != part->fence) {
        return;
    }
    if (part) {
        part->stopRequested = true;
        part->lead = peer;
        const bool mayCheckpoint = request.reason == wire::StopReason::Preempted && request.graceMs > 0 && part->spec.checkpointable;
        if (mayCheckpoint && part->phase == PartPhase::Running) {
            part->phase = PartPhase::Checkpointing;
            part->graceUntil = now + Milliseconds(request.graceMs);
            part->stopReason = wire::Reason::Preempted;
            advancePart(now, *part, actions);
        } else if (!mayCheckpoint || part->phase != PartPhase::Checkpointing) {
            beginStop(now, *part, reasonOf(request.reason), actions);
        }
        return;
    }
    EndedPart *ended = findEnded(request.attempt, request.member);
    if (!ended) {
        Part unknown;
        unknown.key = {attemptKey(request.attempt), request.member};
        unknown.lead = peer;
        unknown.fence = request.fence;
        unknown.endpoint.everStarted = request.fence != 0; // the part may have run under an earlier incarnation
        ended = &recordEnd(now, unknown, false, reasonOf(request.reason), {});
    }
    if (ended->reportDue) {
        sendReport(now, {attemptKey(request.attempt), request.member}, *ended, actions);
    }
    wire::StopReply reply = replyTo<wire::StopReply>(request.attempt, request.member, request.fence);
    reply.everStarted = ended->everStarted;
    actions.push_back(SendMessage {peer, reply});
}

void Member::handle(MonotonicTime now, const std::string &peer, const wire::PartAck &ack, Actions &actions)
{
    EndedPart *ended = findEnded(ack.attempt, ack.member);
    if (ended && ended->fence == ack.fence) {
        ended->reportDue = false;
        ended->output.clear();
    }
}

Part *Member::findPart(const wire::AttemptId &attempt, std::int32_t member)
{
    const auto found = parts_.find({attemptKey(attempt), member});
    return found == parts_.end() ? nullptr : &found->second;
}

EndedPart *Member::findEnded(const wire::AttemptId &attempt, std::int32_t member)
{
    const auto found = ended_.find({attemptKey(attempt), member});
    return found == ended_.end() ? nullptr : &found->second;
}

bool Member::isInContact(MonotonicTime now, const Part &part) const
{
    if (part.phase < PartPhase::Armed) {
        return true;
    }
    return now - std::min(part.worker.lastContact, part.endpoint.lastContact) <= part.lease / contactDivisor;
}

} // namespace knapweed::gangs
