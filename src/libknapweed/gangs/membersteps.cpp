// The member's own steps: arming, renewing, running and stopping parts, and repeating unacknowledged reports.

#include "gangs/member.h"

#include "base/invariant.h"

#include <algorithm>

namespace knapweed::gangs
{

namespace
{

constexpr Milliseconds reportRetryInterval {200};

/// The remaining gang lease. Worker and endpoint never get a longer lease, so that they stop the part when this process cannot.
Milliseconds remainingLease(MonotonicTime now, const Part &part)
{
    return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(part.leaseUntil - now));
}

bool isDue(MonotonicTime now, const CallState &state)
{
    return !state.inFlight && now >= state.notBefore;
}

} // namespace

void Member::expire(MonotonicTime now, Actions &actions)
{
    std::vector<PartKey> expired;
    for (const auto &[key, part] : parts_) {
        if (part.phase != PartPhase::Stopping && now >= part.leaseUntil) {
            expired.push_back(key);
        }
    }
    for (const PartKey &key : expired) {
        beginStop(now, parts_.at(key), wire::Reason::LeaseLapsed, actions);
    }
    const bool available = isAvailable(now);
    changed_ = changed_ || available != lastAvailable_;
    lastAvailable_ = available;
}

void Member::advance(MonotonicTime now, Actions &actions)
{
    if (!discovery_.done) {
        discover(now, actions);
    }
    std::vector<PartKey> keys;
    keys.reserve(parts_.size());
    for (const auto &[key, part] : parts_) {
        keys.push_back(key);
    }
    for (const PartKey &key : keys) {
        advancePart(now, parts_.at(key), actions);
    }
    retryHolds(now, actions);
    repeatReports(now, actions);
    evictEnded(now);
}

void Member::advancePart(MonotonicTime now, Part &part, Actions &actions)
{
    switch (part.phase) {
    case PartPhase::Held:
        break;
    case PartPhase::Arming:
        arm(now, part, actions);
        break;
    case PartPhase::Armed:
        renewLeases(now, part, actions);
        break;
    case PartPhase::Starting:
        renewLeases(now, part, actions);
        if (isDue(now, part.worker.start)) {
            callWorker(now, part, WorkerCall::Kind::Start, part.worker.start, actions);
        }
        break;
    case PartPhase::Checkpointing:
        if (now >= part.graceUntil) {
            beginStop(now, part, wire::Reason::Preempted, actions);
            break;
        }
        if (isDue(now, part.worker.checkpoint)) {
            callWorker(now, part, WorkerCall::Kind::Checkpoint, part.worker.checkpoint, actions);
        }
        [[fallthrough]];
    case PartPhase::Running:
        renewLeases(now, part, actions);
        run(now, part, actions);
        break;
    case PartPhase::Stopping:
        stop(now, part, actions);
        break;
    }
}

void Member::arm(MonotonicTime now, Part &part, Actions &actions)
{
    if (!part.worker.granted && isDue(now, part.worker.grant)) {
        callWorker(now, part, WorkerCall::Kind::Grant, part.worker.grant, actions);
    }
    if (!part.endpoint.reserved && isDue(now, part.endpoint.reserve)) {
        callEndpoint(now, part, EndpointCall::Kind::Reserve, part.endpoint.reserve, actions);
    }
    if (!part.worker.granted || !part.endpoint.reserved) {
        return;
    }
    part.phase = PartPhase::Armed;
    wire::ArmReply reply;
    reply.attempt = attemptId(part.key.attempt);
    reply.member = part.key.member;
    reply.fence = part.fence;
    reply.armed = true;
    actions.push_back(SendMessage {part.lead, reply});
}

/// Renews both leases when the gang lease has been extended, and otherwise often enough to detect that worker or endpoint has stopped answering.
void Member::renewLeases(MonotonicTime now, Part &part, Actions &actions)
{
    const MonotonicTime contactDeadline = now - part.lease / renewalsPerLease;
    const bool workerDue = part.leaseUntil > part.worker.requestedUntil || part.worker.lastContact <= contactDeadline;
    if (workerDue && isDue(now, part.worker.grant)) {
        callWorker(now, part, WorkerCall::Kind::Grant, part.worker.grant, actions);
    }
    const bool endpointDue = part.leaseUntil > part.endpoint.requestedUntil || part.endpoint.lastContact <= contactDeadline;
    if (endpointDue && isDue(now, part.endpoint.renew)) {
        callEndpoint(now, part, EndpointCall::Kind::Renew, part.endpoint.renew, actions);
    }
}

void Member::run(MonotonicTime now, Part &part, Actions &actions)
{
    if (part.resultRecorded) {
        return;
    }
    if (!part.endpoint.startAnswered) {
        if (isDue(now, part.endpoint.start)) {
            callEndpoint(now, part, EndpointCall::Kind::Start, part.endpoint.start, actions);
        }
        return;
    }
    if (isDue(now, part.endpoint.watch)) {
        callEndpoint(now, part, EndpointCall::Kind::Watch, part.endpoint.watch, actions);
    }
}

void Member::stop(MonotonicTime now, Part &part, Actions &actions)
{
    if (part.endpoint.requested && !part.endpoint.ended && isDue(now, part.endpoint.stop)) {
        callEndpoint(now, part, EndpointCall::Kind::Stop, part.endpoint.stop, actions);
    }
    if (part.worker.requested && !part.worker.ended && isDue(now, part.worker.end)) {
        callWorker(now, part, WorkerCall::Kind::End, part.worker.end, actions);
    }
    if (isStopped(now, part)) {
        finish(now, part, actions);
    }
}

/// Without a confirmation, a part has stopped once its leases have expired. Worker and endpoint measure a lease on their own clocks from the arrival of the
/// request, so mayRunUntil adds the longest time that the request may take to arrive.
bool Member::isStopped(MonotonicTime now, const Part &part) const
{
    const bool workerStopped = !part.worker.requested || part.worker.ended || now > part.worker.mayRunUntil;
    const bool endpointStopped = !part.endpoint.requested || part.endpoint.ended || now > part.endpoint.mayRunUntil;
    return workerStopped && endpointStopped;
}

void Member::beginStop(MonotonicTime now, Part &part, wire::Reason::type reason, Actions &actions)
{
    if (part.phase == PartPhase::Stopping) {
        if (isStopped(now, part)) {
            finish(now, part, actions);
        }
        return;
    }
    part.phase = PartPhase::Stopping;
    part.stopReason = reason;
    changed_ = true;
    stop(now, part, actions);
}

void Member::refuseArm(MonotonicTime now, Part &part, wire::Reason::type reason, Actions &actions)
{
    wire::ArmReply reply;
    reply.attempt = attemptId(part.key.attempt);
    reply.member = part.key.member;
    reply.fence = part.fence;
    reply.reason = reason;
    actions.push_back(SendMessage {part.lead, reply});
    beginStop(now, part, reason, actions);
}

void Member::callWorker(MonotonicTime now, Part &part, WorkerCall::Kind kind, CallState &state, Actions &actions)
{
    WorkerCall call;
    call.kind = kind;
    call.lease = partId(part.key);
    call.fence = part.fence;
    if (kind == WorkerCall::Kind::Grant) {
        assertInvariant(now < part.leaseUntil, "no worker lease ends after the gang lease");
        call.accelerators = part.accelerators;
        call.processors = part.spec.processorsPerTask;
        call.memoryMib = part.spec.memoryMibPerTask;
        call.duration = remainingLease(now, part);
        part.worker.requested = true;
        part.worker.requestedUntil = part.leaseUntil;
        part.worker.mayRunUntil = part.leaseUntil + options_.callTimeout;
    }
    if (kind == WorkerCall::Kind::Start) {
        assertInvariant(part.goReceived && now < part.leaseUntil, "a task starts only after go and under a valid lease");
        part.worker.started = true;
    }
    state.inFlight = true;
    actions.push_back(std::move(call));
}

void Member::callEndpoint(MonotonicTime now, Part &part, EndpointCall::Kind kind, CallState &state, Actions &actions)
{
    EndpointCall call;
    call.kind = kind;
    call.target = part.endpoint.address;
    call.part = partId(part.key);
    if (kind == EndpointCall::Kind::Reserve) {
        call.job = part.key.attempt.job;
        call.jobKind = part.spec.kind;
        call.input = part.spec.input;
        part.endpoint.requested = true;
    }
    if (kind == EndpointCall::Kind::Start) {
        assertInvariant(part.goReceived && now < part.leaseUntil, "a part starts only after go and under a valid lease");
        part.endpoint.startSent = true;
        part.endpoint.everStarted = true;
    }
    if (kind == EndpointCall::Kind::Reserve || kind == EndpointCall::Kind::Start || kind == EndpointCall::Kind::Renew) {
        assertInvariant(now < part.leaseUntil, "no endpoint lease ends after the gang lease");
        call.lease = remainingLease(now, part);
        part.endpoint.requestedUntil = part.leaseUntil;
        part.endpoint.mayRunUntil = part.leaseUntil + options_.callTimeout;
    }
    call.wait = options_.watchWait;
    state.inFlight = true;
    actions.push_back(std::move(call));
}

void Member::finish(MonotonicTime now, Part &part, Actions &actions)
{
    const PartKey key = part.key;
    const bool reported = part.resultRecorded;
    const bool stopRequested = part.stopRequested;
    const bool goReceived = part.goReceived;
    EndedPart &ended = reported ? ended_.at(key) : recordEnd(now, part, false, part.stopReason, {});
    ended.everStarted = part.endpoint.everStarted;
    ended.lead = part.lead;
    if (stopRequested) {
        wire::StopReply reply;
        reply.attempt = attemptId(key.attempt);
        reply.member = key.member;
        reply.fence = ended.fence;
        reply.everStarted = ended.everStarted;
        actions.push_back(SendMessage {ended.lead, reply});
    } else if (!reported && goReceived) {
        ended.reportDue = true;
        sendReport(now, key, ended, actions);
    }
    parts_.erase(key);
    changed_ = true;
    retryHolds(now, actions);
}

EndedPart &Member::recordEnd(MonotonicTime now, Part &part, bool succeeded, wire::Reason::type reason, std::string output)
{
    part.resultRecorded = true;
    EndedPart &ended = ended_[part.key];
    ended.lead = part.lead;
    ended.fence = part.fence;
    ended.succeeded = succeeded;
    ended.reason = reason;
    ended.output = std::move(output);
    ended.everStarted = part.endpoint.everStarted;
    ended.endedAt = now;
    ended.reportUntil = part.lead.empty() ? part.leaseUntil : now + options_.resultRetention;
    endedOrder_.push_back(part.key);
    return ended;
}

void Member::sendReport(MonotonicTime now, const PartKey &key, EndedPart &ended, Actions &actions)
{
    if (ended.nextReport == MonotonicTime()) {
        dueReports_.push_back(key);
    }
    ended.nextReport = now + reportRetryInterval;
    if (ended.lead.empty()) {
        return;
    }
    wire::PartReport report;
    report.attempt = attemptId(key.attempt);
    report.member = key.member;
    report.fence = ended.fence;
    report.succeeded = ended.succeeded;
    report.reason = ended.reason;
    report.output = ended.output;
    actions.push_back(SendMessage {ended.lead, report});
}

void Member::repeatReports(MonotonicTime now, Actions &actions)
{
    std::erase_if(dueReports_, [this, now, &actions](const PartKey &key) {
        const auto found = ended_.find(key);
        if (found == ended_.end() || !found->second.reportDue) {
            return true;
        }
        if (now > found->second.reportUntil) {
            found->second.reportDue = false;
            return true;
        }
        if (now >= found->second.nextReport) {
            sendReport(now, key, found->second, actions);
        }
        return false;
    });
}

void Member::evictEnded(MonotonicTime now)
{
    while (!endedOrder_.empty()) {
        const auto oldest = ended_.find(endedOrder_.front());
        if (oldest != ended_.end() && now - oldest->second.endedAt <= options_.tombstoneRetention) {
            return;
        }
        if (oldest != ended_.end()) {
            ended_.erase(oldest);
        }
        endedOrder_.pop_front();
    }
}

} // namespace knapweed::gangs
