// Quarantines workers that fail the tasks of different jobs, and lets single tasks probe them. A job that fails on several workers counts against itself,
// not against them. At most a bounded share of the fleet is out.
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

/// The rising counts of a worker's report, and the parts that it holds.
struct TaskCounts
{
    std::int64_t started = 0;
    std::int64_t failed = 0;
    std::int64_t running = 0;
};

class WorkerHealth
{
public:
    /// Counts that fall mean that the worker or its agent was replaced, so its history starts again.
    void update(MonotonicTime now, const std::string &worker, const TaskCounts &counts);
    void remove(const std::string &worker);

    /// The workers where a waiting job failed. From the second on, its failures are excused.
    void recordFailures(const std::string &job, const std::vector<std::string> &workers);
    void removeJob(const std::string &job);

    /// Quarantines and probes within the limits of a fleet of @p workers. Returns the workers whose health changed since the last review.
    std::vector<std::string> review(MonotonicTime now, std::size_t workers);

    Health health(const std::string &worker) const;
    /// Invariant: at most the limit for the fleet of the last review, unless the fleet has shrunk since.
    std::size_t outOfService() const;

private:
    struct State
    {
        Health health = Health::Good;
        TaskCounts counts;
        std::int64_t succeeded = 0;
        std::int64_t failures = 0; ///< since a task last ended well, less the excused ones
        MonotonicTime probeAt; ///< when a quarantined worker is probed next
        int quarantines = 0; ///< in a row; each doubles the time to the next probe
    };

    void quarantine(MonotonicTime now, const std::string &worker, State &state);

    std::map<std::string, State> states_;
    std::map<std::string, std::set<std::string>> excused_; ///< job -> workers where its failure no longer counts
    std::set<std::string> suspects_; ///< good workers with too many failures
    std::set<std::string> outOfService_; ///< quarantined and probing workers
    std::set<std::string> changed_;
};

/// How many workers of a fleet may be out at once.
std::size_t quarantineLimit(std::size_t workers);

} // namespace knapweed::planning
