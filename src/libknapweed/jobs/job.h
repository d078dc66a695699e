// The job model: a job has steps, a step has tasks, a task has runs. Independent of the platform's formats and of the programs that use it.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace knapweed::cell
{

/// Resources that one task uses on its endpoint, or that an endpoint provides.
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

/// Job, occurrence and step.
using StepName = std::tuple<std::string, int, int>;

/// One task of one occurrence of a job.
struct TaskId
{
    std::string job;
    int occurrence = 0; ///< counted from 0; always 0 for a job without a schedule
    int step = 0;
    int index = 0;

    bool operator==(const TaskId &) const = default;

    bool operator<(const TaskId &other) const
    {
        return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

/// One start of a task. The run numbers of a task increase; all members of a gang share one run number.
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
    Resources needs; ///< per task
    Milliseconds estimate {0}; ///< run time of one task as roughly estimated by the submitter
    std::vector<int> after; ///< indices of earlier steps whose tasks must all have succeeded
    bool isGang = false; ///< the tasks make progress only while all tasks of one run are running
    bool prefersOneRack = false; ///< the gang runs slower by the platform's off-rack factor when it spans several racks
    bool hasCheckpoints = false;
    bool maySpeculate = false; ///< several copies of a task may run at the same time
    bool isLongRunning = false; ///< the tasks run until the job is cancelled
    bool isFiller = false; ///< the processors of its tasks do not count against an endpoint's capacity
    std::string requiredLabel; ///< empty: any endpoint
    std::string dataRack; ///< rack that holds its data; empty: no preference
    int tasksPerEndpoint = 0; ///< upper limit; 0: none
    int maxUnavailable = 0; ///< long-running tasks that the system may interrupt at the same time
    std::string image; ///< tasks with the same image behave alike
    Milliseconds latencyTarget {0}; ///< target response time for the users of a long-running task; 0: none
};

/// Whether a queue needs placement advice, the adviser's time per call and per endpoint, and how long the tickets are valid.
struct AdvicePolicy
{
    bool isRequired = false;
    Milliseconds perCall {0};
    Milliseconds perEndpoint {0};
    Milliseconds validity {0};

    bool operator==(const AdvicePolicy &) const = default;
};

struct JobSpec
{
    std::string id;
    std::string queue;
    std::string account; ///< client account
    std::string service; ///< service of its queue at acceptance, used after the queue has been removed
    int priority = 0; ///< of its queue at acceptance, like service
    int attempts = 1; ///< of its queue at acceptance, like service
    AdvicePolicy advice; ///< of its queue at acceptance, like service
    std::string input; ///< passed to each task
    std::vector<Step> steps;
    int occurrences = 0; ///< 0: runs once, immediately
    WallTime firstDue {};
    Milliseconds interval {0};
    WallTime acceptedAt {}; ///< by the clock of the entry that scheduled then; the epoch if unknown
};

enum class JobState { Pending, Running, Succeeded, Failed, Cancelled };

/// Outcome of a run, as listed by its endpoint.
enum class RunOutcome {
    Done,
    Failed, ///< because of the task itself or of the endpoint
    Stopped,
    LeaseExpired, ///< the endpoint's lease expired
    GangMemberLost, ///< another member of its gang is no longer running
    GangIncomplete, ///< the other members of its gang did not start in time
};

} // namespace knapweed::cell
