// The waiting jobs, grouped into classes of jobs that placement treats alike. A planning round works on classes, so its cost does not grow with the number of
// waiting jobs.
#pragma once

#include "planning/inventory.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweed::planning
{

struct JobClass
{
    std::string key;
    std::multimap<MonotonicTime, WaitingJob> jobs; ///< by time of arrival; invariant: not empty between calls of JobQueue
    std::size_t index = 0; ///< in JobQueue::classes()
    MonotonicTime attemptedAt; ///< when its next job last could not be placed
    std::uint64_t attemptedVersion = 0; ///< Inventory::releaseCount() plus membershipVersion() at attemptedAt
    std::uint64_t fitCheckedMembership = 0; ///< Inventory::membershipVersion() when the shape was last checked against the whole fleet
    std::string waitReason;

    const WaitingJob &front() const;
};

class JobQueue
{
public:
    /// Replaces the job if it is waiting already.
    void add(const WaitingJob &job);
    /// Takes constant time on average. Returns false if the job is not waiting.
    bool remove(const std::string &job);
    std::size_t size() const;
    const WaitingJob *find(const std::string &job) const;
    const JobClass *classOf(const std::string &job) const;
    /// Returns null if no job of that class is waiting.
    JobClass *classByKey(const std::string &key) const;
    const std::vector<std::unique_ptr<JobClass>> &classes() const;

private:
    struct Position
    {
        JobClass *jobClass = nullptr;
        std::multimap<MonotonicTime, WaitingJob>::iterator job;
    };

    std::vector<std::unique_ptr<JobClass>> classes_;
    std::unordered_map<std::string, JobClass *> byKey_;
    std::unordered_map<std::string, Position> positions_; ///< invariant: exactly the jobs in classes_
};

/// Whether the job may be stopped while it runs, and run again or continued from a checkpoint.
bool isPreemptible(const WaitingJob &job);

int acceleratorsOf(const Shape &shape);

} // namespace knapweed::planning
