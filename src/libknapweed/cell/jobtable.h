// The accepted jobs and their units. A unit is a gang or a single task; its tasks are started together.
#pragma once

#include "cell/configuration.h"
#include "jobs/jobrecord.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::cell
{

/// A member of a unit: the agent of the endpoint that it is placed on, and its run.
using MemberLocation = std::pair<std::string, RunId>;

struct Unit
{
    enum class Phase {
        Waiting, ///< no member is running or may still start
        Active, ///< members is not empty
        Finished, ///< the unit has succeeded, or its job is finished
    };
    Phase phase = Phase::Waiting;
    std::vector<int> indices; ///< task indices within the step
    UnitProgress progress; ///< as recorded in the store
    std::int64_t run = 0; ///< number of the newest run
    std::set<MemberLocation> members; ///< all its allocations on endpoints, of any run
    bool isStopping = false;
    BootTime readySince; ///< when the unit became ready to start; the epoch before that
    std::set<std::string> failedOn; ///< agents of the endpoints where it failed or stalled
    int preemptions = 0; ///< how often this scheduler has stopped it for another unit
    BootTime reservesSince; ///< since when endpoints are reserved for it; the epoch if none are
    Milliseconds reservedFor {0}; ///< meaningful with reservesSince: the wait that was predicted then
    BootTime preemptsSince; ///< since when others are being stopped for it; the epoch if none are
    int stalls = 0; ///< how often it was stopped for showing no progress
};

struct Job
{
    JobSpec spec;
    Queue queue; ///< as last configured, so that jobs of a removed queue continue
    bool isCancelled = false;
    bool hasFailed = false;
    std::map<UnitKey, Unit> units; ///< of the occurrences that are due
    int dueOccurrences = 0;
    std::vector<BootTime> dueSince; ///< for each occurrence that is due
    bool hasBegun = false;
    std::uint64_t begunWrite = 0; ///< makes it durable that it has begun
    bool hasSucceededOnce = false; ///< at least one of its tasks has succeeded
    std::set<std::string> failedOn; ///< agents of the endpoints where its tasks failed
    bool isFinished = false; ///< no further unit will be started
    std::uint64_t acceptedWrite = 0; ///< the write that makes its submission durable
    std::uint64_t lastWrite = 0; ///< newest write of its progress
    std::uint64_t finalWrite = 0; ///< the write that makes its outcome durable, set once it is finished; later writes change nothing that callers see
    bool hasPendingCheckpoints = false; ///< its tasks have checkpoints that are missing from its last progress record
    BootTime progressWrittenAt; ///< when its progress was last written only because of new checkpoints
    std::uint64_t order = 0; ///< position in the order of acceptance
    BootTime finishedAt;
};

/// Total number of occurrences of the job; at least 1.
int occurrenceCount(const Job &job);

/// Adds the units of the occurrences that are due at @p wall. Returns whether any were added.
bool addDueUnits(Job &job, BootTime now, WallTime wall);

/// When the next occurrence is due; WallTime::max() if none is left.
WallTime nextDue(const Job &job);

/// The unit that @p task belongs to; null if there is none.
Unit *unitOf(Job &job, const TaskId &task);
UnitKey unitKeyOf(const JobSpec &spec, const TaskId &task);

/// Takes @p agent out of the record of a unit that has no member there. Returns whether it was recorded.
bool removeRecordedAgent(Unit &unit, const std::string &agent);

/// Whether all tasks of the steps on which the unit's step depends have succeeded.
bool areDependenciesDone(const Job &job, const UnitKey &key);

bool haveAllSucceeded(const Job &job);

/// Whether the job has reached a final state: cancelled, failed or succeeded.
bool isFinal(const Job &job);

/// The accelerators that all tasks of one step use together, for the step with the most.
std::int64_t acceleratorsOf(const JobSpec &spec);

JobProgress progressOf(const Job &job);
/// Applies stored progress to a job whose due units have been added.
void applyProgress(Job &job, const JobProgress &progress, BootTime now);

std::string jobRecordKey(const std::string &job);
std::string progressRecordKey(const std::string &job);

} // namespace knapweed::cell
