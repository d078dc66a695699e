// A worker becomes a suspect after several failures without a success in between. If the limit does not allow all suspects to be quarantined, those with the
// most failures are quarantined first.

#include "planning/workerhealth.h"

#include <algorithm>

namespace knapweed::planning
{

namespace
{

constexpr std::int64_t failureLimit = 3; ///< consecutive failures after which a worker is a suspect
constexpr Milliseconds firstProbeDelay {10000}; ///< from the first quarantine of a worker
constexpr int maximumProbeDoublings = 5;
constexpr std::size_t outOfServiceDivisor = 5; ///< at most one in this many workers is out of service
constexpr std::size_t minimumFleetSize = 3; ///< in a smaller fleet no worker is quarantined

} // namespace

std::size_t quarantineLimit(std::size_t workers)
{
    return workers < minimumFleetSize ? 0 : std::max<std::size_t>(1, workers / outOfServiceDivisor);
}

void WorkerHealth::update(MonotonicTime now, const std::string &worker, const TaskCounts &counts)
{
    State &state = states_[worker];
    const std::int64_t succeeded = counts.started - counts.failed - counts.running;
    const bool isRestarted = counts.started < state.counts.started || counts.failed < state.counts.failed;
    const std::int64_t failed = isRestarted ? 0 : counts.failed - state.counts.failed;
    const bool hasSuccess = !isRestarted && succeeded > state.succeeded;
    state.counts = counts;
    state.succeeded = isRestarted ? succeeded : std::max(succeeded, state.succeeded);
    if (isRestarted || hasSuccess) {
        state.failures = 0;
        suspects_.erase(worker);
    }
    if (hasSuccess && failed == 0 && state.health == Health::Probing) {
        state.health = Health::Good;
        state.quarantines = 0;
        outOfService_.erase(worker);
        changed_.insert(worker);
    }
    if (failed <= 0) {
        return;
    }
    state.failures += failed;
    if (state.health == Health::Probing) {
        quarantine(now, worker, state);
    } else if (state.health == Health::Good && state.failures >= failureLimit) {
        suspects_.insert(worker);
    }
}

void WorkerHealth::remove(const std::string &worker)
{
    states_.erase(worker);
    suspects_.erase(worker);
    outOfService_.erase(worker);
    changed_.erase(worker);
}

void WorkerHealth::recordFailures(const std::string &job, const std::vector<std::string> &workers)
{
    if (workers.size() < 2) {
        return;
    }
    std::set<std::string> &excused = excused_[job];
    for (const std::string &worker : workers) {
        const auto state = states_.find(worker);
        if (!excused.insert(worker).second || state == states_.end() || state->second.failures == 0) {
            continue;
        }
        --state->second.failures;
        if (state->second.failures < failureLimit) {
            suspects_.erase(worker);
        }
    }
}

void WorkerHealth::removeJob(const std::string &job)
{
    excused_.erase(job);
}

void WorkerHealth::quarantine(MonotonicTime now, const std::string &worker, State &state)
{
    const int doublings = std::min(state.quarantines, maximumProbeDoublings);
    state.health = Health::Quarantined;
    state.probeAt = now + firstProbeDelay * (1 << doublings);
    ++state.quarantines;
    outOfService_.insert(worker);
    suspects_.erase(worker);
    changed_.insert(worker);
}

std::vector<std::string> WorkerHealth::review(MonotonicTime now, std::size_t workers)
{
    std::vector<std::string> worst(suspects_.begin(), suspects_.end());
    std::stable_sort(worst.begin(), worst.end(), [this](const std::string &left, const std::string &right) {
        return states_.at(left).failures > states_.at(right).failures;
    });
    for (const std::string &worker : worst) {
        if (outOfService_.size() >= quarantineLimit(workers)) {
            break;
        }
        quarantine(now, worker, states_.at(worker));
    }
    for (const std::string &worker : outOfService_) {
        State &state = states_.at(worker);
        if (state.health == Health::Quarantined && now >= state.probeAt) {
            state.health = Health::Probing;
            changed_.insert(worker);
        }
    }
    std::vector<std::string> changed(changed_.begin(), changed_.end());
    changed_.clear();
    return changed;
}

Health WorkerHealth::health(const std::string &worker) const
{
    const auto found = states_.find(worker);
    return found == states_.end() ? Health::Good : found->second.health;
}

std::size_t WorkerHealth::outOfService() const
{
    return outOfService_.size();
}

} // namespace knapweed::planning
