// Rules of the worker: a fence is stale if a higher one has been seen for any of the accelerators, a task stops when its lease expires by the
// worker's own clock, and a lease that has ended is never granted again.

#include "standins/workerstandin.h"

#include <algorithm>

namespace knapweed::standins
{

namespace
{

using nlohmann::json;

constexpr Milliseconds usageInterval {500};
constexpr Milliseconds usageDelay {3000};

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

std::int64_t remaining(MonotonicTime expiresAt)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(expiresAt - currentTime()).count());
}

} // namespace

WorkerStandin::WorkerStandin(EventLoop &loop, WorkerStandinOptions options)
    : options_(options)
    , faults_(
          loop,
          [this](const HttpRequest &request, const HttpResponder &respond) {
              serve(request, respond);
          },
          [this](const std::string &name, const json &value) {
              return setFault(name, value);
          })
{
    sampleUsage();
    loop.callEvery(usageInterval, [this] {
        sampleUsage();
    });
}

void WorkerStandin::handle(const HttpRequest &request, const HttpResponder &respond)
{
    faults_.handle(request, respond);
}

FaultGate &WorkerStandin::faults()
{
    return faults_;
}

bool WorkerStandin::setFault(const std::string &name, const json &value)
{
    if (!value.is_boolean()) {
        return false;
    }
    if (name == "fail_all_tasks") {
        failsAllTasks_ = value.get<bool>();
    } else if (name == "ignore_checkpoint") {
        ignoresCheckpoints_ = value.get<bool>();
    } else {
        return false;
    }
    return true;
}

void WorkerStandin::serve(const HttpRequest &request, const HttpResponder &respond)
{
    expire();
    const std::vector<std::string> path = splitPath(request.path);
    if (path.size() >= 3 && path.at(0) == "v1" && path.at(1) == "leases") {
        try {
            respond(serveLease(path, request));
        } catch (const json::exception &failure) {
            respond(errorResponse(400, "invalid", failure.what()));
        }
    } else if (request.method == "GET" && request.path == "/v1/leases") {
        respond(list());
    } else if (request.method == "GET" && request.path == "/v1/usage") {
        respond(usage());
    } else if (request.method == "GET" && request.path == "/v1/counts") {
        respond(counts());
    } else {
        respond(errorResponse(404, "not_found", request.path));
    }
}

HttpResponse WorkerStandin::serveLease(const std::vector<std::string> &path, const HttpRequest &request)
{
    const std::string &id = path.at(2);
    if (path.size() == 3 && request.method == "PUT") {
        return grant(id, parseBody(request));
    }
    if (path.size() == 3 && request.method == "DELETE") {
        return end(id, queryNumber(request, "fence", 0));
    }
    if (path.size() == 4 && request.method == "POST") {
        return act(id, path.at(3), parseBody(request));
    }
    return errorResponse(404, "not_found", request.path);
}

HttpResponse WorkerStandin::grant(const std::string &id, const json &body)
{
    Lease requested;
    requested.fence = body.at("fence").get<std::int64_t>();
    requested.accelerators = body.at("accelerators").get<std::vector<int>>();
    requested.processors = body.value("processors", 0);
    requested.memoryMib = body.value("memory_mib", std::int64_t(0));
    const Milliseconds duration(body.at("duration_ms").get<std::int64_t>());
    if (endedLeases_.count(id) != 0) {
        return errorResponse(410, "lapsed", id);
    }
    if (isStale(requested.fence, requested.accelerators)) {
        return errorResponse(409, "stale_fence");
    }
    const auto existing = leases_.find(id);
    if (existing != leases_.end()) {
        const bool isSame = existing->second.accelerators == requested.accelerators;
        return isSame ? renew(existing->second, id, requested.fence, duration)
                      : errorResponse(409, "accelerator_taken", "a renewal names the same accelerators");
    }
    if (isTaken(requested.accelerators)) {
        return errorResponse(409, "accelerator_taken");
    }
    if (!hasCapacity(requested)) {
        return errorResponse(409, "no_capacity");
    }
    return renew(leases_.emplace(id, requested).first->second, id, requested.fence, duration);
}

HttpResponse WorkerStandin::renew(Lease &lease, const std::string &id, std::int64_t fence, Milliseconds duration)
{
    lease.fence = fence;
    lease.expiresAt = currentTime() + duration;
    for (const int accelerator : lease.accelerators) {
        std::int64_t &highest = fences_[accelerator];
        highest = std::max(highest, fence);
    }
    return standins::jsonResponse(200, json {{"lease", id}, {"remaining_ms", duration.count()}});
}

HttpResponse WorkerStandin::act(const std::string &id, const std::string &action, const json &body)
{
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        return errorResponse(410, "lapsed", id);
    }
    Lease &lease = found->second;
    if (action == "start" || body.contains("fence")) {
        if (body.at("fence").get<std::int64_t>() != lease.fence) {
            return errorResponse(409, "stale_fence");
        }
    }
    if (action == "start") {
        return start(id, lease);
    }
    if (action == "checkpoint") {
        checkpoints_[id] += ignoresCheckpoints_ ? 0 : 1;
        return standins::jsonResponse(200, json {{"lease", id}, {"checkpointed", !ignoresCheckpoints_}});
    }
    if (action == "throttle") {
        lease.share = std::clamp(body.at("share").get<double>(), 0.0, 1.0);
        return standins::jsonResponse(200, json {{"lease", id}, {"share", lease.share}});
    }
    return errorResponse(404, "not_found", action);
}

HttpResponse WorkerStandin::start(const std::string &id, Lease &lease)
{
    if (failsAllTasks_) {
        return errorResponse(500, "task_failed");
    }
    if (!lease.isStarted) {
        lease.isStarted = true;
        ++starts_[id];
    }
    return standins::jsonResponse(200, json {{"lease", id}, {"started", true}});
}

HttpResponse WorkerStandin::end(const std::string &id, std::int64_t fence)
{
    const auto found = leases_.find(id);
    if (found != leases_.end() && fence < found->second.fence) {
        return errorResponse(409, "stale_fence");
    }
    const bool wasStarted = starts_.count(id) != 0;
    leases_.erase(id);
    endedLeases_.insert(id);
    return standins::jsonResponse(200, json {{"lease", id}, {"ever_started", wasStarted}});
}

HttpResponse WorkerStandin::list() const
{
    json leases = json::array();
    for (const auto &[id, lease] : leases_) {
        leases.push_back({{"lease", id},
            {"fence", lease.fence},
            {"accelerators", lease.accelerators},
            {"started", lease.isStarted},
            {"remaining_ms", remaining(lease.expiresAt)}});
    }
    std::int64_t highest = 0;
    for (const auto &[accelerator, fence] : fences_) {
        highest = std::max(highest, fence);
    }
    return standins::jsonResponse(200, json {{"leases", std::move(leases)}, {"highest_fence", highest}});
}

HttpResponse WorkerStandin::usage() const
{
    const Usage &sample = samples_.front();
    const std::int64_t age = std::chrono::duration_cast<Milliseconds>(currentTime() - sample.at).count();
    return standins::jsonResponse(
        200, json {{"age_ms", age}, {"processors", sample.processors}, {"memory_mib", sample.memoryMib}, {"accelerators", sample.accelerators}});
}

HttpResponse WorkerStandin::counts() const
{
    return standins::jsonResponse(200, json {{"started", starts_}, {"checkpoints", checkpoints_}, {"live", leases_.size()}, {"lapsed", expiredLeases_}});
}

bool WorkerStandin::isStale(std::int64_t fence, const std::vector<int> &accelerators) const
{
    return std::any_of(accelerators.begin(), accelerators.end(), [this, fence](int accelerator) {
        const auto seen = fences_.find(accelerator);
        return seen != fences_.end() && fence < seen->second;
    });
}

bool WorkerStandin::isTaken(const std::vector<int> &accelerators) const
{
    return std::any_of(leases_.begin(), leases_.end(), [&accelerators](const Leases::value_type &held) {
        const std::vector<int> &taken = held.second.accelerators;
        return std::find_first_of(accelerators.begin(), accelerators.end(), taken.begin(), taken.end()) != accelerators.end();
    });
}

bool WorkerStandin::hasCapacity(const Lease &requested) const
{
    const bool exist = std::all_of(requested.accelerators.begin(), requested.accelerators.end(), [this](int accelerator) {
        return accelerator >= 0 && accelerator < options_.accelerators;
    });
    int processors = requested.processors;
    std::int64_t memoryMib = requested.memoryMib;
    for (const auto &[id, lease] : leases_) {
        processors += lease.processors;
        memoryMib += lease.memoryMib;
    }
    return exist && processors <= options_.processors && memoryMib <= options_.memoryMib;
}

void WorkerStandin::expire()
{
    const MonotonicTime now = currentTime();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        const auto current = lease++;
        if (current->second.expiresAt <= now) {
            endedLeases_.insert(current->first);
            leases_.erase(current);
            ++expiredLeases_;
        }
    }
}

void WorkerStandin::sampleUsage()
{
    expire();
    Usage sample {currentTime(), 0, 0, {}};
    for (const auto &[id, lease] : leases_) {
        if (lease.isStarted) {
            sample.processors += static_cast<int>(lease.processors * lease.share);
            sample.memoryMib += lease.memoryMib;
            sample.accelerators.insert(sample.accelerators.end(), lease.accelerators.begin(), lease.accelerators.end());
        }
    }
    samples_.push_back(sample);
    while (samples_.size() > 1 && samples_.at(1).at + usageDelay <= sample.at) {
        samples_.pop_front();
    }
}

} // namespace knapweed::standins
