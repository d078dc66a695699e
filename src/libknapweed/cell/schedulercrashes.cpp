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

/// The runs held responsible for the end of the endpoint's incarnation, each with whether its unit is the only one. Empty if the endpoint left in order.
std::vector<std::pair<RunId, bool>> Scheduler::runsBlamedForCrash(const Endpoint &endpoint, BootTime now) const
{
    if (endpoint.isDraining) {
        return {};
    }
    std::vector<RunId> starting;
    std::vector<RunId> settled;
    for (const std::map<RunId, Allocation> *runs : {&endpoint.runs, &endpoint.lapsedRuns}) {
        for (const auto &[run, allocation] : *runs) {
            if (allocation.state != Allocation::State::Planned && allocation.state != Allocation::State::Orphaned) {
                (hasSettled(allocation, now) ? settled : starting).push_back(run);
            }
        }
    }
    const std::vector<RunId> &blamed = starting.empty() ? settled : starting;
    const bool isOneUnit = !starting.empty() && std::all_of(starting.begin(), starting.end(), [&](const RunId &run) {
        const auto job = jobs_.find(run.task.job);
        return job != jobs_.end() && run.task.job == starting.front().task.job
            && unitKeyOf(job->second.spec, run.task) == unitKeyOf(job->second.spec, starting.front().task);
    });
    std::vector<std::pair<RunId, bool>> result;
    result.reserve(blamed.size());
    for (const RunId &run : blamed) {
        result.emplace_back(run, isOneUnit);
    }
    return result;
}

/// Several members of a gang may crash their endpoints in one run; it is counted once. @p isCertain: no other unit can be the cause.
void Scheduler::countCrash(const RunId &run, const std::string &endpoint, bool isCertain, BootTime now)
{
    const auto found = jobs_.find(run.task.job);
    Unit *unit = found == jobs_.end() ? nullptr : unitOf(found->second, run.task);
    if (unit == nullptr || unit->progress.isDone || run.run <= unit->progress.lastCrashedRun) {
        return;
    }
    Job &job = found->second;
    unit->progress.lastCrashedRun = run.run;
    ++unit->progress.crashes;
    logEvent(LogLevel::Warning,
        "endpoint.crashed",
        {{"endpoint", endpoint},
            {"job", run.task.job},
            {"task", nameOf(run.task)},
            {"run", std::to_string(run.run)},
            {"crashes", std::to_string(unit->progress.crashes)},
            {"certain", isCertain ? "yes" : "no"}});
    if (unit->progress.crashes >= (isCertain ? certainCrashesUntilFailed : crashesUntilFailed) && !job.isFinished) {
        job.hasFailed = true;
        logEvent(LogLevel::Info, "job.failed", {{"job", job.spec.id}, {"crashes", std::to_string(unit->progress.crashes)}});
    }
    writeProgress(job);
    updateJobState(job, now);
}

/// Counts the starts of earlier schedulers on an incarnation of the endpoint that has ended, according to their records. Whether it crashed under them or left
/// isn't known.
void Scheduler::countCrashesBeforeTerm(const Endpoint &endpoint, BootTime now)
{
    const int tag = incarnationTag(endpoint.incarnation);
    std::vector<RunId> lost;
    for (auto &[id, job] : jobs_) {
        for (auto &[key, unit] : job.units) {
            for (std::size_t i = 0; i < unit.progress.incarnations.size() && !unit.progress.isDone; ++i) {
                if (unit.progress.agents[i] == endpoint.agent && unit.progress.incarnations[i] != tag) {
                    // Any run number of an earlier term; the record doesn't hold the run itself.
                    lost.push_back({{id, key.occurrence, key.step, unit.indices[i]}, options_.generation * runsPerGeneration});
                }
            }
        }
    }
    for (const RunId &run : lost) {
        countCrash(run, endpoint.id, false, now);
    }
}

} // namespace knapweed::cell
