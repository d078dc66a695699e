// The accepted jobs and their units. A unit is what starts and ends together: a gang, or one task.
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

/// A member of a run: the agent whose endpoint has it, and the run.
using MemberLocation = std::pair<std::string, RunId>;

struct Unit
{
    enum class Phase {
        Waiting, ///< nothing of it runs or may still start
        Active, ///< members is not empty
        Finished, ///< done, or its job is over
    };
    Phase phase = Phase::Waiting;
    std::vector<int> indices; ///< of its tasks
    UnitProgress progress; ///< as written last
    std::int64_t run = 0; ///< the newest run
    std::set<MemberLocation> members; ///< everything of it that takes room anywhere, of any run
    bool isStopping = false;
    BootTime readySince; ///< when it could first have started; the epoch before that
    std::set<std::string> failedOn; ///< endpoints where it failed or stalled
};

struct Job
{
    JobSpec spec;
    Queue queue; ///< as last configured, so that a removed queue's jobs go on
    bool isCancelled = false;
    bool hasFailed = false;
    std::map<UnitKey, Unit> units; ///< of the occurrences that are due
    int dueOccurrences = 0;
    bool hasBegun = false;
    bool hasSucceededOnce = false; ///< one of its tasks has
    std::set<std::string> failedOn; ///< agents of the endpoints where its tasks failed
    bool isFinished = false; ///< no unit will start any more
    std::uint64_t acceptedWrite = 0; ///< the write that makes its submission durable
    std::uint64_t lastWrite = 0; ///< of its progress
    std::uint64_t finalWrite = 0; ///< the write that makes its end durable, once it is over; later ones change nothing that callers see
    bool hasPendingCheckpoints = false; ///< its tasks have checkpoints that its last record lacks
    BootTime progressWrittenAt; ///< for its checkpoints alone
    BootTime acceptedAt;
    std::uint64_t order = 0; ///< of acceptance
    BootTime finishedAt;
};

/// Occurrences that the job runs in all; at least 1.
int occurrenceCount(const Job &job);

/// Adds the units of the occurrences that are due at @p now. Returns true when there are new ones.
bool addDueUnits(Job &job, WallTime now);

/// When the next occurrence is due; WallTime::max() when none is left.
WallTime nextDue(const Job &job);

/// The unit that @p task belongs to, or null.
Unit *unitOf(Job &job, const TaskId &task);
UnitKey unitKeyOf(const JobSpec &spec, const TaskId &task);

/// Whether all tasks of the steps that the unit's step depends on have succeeded.
bool areDependenciesDone(const Job &job, const UnitKey &key);

bool haveAllSucceeded(const Job &job);

/// Whether nothing can change what the job is shown as any more.
bool isFinal(const Job &job);

/// The accelerators that the tasks of its widest step take.
std::int64_t acceleratorsOf(const JobSpec &spec);

JobProgress progressOf(const Job &job);
/// Takes a stored progress into a job whose due units have been added.
void applyProgress(Job &job, const JobProgress &progress);

std::string jobRecordKey(const std::string &job);
std::string progressRecordKey(const std::string &job);

} // namespace knapweed::cell
