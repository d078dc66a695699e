// Workers, jobs and helpers for the tests of the planner.
#pragma once

#include "planning/planner.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed::planning
{

inline MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime {} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

inline Worker makeWorker(int number, int accelerators = 8)
{
    Worker worker;
    worker.id = "w" + std::to_string(number);
    worker.agent = "10.0.0." + std::to_string(number) + ":7000";
    worker.rack = "r" + std::to_string(number / 3);
    worker.available = true;
    worker.slots = 8;
    worker.accelerators = accelerators;
    worker.processors = 130;
    worker.memoryMib = 256000;
    return worker;
}

inline WaitingJob makeJob(const std::string &id, int tasks = 1, int accelerators = 1, Adjacency adjacency = Adjacency::None)
{
    WaitingJob job;
    job.id = id;
    job.account = "kothari-fit";
    job.kind = "alteration-sheet";
    job.shape = {tasks, accelerators, 1, 256, adjacency};
    job.enqueuedAt = at(0);
    job.declaredRun = Milliseconds(1000);
    return job;
}

template<typename Kind>
std::vector<Kind> only(const std::vector<Decision> &decisions)
{
    std::vector<Kind> found;
    for (const Decision &decision : decisions) {
        if (std::holds_alternative<Kind>(decision)) {
            found.push_back(std::get<Kind>(decision));
        }
    }
    return found;
}

} // namespace knapweed::planning
