// What the scheduler makes of its endpoints' reports over time: which endpoints fail or stall what they run, which orders have had no answer, how long runs
// take, and the checkpoints that outlive them.

#include "cell/scheduler.h"

#include "base/logging.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds reportTimeout {1500}; ///< three report intervals: an endpoint that is silent for longer gets no work
constexpr Milliseconds orderTimeout {1500}; ///< after the agent's own time-out of a call: its answer was lost with its connection
constexpr Milliseconds stopInterval {1000}; ///< between repeated stops of one run
constexpr Milliseconds stallTimeout {2500}; ///< no progress for this long, where healthy tasks show some in each report
constexpr Seconds checkpointInterval {2}; ///< between records of one job for its checkpoints alone: what its tasks lose more when all processes are lost
constexpr Seconds avoidSpan {6}; ///< for which an endpoint that fails or stalls its runs gets no work
constexpr std::size_t endpointsToBlameJob = 2; ///< a job that fails on more and succeeds nowhere is to blame itself
constexpr int failuresToAvoid = 3; ///< runs that fail in a row: fewer are usual with jobs that can't be done

} // namespace

/// Only runs that did all of their work, one for each gang.
void Scheduler::recordRunTime(const Job &job, const Endpoint &endpoint, const RunId &run, BootTime now)
{
    const auto occupation = endpoint.runs.find(run);
    const Step &step = job.spec.steps[run.task.step];
    const bool isWhole = occupation != endpoint.runs.end() && !occupation->second.isAdopted && !step.hasCheckpoints;
    if (isWhole && (!step.isGang || run.task.index == 0)) {
        runTimes_.record(job.spec.account, job.spec.queue, now - occupation->second.firstOrderedAt);
    }
}

/// A failure of a job that succeeds nowhere and has failed on other endpoints says nothing of this one.
void Scheduler::updateHealth(Endpoint &endpoint, Job *job, RunOutcome outcome, BootTime now)
{
    if (outcome == RunOutcome::Done) {
        endpoint.failuresInRow = 0;
        if (job != nullptr) {
            job->hasSucceededOnce = true;
        }
        return;
    }
    if (outcome != RunOutcome::Failed) {
        return;
    }
    if (job != nullptr) {
        job->failedOn.insert(endpoint.agent);
        if (!job->hasSucceededOnce && job->failedOn.size() > endpointsToBlameJob) {
            return;
        }
    }
    endpoint.lastFailure = now;
    if (++endpoint.failuresInRow >= failuresToAvoid) {
        endpoint.avoidUntil = now + avoidSpan;
        logEvent(
            LogLevel::Warning, "endpoint.avoided", {{"endpoint", endpoint.id}, {"reason", "failures"}, {"in_row", std::to_string(endpoint.failuresInRow)}});
    }
}

void Scheduler::checkEndpoints(BootTime now)
{
    for (auto &[agent, endpoint] : endpoints_) {
        if (now >= endpoint.leaseExpiresAt) {
            if (!endpoint.runs.empty()) {
                logEvent(LogLevel::Warning, "endpoint.lapsed", {{"endpoint", endpoint.id}, {"runs", std::to_string(endpoint.runs.size())}});
                releaseAll(endpoint, now);
            }
        } else if (now - endpoint.lastReport < reportTimeout) {
            checkRuns(endpoint, now);
        }
    }
}

void Scheduler::checkRuns(Endpoint &endpoint, BootTime now)
{
    for (auto &[run, occupation] : endpoint.runs) {
        const bool isSilent = occupation.state == Allocation::State::Ordered && now - occupation.orderedAt > orderTimeout;
        const auto job = jobs_.find(run.task.job);
        Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
        const bool shouldStop = occupation.state == Allocation::State::Stopping || (unit != nullptr && unit->isStopping);
        if (isSilent || (shouldStop && now - occupation.orderedAt > stopInterval)) {
            sendStop(endpoint, run, now);
            continue;
        }
        // A gang ends together: a member that has done its share waits for the slower ones.
        const bool isWaitingForGang = unit != nullptr && unit->indices.size() > 1 && occupation.percent >= 100;
        const bool isWorking = occupation.state == Allocation::State::Listed && unit != nullptr && !unit->isStopping && !isWaitingForGang;
        if (isWorking && !job->second.spec.steps[run.task.step].isLongRunning && now - occupation.progressAt > stallTimeout) {
            logEvent(LogLevel::Warning,
                "run.stalled",
                {{"job", run.task.job}, {"run", std::to_string(run.run)}, {"endpoint", endpoint.id}, {"percent", std::to_string(occupation.percent)}});
            unit->failedOn.insert(endpoint.agent);
            endpoint.avoidUntil = now + avoidSpan;
            stopUnit(*unit, now);
        }
    }
}

/// What the task goes on from if its endpoint is lost.
void Scheduler::recordCheckpoint(const RunId &run, const std::string &checkpoint)
{
    const auto job = jobs_.find(run.task.job);
    Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
    if (unit != nullptr && !unit->progress.isDone && unit->run == run.run) {
        unit->progress.checkpoint = checkpoint;
        job->second.hasPendingCheckpoints = true;
    }
}

/// Checkpoints that only this process knows are written some time, for its successor.
void Scheduler::writePendingCheckpoints(BootTime now)
{
    for (auto &[id, job] : jobs_) {
        if (job.hasPendingCheckpoints && !job.isFinished && now - job.progressWrittenAt >= checkpointInterval) {
            job.progressWrittenAt = now;
            writeProgress(job);
        }
    }
}

} // namespace knapweed::cell
