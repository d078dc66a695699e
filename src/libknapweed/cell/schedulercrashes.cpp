// Counts the crashes of endpoints against the units that caused them. Of all runs that are lost with an endpoint, those are held responsible that it had only
// just started: it has shown of the others that it survives them. A unit that is held responsible starts alone from then on (planner.h), so that the next crash
// shows whether it was the cause.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr int certainCrashesUntilFailed = 2; ///< when the last crash has one possible cause only
constexpr int crashesUntilFailed = 3; ///< with those that it may not have met: a task may crash each endpoint before that shows it

bool isGivenUp(const TaskCrashes &crashes, bool isCertain)
{
    return (isCertain && crashes.count >= certainCrashesUntilFailed) || crashes.count + crashes.suspected >= crashesUntilFailed;
}

} // namespace

/// Counts the runs held responsible for the crash that the report tells of. Each run is counted once, whichever scheduler hears of it first: the record holds
/// the newest run that was counted. A crash is held as a suspicion only against a run that the endpoint may not have had any more, and against one that had
/// settled: it may have ended in the moment before.
void Scheduler::countCrashes(const wire::EndpointReport &report, BootTime now)
{
    std::vector<wire::LostRun> starting;
    std::vector<wire::LostRun> settled;
    for (const wire::LostRun &lost : report.lost) {
        (lost.isSettled ? settled : starting).push_back(lost);
    }
    const bool wasAnyStarting = std::any_of(starting.begin(), starting.end(), [](const wire::LostRun &lost) {
        return lost.wasRunning;
    });
    const bool isOneUnit = wasAnyStarting && std::all_of(starting.begin(), starting.end(), [&](const wire::LostRun &lost) {
        const TaskId task = runIdOf(lost.run).task;
        const TaskId first = runIdOf(starting.front().run).task;
        const auto job = jobs_.find(task.job);
        return job != jobs_.end() && task.job == first.job && unitKeyOf(job->second.spec, task) == unitKeyOf(job->second.spec, first);
    });
    for (const wire::LostRun &lost : starting) {
        countCrash(lost, report.endpoint, isOneUnit, now);
    }
    if (!wasAnyStarting) {
        for (const wire::LostRun &lost : settled) {
            countCrash(lost, report.endpoint, false, now);
        }
    }
}

/// Each task of a gang has a count of its own: endpoints that crash under different members show no task that crashes its endpoints. @p isCertain: no other
/// unit can be the cause.
void Scheduler::countCrash(const wire::LostRun &lost, const std::string &endpoint, bool isCertain, BootTime now)
{
    const RunId run = runIdOf(lost.run);
    const auto found = jobs_.find(run.task.job);
    Unit *unit = found == jobs_.end() ? nullptr : unitOf(found->second, run.task);
    if (unit == nullptr || unit->progress.isDone) {
        return;
    }
    const auto counted = unit->progress.crashes.find(run.task.index);
    if (counted != unit->progress.crashes.end() && run.run <= counted->second.lastRun) {
        return;
    }
    Job &job = found->second;
    if (lost.isSettled && job.spec.steps[run.task.step].isLongRunning) {
        return; // a task that lasts meets crashes that it hasn't caused for as long as it lives
    }
    TaskCrashes &crashes = unit->progress.crashes[run.task.index];
    crashes.lastRun = run.run;
    ++(lost.wasRunning && !lost.isSettled ? crashes.count : crashes.suspected);
    logEvent(LogLevel::Warning,
        "endpoint.crashed",
        {{"endpoint", endpoint},
            {"job", run.task.job},
            {"task", nameOf(run.task)},
            {"run", std::to_string(run.run)},
            {"crashes", std::to_string(crashes.count)},
            {"suspected", std::to_string(crashes.suspected)},
            {"was_running", lost.wasRunning ? "yes" : "no"},
            {"settled", lost.isSettled ? "yes" : "no"},
            {"certain", isCertain ? "yes" : "no"}});
    if (isGivenUp(crashes, isCertain) && !job.isFinished) {
        job.hasFailed = true;
        logEvent(LogLevel::Info,
            "job.failed",
            {{"job", job.spec.id}, {"task", nameOf(run.task)}, {"crashes", std::to_string(crashes.count)}, {"suspected", std::to_string(crashes.suspected)}});
    }
    writeProgress(job);
    updateJobState(job, now);
}

/// Takes the endpoint out of the records of the units that earlier schedulers started there and that its first lists do not hold: no later scheduler has to
/// wait for it.
void Scheduler::removeFromRecords(const Endpoint &endpoint)
{
    for (auto &[id, job] : jobs_) {
        for (auto &[key, unit] : job.units) {
            if (!unit.progress.isDone && removeRecordedAgent(unit, endpoint.agent)) {
                writeProgress(job);
            }
        }
    }
}

} // namespace knapweed::cell
