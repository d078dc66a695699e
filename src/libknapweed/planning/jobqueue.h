// The waiting jobs, grouped into classes whose members differ in nothing that placement looks at. A round works on classes, so its cost does not grow
// with the number of jobs that wait.
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
    std::multimap<MonotonicTime, WaitingJob> jobs; ///< by time of arrival; invariant: never empty between calls of JobQueue
    std::size_t index = 0; ///< in JobQueue::classes()
    MonotonicTime attemptedAt; ///< when its next job last found no place
    std::uint64_t attemptedVersion = 0; ///< Inventory::releases() plus membership() then
    std::uint64_t fitCheckedMembership = 0; ///< Inventory::membership() when the shape was last compared with the whole fleet
    std::string waitReason;

    const WaitingJob &front() const;
};

class JobQueue
{
public:
    /// Replaces the job when it waits already.
    void add(const WaitingJob &job);
    /// In constant time on average. Returns false when the job doesn't wait.
    bool remove(const std::string &job);
    std::size_t size() const;
    const WaitingJob *find(const std::string &job) const;
    const JobClass *classOf(const std::string &job) const;
    /// Null when no job of that class waits.
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

/// Whether a part of the job may be stopped and the job run again.
bool isPreemptible(const WaitingJob &job);

int acceleratorsOf(const Shape &shape);

} // namespace knapweed::planning
