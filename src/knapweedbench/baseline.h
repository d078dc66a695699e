// The baselines: jobs in order of arrival, each on the first place that fits or on the tightest; a job that doesn't fit is passed over. No reservation,
// no preemption, no learning.
#pragma once

#include "planning/acceleratorset.h"
#include "planning/planner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweed::bench
{

class Baseline
{
public:
    explicit Baseline(bool isBestFit);

    void updateWorker(const planning::Worker &worker);
    void removeWorker(const std::string &worker);
    void addJob(const planning::WaitingJob &job);
    void removeJob(const std::string &job);
    std::vector<planning::Decision> decide();

private:
    struct Room
    {
        planning::Worker worker;
        planning::AcceleratorSet open = 0;
        int slots = 0;
        int processors = 0;
        std::int64_t memoryMib = 0;
    };

    std::vector<planning::PlacedMember> place(const planning::WaitingJob &job);
    std::vector<planning::PlacedMember> placeIn(const planning::WaitingJob &job, std::vector<Room *> rooms);
    std::vector<std::vector<Room *>> scopes(planning::Adjacency adjacency);
    bool canEverHold(const planning::Shape &shape) const;

    bool isBestFit_;
    std::map<int, Room> rooms_; ///< by number of the worker's id, which is the order of first fit
    std::multimap<MonotonicTime, planning::WaitingJob> queue_;
    std::map<std::string, std::multimap<MonotonicTime, planning::WaitingJob>::iterator> positions_;
};

} // namespace knapweed::bench
