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
constexpr int crashesUntilFailed = 3;

} // namespace

/// Counts the runs held responsible for the crash that the report tells of. Each run is counted once, whichever scheduler hears of it first: the record holds
/// the newest run that was counted.
void Scheduler::countCrashes(const wire::EndpointReport &report, BootTime now)
{
    std::vector<RunId> starting;
    std::vector<RunId> settled;
    for (const wire::LostRun &lost : report.lost) {
        (lost.isSettled ? settled : starting).push_back(runIdOf(lost.run));
    }
    const bool isOneUnit = !starting.empty() && std::all_of(starting.begin(), starting.end(), [&](const RunId &run) {
        const auto job = jobs_.find(run.task.job);
        return job != jobs_.end() && run.task.job == starting.front().task.job
            && unitKeyOf(job->second.spec, run.task) == unitKeyOf(job->second.spec, starting.front().task);
    });
    for (const RunId &run : starting.empty() ? settled : starting) {
        countCrash(run, report.endpoint, isOneUnit, now);
    }
}

/// Each task of a gang has a count of its own: endpoints that crash under different members show no task that crashes its endpoints. @p isCertain: no other
/// unit can be the cause.
void Scheduler::countCrash(const RunId &run, const std::string &endpoint, bool isCertain, BootTime now)
{
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
    TaskCrashes &crashes = unit->progress.crashes[run.task.index];
    crashes.lastRun = run.run;
    ++crashes.count;
    logEvent(LogLevel::Warning,
        "endpoint.crashed",
        {{"endpoint", endpoint},
            {"job", run.task.job},
            {"task", nameOf(run.task)},
            {"run", std::to_string(run.run)},
            {"crashes", std::to_string(crashes.count)},
            {"certain", isCertain ? "yes" : "no"}});
    if (crashes.count >= (isCertain ? certainCrashesUntilFailed : crashesUntilFailed) && !job.isFinished) {
        job.hasFailed = true;
        logEvent(LogLevel::Info, "job.failed", {{"job", job.spec.id}, {"task", nameOf(run.task)}, {"crashes", std::to_string(crashes.count)}});
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
