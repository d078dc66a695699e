// The availability of the member and its report.

#include "gangs/member.h"

namespace knapweed::gangs
{

namespace
{

std::int64_t elapsedMs(MonotonicTime from, MonotonicTime to)
{
    return from == MonotonicTime() ? 0 : std::chrono::duration_cast<Milliseconds>(to - from).count();
}

} // namespace

bool Member::isEndpointReady(MonotonicTime now) const
{
    return endpoint_ && endpoint_->ready && now - endpointSeenAt_ <= options_.endpointExpiry;
}

bool Member::isAvailable(MonotonicTime now) const
{
    return discovery_.done && !draining_ && isEndpointReady(now);
}

void Member::drain()
{
    draining_ = true;
    changed_ = true;
}

void Member::stopAll(MonotonicTime now, wire::Reason::type reason, Actions &actions)
{
    std::vector<PartKey> keys;
    for (const auto &[key, part] : parts_) {
        keys.push_back(key);
    }
    for (const PartKey &key : keys) {
        beginStop(now, parts_.at(key), reason, actions);
    }
}

bool Member::hasParts() const
{
    return !parts_.empty();
}

bool Member::hasUnreportedResults() const
{
    return !dueReports_.empty();
}

bool Member::takeChanged()
{
    return std::exchange(changed_, false);
}

wire::AgentReport Member::report(MonotonicTime now) const
{
    wire::AgentReport report;
    report.agent = options_.self;
    report.worker = worker_.id;
    report.rack = worker_.rack;
    report.available = isAvailable(now);
    report.slots = endpoint_ ? endpoint_->slots : 0;
    report.accelerators = worker_.accelerators;
    report.processors = worker_.processors;
    report.memoryMib = worker_.memoryMib;
    report.startedTasks = startedTasks_;
    report.failedTasks = failedTasks_;
    report.incarnation = options_.incarnation;
    report.endpointState = !endpoint_ ? "unknown" : !endpoint_->ready ? "leaving" : isEndpointReady(now) ? "ready" : "lapsed";
    for (const auto &[key, part] : parts_) {
        wire::RunningPart running;
        running.attempt = attemptId(key.attempt);
        running.account = part.spec.account;
        running.kind = part.spec.kind;
        running.lead = part.lead;
        running.accelerators = part.accelerators;
        running.checkpointable = part.spec.checkpointable;
        running.repeatable = part.spec.repeatable;
        running.gangSize = part.gangSize;
        running.started = part.goReceived;
        running.runningMs = elapsedMs(part.startedAt, now);
        running.sinceCheckpointMs = elapsedMs(part.checkpointedAt, now);
        report.parts.push_back(std::move(running));
    }
    return report;
}

const std::map<PartKey, Part> &Member::parts() const
{
    return parts_;
}

} // namespace knapweed::gangs
