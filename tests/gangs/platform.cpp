// Implementation of the fake worker and endpoint.

#include "gangs/platform.h"

#include <algorithm>

namespace knapweed::gangs::test
{

namespace
{

bool isActive(EndpointPartState state)
{
    return state == EndpointPartState::Reserved || state == EndpointPartState::Running;
}

} // namespace

std::string expectedOutput(const std::string &part)
{
    return "output of " + part;
}

WorkerAnswer FakeWorker::call(MonotonicTime now, const WorkerCall &call)
{
    expire(now);
    WorkerAnswer answer;
    answer.kind = call.kind;
    answer.lease = call.lease;
    answer.status = WorkerAnswer::Status::Ok;
    const auto lease = leases.find(call.lease);
    switch (call.kind) {
    case WorkerCall::Kind::List:
        for (const auto &[id, held] : leases) {
            answer.leases.push_back({id, held.fence, held.accelerators, held.started, std::chrono::duration_cast<Milliseconds>(held.until - now)});
        }
        for (const auto &[accelerator, fence] : fences_) {
            answer.highestFence = std::max(answer.highestFence, fence);
        }
        break;
    case WorkerCall::Kind::Grant:
        answer.status = grant(now, call);
        break;
    case WorkerCall::Kind::Start:
        answer.status = lease == leases.end() ? WorkerAnswer::Status::LeaseExpired : failsTasks ? WorkerAnswer::Status::TaskFailed : WorkerAnswer::Status::Ok;
        if (answer.status == WorkerAnswer::Status::Ok) {
            lease->second.started = true;
        }
        break;
    case WorkerCall::Kind::Checkpoint:
        answer.status = writesCheckpoints ? WorkerAnswer::Status::Ok : WorkerAnswer::Status::Unreachable;
        checkpoints += writesCheckpoints ? 1 : 0;
        break;
    case WorkerCall::Kind::End:
        leases.erase(call.lease);
        ended_.insert(call.lease);
        break;
    }
    return answer;
}

WorkerAnswer::Status FakeWorker::grant(MonotonicTime now, const WorkerCall &call)
{
    if (ended_.contains(call.lease)) {
        return WorkerAnswer::Status::LeaseExpired;
    }
    for (const std::int32_t accelerator : call.accelerators) {
        if (call.fence < fences_[accelerator]) {
            return WorkerAnswer::Status::StaleFence;
        }
    }
    for (const auto &[id, held] : leases) {
        if (id != call.lease
            && std::find_first_of(held.accelerators.begin(), held.accelerators.end(), call.accelerators.begin(), call.accelerators.end())
                != held.accelerators.end()) {
            return WorkerAnswer::Status::Taken;
        }
    }
    Lease &lease = leases[call.lease];
    lease.fence = call.fence;
    lease.accelerators = call.accelerators;
    lease.until = now + call.duration;
    for (const std::int32_t accelerator : call.accelerators) {
        fences_[accelerator] = call.fence;
    }
    return WorkerAnswer::Status::Ok;
}

void FakeWorker::expire(MonotonicTime now)
{
    for (auto lease = leases.begin(); lease != leases.end();) {
        const auto current = lease++;
        if (now >= current->second.until) {
            ended_.insert(current->first);
            leases.erase(current);
        }
    }
}

EndpointAnswer FakeEndpoint::call(MonotonicTime now, const EndpointCall &call)
{
    expire(now);
    EndpointAnswer answer;
    answer.kind = call.kind;
    answer.target = call.target;
    answer.part = call.part;
    answer.status = EndpointAnswer::Status::Ok;
    const auto part = parts_.find(call.part);
    switch (call.kind) {
    case EndpointCall::Kind::List:
        for (const auto &[id, each] : parts_) {
            if (isActive(each.state)) {
                answer.parts.push_back({id, each.state});
            }
        }
        return answer;
    case EndpointCall::Kind::Reserve:
        answer.status = reserve(now, call);
        return answer;
    case EndpointCall::Kind::Start:
        answer.status = start(now, call);
        break;
    case EndpointCall::Kind::Renew:
        if (part != parts_.end() && isActive(part->second.state)) {
            part->second.leaseUntil = now + call.lease;
        }
        return answer;
    case EndpointCall::Kind::Stop:
        end(now, call.part, parts_[call.part], EndpointPartState::Stopped);
        answer.everStarted = runs.contains(call.part);
        return answer;
    case EndpointCall::Kind::Watch:
        answer.status = part == parts_.end() ? EndpointAnswer::Status::LeaseExpired : answer.status;
        break;
    }
    if (answer.status == EndpointAnswer::Status::Ok) {
        answer.state = parts_.at(call.part).state;
        answer.output = answer.state == EndpointPartState::Completed ? expectedOutput(call.part) : std::string();
    }
    return answer;
}

EndpointAnswer::Status FakeEndpoint::reserve(MonotonicTime now, const EndpointCall &call)
{
    const auto known = parts_.find(call.part);
    if (known != parts_.end()) {
        return isActive(known->second.state) ? EndpointAnswer::Status::Ok : EndpointAnswer::Status::LeaseExpired;
    }
    const int taken = static_cast<int>(std::count_if(parts_.begin(), parts_.end(), [](const std::pair<const std::string, Part> &part) {
        return isActive(part.second.state);
    }));
    if (taken >= slots) {
        return EndpointAnswer::Status::NoSlot;
    }
    Part part;
    part.leaseUntil = now + call.lease;
    part.input = call.input;
    parts_.emplace(call.part, part);
    return EndpointAnswer::Status::Ok;
}

EndpointAnswer::Status FakeEndpoint::start(MonotonicTime now, const EndpointCall &call)
{
    const auto found = parts_.find(call.part);
    if (found == parts_.end() || (!isActive(found->second.state) && !runs.contains(call.part))) {
        return EndpointAnswer::Status::LeaseExpired;
    }
    Part &part = found->second;
    if (isActive(part.state)) {
        part.leaseUntil = now + call.lease;
    }
    if (part.state == EndpointPartState::Reserved) {
        part.state = EndpointPartState::Running;
        part.runUntil = now + Milliseconds(std::stoll(part.input));
        runs[call.part].begin = now;
        started(call.part);
    }
    return EndpointAnswer::Status::Ok;
}

void FakeEndpoint::expire(MonotonicTime now)
{
    for (auto &[id, part] : parts_) {
        const bool ran = part.state == EndpointPartState::Running && part.runUntil <= std::min(now, part.leaseUntil);
        if (ran) {
            const bool fails = part.input.find("fail") != std::string::npos;
            end(part.runUntil, id, part, fails ? EndpointPartState::Failed : EndpointPartState::Completed);
        } else if (isActive(part.state) && now >= part.leaseUntil) {
            end(part.leaseUntil, id, part, EndpointPartState::Stopped);
        }
    }
}

void FakeEndpoint::end(MonotonicTime at, const std::string &id, Part &part, EndpointPartState state)
{
    if (!isActive(part.state)) {
        return;
    }
    const bool ran = part.state == EndpointPartState::Running;
    part.state = state;
    if (ran) {
        runs.at(id).end = at;
        runs.at(id).completed = state == EndpointPartState::Completed;
    }
}

void FakeEndpoint::stopAll(MonotonicTime now)
{
    expire(now);
    for (auto &[id, part] : parts_) {
        end(now, id, part, EndpointPartState::Stopped);
    }
}

bool FakeEndpoint::isRunning(const std::string &part) const
{
    const auto found = parts_.find(part);
    return found != parts_.end() && found->second.state == EndpointPartState::Running;
}

} // namespace knapweed::gangs::test
