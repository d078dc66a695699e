// The member's handling of its worker and endpoint: answers, announcements, and the leases and parts that exist when the process starts.

#include "gangs/member.h"

#include <algorithm>

namespace knapweed::gangs
{

namespace
{

bool isTerminal(EndpointPartState state)
{
    return state == EndpointPartState::Completed || state == EndpointPartState::Failed || state == EndpointPartState::Stopped;
}

CallState &callState(Part &part, WorkerCall::Kind kind)
{
    switch (kind) {
    case WorkerCall::Kind::Start:
        return part.worker.start;
    case WorkerCall::Kind::Checkpoint:
        return part.worker.checkpoint;
    case WorkerCall::Kind::End:
        return part.worker.end;
    default:
        return part.worker.grant;
    }
}

CallState &callState(Part &part, EndpointCall::Kind kind)
{
    switch (kind) {
    case EndpointCall::Kind::Start:
        return part.endpoint.start;
    case EndpointCall::Kind::Watch:
        return part.endpoint.watch;
    case EndpointCall::Kind::Renew:
        return part.endpoint.renew;
    case EndpointCall::Kind::Stop:
        return part.endpoint.stop;
    default:
        return part.endpoint.reserve;
    }
}

void completeCall(MonotonicTime now, CallState &state, bool failed, Milliseconds retryInterval)
{
    state.inFlight = false;
    state.notBefore = failed ? now + retryInterval : now;
}

} // namespace

void Member::handle(MonotonicTime now, const WorkerAnswer &answer, Actions &actions)
{
    const bool unreachable = answer.status == WorkerAnswer::Status::Unreachable;
    if (answer.kind == WorkerCall::Kind::List) {
        completeCall(now, discovery_.workerList, unreachable, options_.callRetryInterval);
        if (!unreachable) {
            highestFence_ = std::max(highestFence_, answer.highestFence);
            discovery_.worker = answer;
            reconcile(now);
        }
        return;
    }
    const std::optional<PartKey> key = parsePartId(answer.lease);
    const auto found = key ? parts_.find(*key) : parts_.end();
    if (found == parts_.end()) {
        handleOrphan(answer.lease, true, !unreachable, now);
        return;
    }
    Part &part = found->second;
    completeCall(now, callState(part, answer.kind), unreachable, options_.callRetryInterval);
    if (!unreachable) {
        part.worker.lastContact = std::max(part.worker.lastContact, answer.sentAt);
    }
    if (answer.kind == WorkerCall::Kind::Grant) {
        handleGrant(now, part, answer, actions);
    } else if (answer.kind == WorkerCall::Kind::Start) {
        handleWorkerStart(now, part, answer, actions);
    } else if (answer.kind == WorkerCall::Kind::Checkpoint && !unreachable && part.phase == PartPhase::Checkpointing) {
        part.checkpointedAt = now;
        beginStop(now, part, wire::Reason::Preempted, actions);
    } else if (answer.kind == WorkerCall::Kind::End && !unreachable) {
        part.worker.ended = true;
        advancePart(now, part, actions);
    }
}

void Member::handleGrant(MonotonicTime now, Part &part, const WorkerAnswer &answer, Actions &actions)
{
    if (part.phase == PartPhase::Stopping) {
        return;
    }
    if (answer.status == WorkerAnswer::Status::Ok) {
        part.worker.granted = true;
        advancePart(now, part, actions);
        return;
    }
    if (answer.status == WorkerAnswer::Status::Unreachable) {
        part.worker.requestedUntil = MonotonicTime();
        return;
    }
    if (answer.status == WorkerAnswer::Status::StaleFence) {
        discovery_ = {}; // another process has used this worker: list its fences before granting the next hold
    }
    const bool stale = answer.status == WorkerAnswer::Status::StaleFence;
    const bool expired = answer.status == WorkerAnswer::Status::LeaseExpired;
    const wire::Reason::type reason = stale ? wire::Reason::StaleFence : expired ? wire::Reason::LeaseLapsed : wire::Reason::Busy;
    if (part.phase == PartPhase::Arming) {
        refuseArm(now, part, reason, actions);
    } else {
        beginStop(now, part, reason, actions);
    }
}

void Member::handleWorkerStart(MonotonicTime now, Part &part, const WorkerAnswer &answer, Actions &actions)
{
    if (part.phase != PartPhase::Starting || answer.status == WorkerAnswer::Status::Unreachable) {
        return;
    }
    if (answer.status != WorkerAnswer::Status::Ok) {
        ++failedTasks_;
        const bool failed = answer.status == WorkerAnswer::Status::TaskFailed;
        EndedPart &ended = recordEnd(now, part, false, failed ? wire::Reason::WorkerFailed : wire::Reason::LeaseLapsed, {});
        ended.reportDue = true;
        sendReport(now, part.key, ended, actions);
        beginStop(now, part, ended.reason, actions);
        return;
    }
    part.phase = PartPhase::Running;
    wire::GoReply reply;
    reply.attempt = attemptId(part.key.attempt);
    reply.member = part.key.member;
    reply.fence = part.fence;
    reply.running = true;
    advancePart(now, part, actions);
    actions.push_back(SendMessage {part.lead, reply});
}

void Member::handle(MonotonicTime now, const EndpointAnswer &answer, Actions &actions)
{
    const bool unreachable = answer.status == EndpointAnswer::Status::Unreachable;
    if (answer.kind == EndpointCall::Kind::List) {
        completeCall(now, discovery_.endpointList, unreachable, options_.callRetryInterval);
        if (!unreachable) {
            discovery_.endpoint = answer;
            reconcile(now);
        }
        return;
    }
    const std::optional<PartKey> key = parsePartId(answer.part);
    const auto found = key ? parts_.find(*key) : parts_.end();
    if (found == parts_.end()) {
        handleOrphan(answer.part, false, !unreachable, now);
        return;
    }
    Part &part = found->second;
    completeCall(now, callState(part, answer.kind), unreachable, options_.callRetryInterval);
    if (!unreachable) {
        part.endpoint.lastContact = std::max(part.endpoint.lastContact, answer.sentAt);
    }
    switch (answer.kind) {
    case EndpointCall::Kind::Reserve:
        handleReserve(now, part, answer, actions);
        break;
    case EndpointCall::Kind::Start:
    case EndpointCall::Kind::Watch:
        handleProgress(now, part, answer, actions);
        break;
    case EndpointCall::Kind::Renew:
        part.endpoint.requestedUntil = unreachable ? MonotonicTime() : part.endpoint.requestedUntil;
        break;
    case EndpointCall::Kind::Stop:
        if (!unreachable) {
            part.endpoint.everStarted = part.endpoint.startSent && (answer.everStarted || answer.status != EndpointAnswer::Status::Ok);
            part.endpoint.ended = true;
            advancePart(now, part, actions);
        }
        break;
    case EndpointCall::Kind::List:
        break;
    }
}

void Member::handleReserve(MonotonicTime now, Part &part, const EndpointAnswer &answer, Actions &actions)
{
    if (part.phase != PartPhase::Arming || answer.status == EndpointAnswer::Status::Unreachable) {
        return;
    }
    if (answer.status != EndpointAnswer::Status::Ok) {
        refuseArm(now, part, answer.status == EndpointAnswer::Status::NoSlot ? wire::Reason::Busy : wire::Reason::EndpointFailed, actions);
        return;
    }
    part.endpoint.reserved = true;
    advancePart(now, part, actions);
}

void Member::handleProgress(MonotonicTime now, Part &part, const EndpointAnswer &answer, Actions &actions)
{
    if (answer.status == EndpointAnswer::Status::Unreachable || part.resultRecorded) {
        return;
    }
    const bool lost = answer.status != EndpointAnswer::Status::Ok;
    if (!lost && !isTerminal(answer.state)) {
        part.endpoint.startAnswered = true;
        advancePart(now, part, actions);
        return;
    }
    part.endpoint.ended = true;
    if (part.phase == PartPhase::Stopping) {
        advancePart(now, part, actions);
        return;
    }
    const bool completed = !lost && answer.state == EndpointPartState::Completed;
    const bool failed = !lost && answer.state == EndpointPartState::Failed;
    failedTasks_ += failed ? 1 : 0;
    const wire::Reason::type reason = completed ? wire::Reason::None : failed ? wire::Reason::EndpointFailed : wire::Reason::LeaseLapsed;
    EndedPart &ended = recordEnd(now, part, completed, reason, completed ? answer.output : std::string());
    ended.reportDue = true;
    sendReport(now, part.key, ended, actions);
    beginStop(now, part, reason, actions);
}

void Member::handle(MonotonicTime now, const EndpointAnnouncement &announcement, Actions &actions)
{
    const bool same =
        endpoint_ && endpoint_->address == announcement.address && endpoint_->ready == announcement.ready && endpoint_->slots == announcement.slots;
    changed_ = changed_ || !same;
    endpoint_ = announcement;
    endpointSeenAt_ = now;
    if (!discovery_.done) {
        discover(now, actions);
    }
}

void Member::discover(MonotonicTime now, Actions &actions)
{
    if (!discovery_.worker && !discovery_.workerList.inFlight && now >= discovery_.workerList.notBefore) {
        discovery_.workerList.inFlight = true;
        actions.push_back(WorkerCall {});
    }
    if (endpoint_ && !discovery_.endpoint && !discovery_.endpointList.inFlight && now >= discovery_.endpointList.notBefore) {
        discovery_.endpointList.inFlight = true;
        EndpointCall call;
        call.target = endpoint_->address;
        actions.push_back(std::move(call));
    }
    stopOrphans(now, actions);
}

void Member::reconcile(MonotonicTime now)
{
    if (discovery_.done || !discovery_.worker || !discovery_.endpoint) {
        return;
    }
    std::map<std::string, EndpointPartState> atEndpoint;
    for (const EndpointPart &part : discovery_.endpoint->parts) {
        atEndpoint.emplace(part.part, part.state);
    }
    for (const WorkerLease &lease : discovery_.worker->leases) {
        const std::optional<PartKey> key = parsePartId(lease.lease);
        const auto state = atEndpoint.find(lease.lease);
        // A part that the endpoint no longer lists has ended. Watch returns its result.
        const bool started = state == atEndpoint.end() || state->second == EndpointPartState::Running;
        if (key && parts_.contains(*key)) {
            continue;
        }
        if (key && started && lease.started && lease.remaining > Milliseconds(0) && !ended_.contains(*key)) {
            adopt(now, *key, lease);
            continue;
        }
        Orphan &orphan = orphans_[lease.lease];
        orphan.fence = lease.fence;
        orphan.atWorker = true;
    }
    for (const auto &[id, state] : atEndpoint) {
        const std::optional<PartKey> key = parsePartId(id);
        if (!key || !parts_.contains(*key)) {
            orphans_[id].atEndpoint = true;
        }
    }
    discovery_.done = orphans_.empty();
    changed_ = true;
}

void Member::adopt(MonotonicTime now, const PartKey &key, const WorkerLease &lease)
{
    Part part;
    part.key = key;
    part.fence = lease.fence;
    part.accelerators = lease.accelerators;
    part.phase = PartPhase::Running;
    part.lease = lease.remaining;
    part.leaseUntil = now + lease.remaining;
    part.startedAt = now;
    part.checkpointedAt = now;
    part.goReceived = true;
    part.worker.requested = part.worker.granted = part.worker.started = true;
    part.worker.requestedUntil = part.leaseUntil;
    part.worker.mayRunUntil = part.leaseUntil + options_.callTimeout;
    part.worker.lastContact = now;
    part.endpoint.address = endpoint_->address;
    part.endpoint.requested = part.endpoint.reserved = part.endpoint.startSent = part.endpoint.startAnswered = part.endpoint.everStarted = true;
    part.endpoint.requestedUntil = part.leaseUntil;
    part.endpoint.mayRunUntil = part.leaseUntil + options_.callTimeout;
    part.endpoint.lastContact = now;
    parts_.emplace(key, std::move(part));
}

void Member::stopOrphans(MonotonicTime now, Actions &actions)
{
    for (auto &[id, orphan] : orphans_) {
        if (orphan.atWorker && !orphan.workerEnd.inFlight && now >= orphan.workerEnd.notBefore) {
            orphan.workerEnd.inFlight = true;
            WorkerCall call;
            call.kind = WorkerCall::Kind::End;
            call.lease = id;
            call.fence = orphan.fence;
            actions.push_back(std::move(call));
        }
        if (orphan.atEndpoint && endpoint_ && !orphan.endpointStop.inFlight && now >= orphan.endpointStop.notBefore) {
            orphan.endpointStop.inFlight = true;
            EndpointCall call;
            call.kind = EndpointCall::Kind::Stop;
            call.target = endpoint_->address;
            call.part = id;
            actions.push_back(std::move(call));
        }
    }
}

bool Member::handleOrphan(const std::string &id, bool atWorker, bool ok, MonotonicTime now)
{
    const auto found = orphans_.find(id);
    if (found == orphans_.end()) {
        return false;
    }
    Orphan &orphan = found->second;
    completeCall(now, atWorker ? orphan.workerEnd : orphan.endpointStop, !ok, options_.callRetryInterval);
    if (ok) {
        (atWorker ? orphan.atWorker : orphan.atEndpoint) = false;
    }
    if (!orphan.atWorker && !orphan.atEndpoint) {
        orphans_.erase(found);
        discovery_.done = orphans_.empty();
        changed_ = true;
    }
    return true;
}

} // namespace knapweed::gangs
