// A class is created with its first job and removed with its last.

#include "planning/jobqueue.h"

namespace knapweed::planning
{

namespace
{

std::string classKey(const WaitingJob &job)
{
    const Shape &shape = job.shape;
    std::string key = job.account + '|' + job.kind;
    for (const std::int64_t number : {static_cast<std::int64_t>(shape.tasks),
             static_cast<std::int64_t>(shape.acceleratorsPerTask),
             static_cast<std::int64_t>(shape.processorsPerTask),
             shape.memoryMibPerTask,
             static_cast<std::int64_t>(shape.adjacency),
             static_cast<std::int64_t>(job.repeatable) + 2 * static_cast<std::int64_t>(job.checkpointable) + 4 * static_cast<std::int64_t>(job.urgent)}) {
        key += '|' + std::to_string(number);
    }
    for (const std::string &worker : job.avoidWorkers) {
        key += '|' + worker;
    }
    return key;
}

} // namespace

const WaitingJob &JobClass::front() const
{
    return jobs.begin()->second;
}

void JobQueue::add(const WaitingJob &job)
{
    remove(job.id);
    const std::string key = classKey(job);
    JobClass *&jobClass = byKey_[key];
    if (jobClass == nullptr) {
        classes_.push_back(std::make_unique<JobClass>());
        jobClass = classes_.back().get();
        jobClass->key = key;
        jobClass->index = classes_.size() - 1;
    }
    positions_[job.id] = {jobClass, jobClass->jobs.emplace(job.enqueuedAt, job)};
}

bool JobQueue::remove(const std::string &job)
{
    const auto found = positions_.find(job);
    if (found == positions_.end()) {
        return false;
    }
    JobClass *jobClass = found->second.jobClass;
    jobClass->jobs.erase(found->second.job);
    positions_.erase(found);
    if (jobClass->jobs.empty()) {
        byKey_.erase(jobClass->key);
        const std::size_t index = jobClass->index;
        std::swap(classes_[index], classes_.back());
        classes_[index]->index = index;
        classes_.pop_back();
    }
    return true;
}

std::size_t JobQueue::size() const
{
    return positions_.size();
}

const WaitingJob *JobQueue::find(const std::string &job) const
{
    const auto found = positions_.find(job);
    return found == positions_.end() ? nullptr : &found->second.job->second;
}

const JobClass *JobQueue::classOf(const std::string &job) const
{
    const auto found = positions_.find(job);
    return found == positions_.end() ? nullptr : found->second.jobClass;
}

JobClass *JobQueue::classByKey(const std::string &key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

const std::vector<std::unique_ptr<JobClass>> &JobQueue::classes() const
{
    return classes_;
}

bool isPreemptible(const WaitingJob &job)
{
    return job.repeatable || job.checkpointable;
}

int acceleratorsOf(const Shape &shape)
{
    return shape.tasks * shape.acceleratorsPerTask;
}

} // namespace knapweed::planning
