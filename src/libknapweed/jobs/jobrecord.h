// The stored form of jobs: an immutable record of the submission, and a record of the progress, which is rewritten at each change.
#pragma once

#include "base/result.h"
#include "jobs/job.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::cell
{

struct JobRecordError
{
    std::string detail;
};

/// Crashes of endpoints that are counted against one task.
struct TaskCrashes
{
    int count = 0; ///< of endpoints that had just started the task when they crashed
    int suspected = 0; ///< of endpoints that may have run it then, or had run it for a while
    std::int64_t lastRun = 0; ///< the newest run of the task that was counted in either

    bool operator==(const TaskCrashes &) const = default;
};

/// Stored progress of a unit (a gang or a single task) that has been started.
struct UnitProgress
{
    bool isDone = false;
    int failures = 0; ///< number of failed runs
    std::int64_t lastFailedRun = 0; ///< the newest run counted in failures
    std::string checkpoint; ///< checkpoint that the next run resumes from; empty: it starts from the beginning
    std::vector<std::string> agents; ///< those where a run may be going on or may still start; no part of the unit can be running elsewhere
    std::map<int, TaskCrashes> crashes; ///< by index of the task; only tasks that are held responsible for a crash

    bool operator==(const UnitProgress &) const = default;
};

/// Identifies a unit within its job. The index of a gang is -1.
struct UnitKey
{
    int occurrence = 0;
    int step = 0;
    int index = -1;

    bool operator==(const UnitKey &) const = default;

    bool operator<(const UnitKey &other) const
    {
        return std::tie(occurrence, step, index) < std::tie(other.occurrence, other.step, other.index);
    }
};

struct JobProgress
{
    bool isCancelled = false;
    bool hasFailed = false; ///< a unit has used up its attempts
    bool hasBegun = false; ///< a unit has been started; not set if the units show it
    std::map<UnitKey, UnitProgress> units; ///< units without an entry have not finished yet

    bool operator==(const JobProgress &) const = default;
};

std::string encodeSpec(const JobSpec &spec);
Result<JobSpec, JobRecordError> decodeSpec(const std::string &text);

std::string encodeProgress(const JobProgress &progress);
Result<JobProgress, JobRecordError> decodeProgress(const std::string &text);

} // namespace knapweed::cell
