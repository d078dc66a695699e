// The durable form of jobs: one record for what was submitted, which never changes, and one for how far the job has come, rewritten at each change.
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

/// What is kept of one unit of work (a gang, or one task) that has begun.
struct UnitProgress
{
    bool isDone = false;
    int failures = 0; ///< runs that ended failed
    std::int64_t lastFailedRun = 0; ///< the newest run whose failure is in failures
    std::string checkpoint; ///< what the next run resumes from; empty: from the start
    std::vector<std::string> agents; ///< of the newest run, by task: nowhere else can anything of the unit run

    bool operator==(const UnitProgress &) const = default;
};

/// The place of a unit in its job. A gang's index is -1.
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
    std::map<UnitKey, UnitProgress> units; ///< units that are not listed have not ended yet

    bool operator==(const JobProgress &) const = default;
};

std::string encodeSpec(const JobSpec &spec);
Result<JobSpec, JobRecordError> decodeSpec(const std::string &text);

std::string encodeProgress(const JobProgress &progress);
Result<JobProgress, JobRecordError> decodeProgress(const std::string &text);

} // namespace knapweed::cell
