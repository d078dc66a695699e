// Quarantines workers that fail the tasks of different jobs, and later probes them with single tasks. The failures of a job that fails on several workers are
// attributed to the job, not to the workers. Only a limited share of the fleet may be out of service at a time.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweed::planning
{

enum class Health { Good, Quarantined, Probing };

/// The cumulative counts of a worker's report, and the number of its parts.
struct TaskCounts
{
    std::int64_t started = 0;
    std::int64_t failed = 0;
    std::int64_t running = 0;
};

class WorkerHealth
{
public:
    /// If a count decreases, the worker or its agent was replaced, and the worker's history starts again.
    void update(MonotonicTime now, const std::string &worker, const TaskCounts &counts);
    void remove(const std::string &worker);

    /// Records the workers on which a waiting job failed. Once there are at least two, its failures no longer count against any of them.
    void recordFailures(const std::string &job, const std::vector<std::string> &workers);
    void removeJob(const std::string &job);

    /// Starts quarantines, within the limit for a fleet of @p workers, and due probes. Returns the workers whose health changed since the last review.
    std::vector<std::string> review(MonotonicTime now, std::size_t workers);

    Health health(const std::string &worker) const;
    /// The number of quarantined and probing workers. Invariant: at most the limit for the fleet of the last review, unless the fleet has shrunk since.
    std::size_t outOfService() const;

private:
    struct State
    {
        Health health = Health::Good;
        TaskCounts counts;
        std::int64_t succeeded = 0;
        std::int64_t failures = 0; ///< since the last successful task, without the excused ones
        MonotonicTime probeAt; ///< when the quarantined worker is probed next
        int quarantines = 0; ///< in a row; each doubles the time until the next probe
    };

    void quarantine(MonotonicTime now, const std::string &worker, State &state);

    std::map<std::string, State> states_;
    std::map<std::string, std::set<std::string>> excused_; ///< by job: the workers against which its failure no longer counts
    std::set<std::string> suspects_; ///< workers in service with too many failures
    std::set<std::string> outOfService_; ///< quarantined and probing workers
    std::set<std::string> changed_;
};

/// How many workers of a fleet may be out of service at a time.
std::size_t quarantineLimit(std::size_t workers);

} // namespace knapweed::planning
