// Creates the units of a job by occurrence and step, and converts them from and to stored progress.

#include "cell/jobtable.h"

#include <algorithm>

namespace knapweed::cell
{

int occurrenceCount(const Job &job)
{
    return std::max(1, job.spec.occurrences);
}

WallTime nextDue(const Job &job)
{
    if (job.dueOccurrences >= occurrenceCount(job)) {
        return WallTime::max();
    }
    return job.spec.occurrences == 0 ? WallTime::min() : job.spec.firstDue + job.spec.interval * job.dueOccurrences;
}

namespace
{

constexpr Seconds maxOverdue {60}; ///< limits the effect of a clock that differs from that of an earlier scheduler

/// When the next occurrence became due, derived from its wall-clock time.
BootTime nextDueSince(const Job &job, BootTime now, WallTime wall)
{
    const WallTime due = job.spec.occurrences == 0 ? job.spec.acceptedAt : nextDue(job);
    const Milliseconds overdue = std::chrono::duration_cast<Milliseconds>(wall - due);
    return due == WallTime() ? now : now - std::clamp<Milliseconds>(overdue, Milliseconds(0), maxOverdue);
}

} // namespace

bool addDueUnits(Job &job, BootTime now, WallTime wall)
{
    bool hasNew = false;
    while (nextDue(job) <= wall) {
        job.dueSince.push_back(nextDueSince(job, now, wall));
        const int occurrence = job.dueOccurrences++;
        hasNew = true;
        for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
            const Step &plan = job.spec.steps[step];
            if (plan.isGang) {
                Unit &unit = job.units[{occurrence, step, -1}];
                for (int index = 0; index < plan.tasks; ++index) {
                    unit.indices.push_back(index);
                }
                continue;
            }
            for (int index = 0; index < plan.tasks; ++index) {
                job.units[{occurrence, step, index}].indices = {index};
            }
        }
    }
    return hasNew;
}

UnitKey unitKeyOf(const JobSpec &spec, const TaskId &task)
{
    const bool isGang = task.step >= 0 && task.step < static_cast<int>(spec.steps.size()) && spec.steps[task.step].isGang;
    return {task.occurrence, task.step, isGang ? -1 : task.index};
}

Unit *unitOf(Job &job, const TaskId &task)
{
    const auto found = job.units.find(unitKeyOf(job.spec, task));
    if (found == job.units.end()) {
        return nullptr;
    }
    const std::vector<int> &indices = found->second.indices;
    return std::find(indices.begin(), indices.end(), task.index) == indices.end() ? nullptr : &found->second;
}

bool removeRecordedAgent(Unit &unit, const std::string &agent)
{
    const bool hasMember = std::any_of(unit.members.begin(), unit.members.end(), [&agent](const MemberLocation &member) {
        return member.first == agent;
    });
    return !hasMember && std::erase(unit.progress.agents, agent) != 0;
}

bool areDependenciesDone(const Job &job, const UnitKey &key)
{
    const std::vector<int> &after = job.spec.steps[key.step].after;
    if (after.empty()) {
        return true;
    }
    for (auto unit = job.units.lower_bound({key.occurrence, 0, -1}); unit != job.units.end() && unit->first.occurrence == key.occurrence; ++unit) {
        const bool isNeeded = std::find(after.begin(), after.end(), unit->first.step) != after.end();
        if (isNeeded && !unit->second.progress.isDone) {
            return false;
        }
    }
    return true;
}

bool haveAllSucceeded(const Job &job)
{
    if (job.dueOccurrences < occurrenceCount(job)) {
        return false;
    }
    return std::all_of(job.units.begin(), job.units.end(), [](const auto &unit) {
        return unit.second.progress.isDone;
    });
}

bool isFinal(const Job &job)
{
    return job.isCancelled || job.hasFailed || haveAllSucceeded(job);
}

std::int64_t acceleratorsOf(const JobSpec &spec)
{
    std::int64_t most = 0;
    for (const Step &step : spec.steps) {
        most = std::max(most, step.needs.accelerators * step.tasks);
    }
    return most;
}

JobProgress progressOf(const Job &job)
{
    JobProgress progress;
    progress.isCancelled = job.isCancelled;
    progress.hasFailed = job.hasFailed;
    for (const auto &[key, unit] : job.units) {
        if (unit.progress != UnitProgress()) {
            progress.units[key] = unit.progress;
        }
    }
    progress.hasBegun = job.hasBegun && progress.units.empty();
    return progress;
}

void applyProgress(Job &job, const JobProgress &progress, BootTime now)
{
    job.isCancelled = progress.isCancelled;
    job.hasFailed = progress.hasFailed;
    job.hasBegun = progress.hasBegun;
    if (!progress.units.empty() && job.spec.occurrences > 0) {
        // Occurrences with progress have been due, even if this machine's clock is behind.
        addDueUnits(job, now, job.spec.firstDue + job.spec.interval * progress.units.rbegin()->first.occurrence);
    }
    for (const auto &[key, stored] : progress.units) {
        const auto unit = job.units.find(key);
        if (unit == job.units.end()) {
            continue; // no such task in this job: the record was written by a version that divided jobs into units differently
        }
        unit->second.progress = stored;
        unit->second.phase = stored.isDone ? Unit::Phase::Finished : Unit::Phase::Waiting;
        job.hasBegun = true;
    }
}

std::string jobRecordKey(const std::string &job)
{
    return "j." + job;
}

std::string progressRecordKey(const std::string &job)
{
    return "p." + job;
}

} // namespace knapweed::cell
