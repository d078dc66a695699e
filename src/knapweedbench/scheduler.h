// What the driver compares: the product's planner and two baselines behind the same functions.
#pragma once

#include "planning/planner.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweed::bench
{

struct Scheduler
{
    std::function<void(const planning::Policy &)> setPolicy;
    std::function<void(MonotonicTime, const planning::Worker &)> updateWorker;
    std::function<void(MonotonicTime, const std::string &)> removeWorker;
    std::function<void(const planning::WaitingJob &)> addJob;
    std::function<void(const std::string &)> removeJob;
    std::function<void(const std::string &, const std::string &, Milliseconds)> recordRun;
    std::function<std::vector<planning::Decision>(MonotonicTime)> decide;
};

enum class SchedulerKind { Product, FirstFit, BestFit };

const char *nameOf(SchedulerKind kind);

Scheduler makeScheduler(SchedulerKind kind);

} // namespace knapweed::bench
