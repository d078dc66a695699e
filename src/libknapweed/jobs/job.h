// The plain job model: a job has steps, a step has tasks, a task has runs. Knows neither the platform nor any program.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace knapweed::cell
{

/// What one task takes on its endpoint, and what an endpoint has.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

inline Resources &operator+=(Resources &sum, const Resources &more)
{
    sum.milliCores += more.milliCores;
    sum.memoryMib += more.memoryMib;
    sum.accelerators += more.accelerators;
    return sum;
}

inline Resources &operator-=(Resources &rest, const Resources &less)
{
    rest.milliCores -= less.milliCores;
    rest.memoryMib -= less.memoryMib;
    rest.accelerators -= less.accelerators;
    return rest;
}

inline bool fits(const Resources &needs, const Resources &capacity)
{
    return needs.milliCores <= capacity.milliCores && needs.memoryMib <= capacity.memoryMib && needs.accelerators <= capacity.accelerators;
}

/// One task of one occurrence of a job.
struct TaskId
{
    std::string job;
    int occurrence = 0; ///< from 0; 0 for a job that is not scheduled
    int step = 0;
    int index = 0;

    bool operator==(const TaskId &) const = default;

    bool operator<(const TaskId &other) const
    {
        return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

/// One start of a task. Run numbers of a task rise; the members of a gang share one.
struct RunId
{
    TaskId task;
    std::int64_t run = 0;

    bool operator==(const RunId &) const = default;

    bool operator<(const RunId &other) const
    {
        return std::tie(task, run) < std::tie(other.task, other.run);
    }
};

struct Step
{
    int tasks = 1;
    Resources needs; ///< of each task
    Milliseconds estimate {0}; ///< of one task's run time, a rough figure by the submitter
    std::vector<int> after; ///< earlier steps whose tasks must all have succeeded
    bool isGang = false; ///< the tasks work only while all of one run are present
    bool prefersOneRack = false; ///< the gang is slower by the far factor on more than one rack
    bool hasCheckpoints = false;
    bool maySpeculate = false; ///< copies of a task may run at the same time
    bool isLongRunning = false; ///< the tasks run until the job is cancelled
    bool isFiller = false; ///< its processors don't count against an endpoint's capacity
    std::string requiredLabel; ///< empty: any endpoint
    std::string dataRack; ///< where its data is; empty: anywhere
    int tasksPerEndpoint = 0; ///< 0: no limit
    int maxUnavailable = 0; ///< lasting tasks that may be away at once by the system's doing
    std::string image; ///< tasks of one image behave alike
    Milliseconds latencyTarget {0}; ///< of the users that a lasting task serves; 0: none
};

struct JobSpec
{
    std::string id;
    std::string queue;
    std::string account; ///< client account
    std::string service; ///< of its queue when it was accepted, for when the queue is gone
    int priority = 0; ///< as service
    int attempts = 1; ///< as service
    std::string input; ///< given to each task
    std::vector<Step> steps;
    int occurrences = 0; ///< 0: runs once, at once
    WallTime firstDue {};
    Milliseconds interval {0};
};

enum class JobState { Pending, Running, Succeeded, Failed, Cancelled };

/// How a run ended, as its endpoint lists it.
enum class RunOutcome {
    Done,
    Failed, ///< by its own fault or the endpoint's
    Stopped,
    LeaseExpired, ///< the endpoint's lease ended
    GangMemberLost, ///< another member of its gang ended
    GangIncomplete, ///< the other members of its gang didn't come in time
};

} // namespace knapweed::cell
