// Evaluates the reports of endpoints over time: detects endpoints that fail or stall their runs and orders without an answer, and records checkpoints.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/runwire.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds orderTimeout {1500}; ///< longer than the agent's time-out for a call, so that the answer was lost with its connection
constexpr Milliseconds stopInterval {1000}; ///< between repeated stop orders for one run
constexpr Seconds checkpointInterval {2}; ///< between records of a job written only for its checkpoints: the additional work lost if all processes are lost
constexpr Seconds avoidDuration {6}; ///< how long an endpoint that fails or stalls its runs is given no work
constexpr std::size_t maxBlamedEndpoints = 2; ///< if a job has failed on more endpoints and succeeded on none, the job itself is the cause
constexpr Seconds stallWindow {10}; ///< within which tasks that stand still on one endpoint are counted together; longer than the smallest limits differ
constexpr std::size_t stallsToAvoid = 2; ///< tasks that stand still on an endpoint before it is avoided; a single one may be slower than expected
constexpr int failuresToAvoid = 3; ///< consecutive failed runs after which an endpoint is avoided; fewer are common with jobs that cannot succeed

} // namespace

/// A failure is not counted against the endpoint if the job has failed on several other endpoints and succeeded on none.
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
        if (!job->hasSucceededOnce && job->failedOn.size() > maxBlamedEndpoints) {
            return;
        }
    }
    endpoint.lastFailure = now;
    if (++endpoint.failuresInRow >= failuresToAvoid) {
        endpoint.avoidUntil = now + avoidDuration;
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
                releaseAll(endpoint, ReleaseReason::LeaseExpired, now);
            }
        } else if (now - endpoint.lastReport < reportTimeout) {
            checkRuns(endpoint, now);
            moveGangs(endpoint, now);
        }
    }
}

void Scheduler::checkRuns(Endpoint &endpoint, BootTime now)
{
    for (auto &[run, allocation] : endpoint.runs) {
        const bool isUnanswered = allocation.state == Allocation::State::Ordered && now - allocation.orderedAt > orderTimeout;
        const auto job = jobs_.find(run.task.job);
        Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
        const bool shouldStop = allocation.state == Allocation::State::Stopping || (unit != nullptr && unit->isStopping);
        if (isUnanswered || (shouldStop && now - allocation.orderedAt > stopInterval)) {
            sendStop(endpoint, run, now);
            continue;
        }
        // The members of a gang end together: a member that has completed its work waits for the slower ones.
        const bool isWaitingForGang = unit != nullptr && unit->indices.size() > 1 && allocation.percent >= 100;
        const bool isWorking = allocation.state == Allocation::State::Listed && unit != nullptr && !unit->isStopping && !isWaitingForGang;
        const Step *step = isWorking ? &job->second.spec.steps[run.task.step] : nullptr;
        if (step == nullptr || step->isLongRunning || now - allocation.progressAt <= shortestStallLimit) {
            continue;
        }
        const Milliseconds limit = stallLimit(allocation.pace, {runTimeOf(job->second, *step), step->estimate}, unit->stalls);
        if (now - allocation.progressAt > limit) {
            logEvent(LogLevel::Warning,
                "run.stalled",
                {{"job", run.task.job},
                    {"run", std::to_string(run.run)},
                    {"endpoint", endpoint.id},
                    {"percent", std::to_string(allocation.percent)},
                    {"limit_ms", std::to_string(limit.count())},
                    {"stalls", std::to_string(unit->stalls)}});
            recordStall(endpoint, run, allocation, now);
            unit->failedOn.insert(endpoint.agent);
            ++unit->stalls;
            stopUnit(*unit, now);
        }
    }
}

/// An endpoint that lets all its tasks stand still is given no work for some time. A task that takes longer than expected is no reason for that.
void Scheduler::recordStall(Endpoint &endpoint, const RunId &run, const Allocation &allocation, BootTime now)
{
    std::erase_if(endpoint.stalls, [now](const auto &stall) {
        return now - stall.second > stallWindow;
    });
    const bool isPaceKnown = timePerPercent(allocation.pace).has_value();
    endpoint.stalls[isPaceKnown ? nameOf(run.task) : run.task.job] = now;
    if (endpoint.stalls.size() >= stallsToAvoid) {
        endpoint.avoidUntil = now + avoidDuration;
        logEvent(LogLevel::Warning,
            "endpoint.avoided",
            {{"endpoint", endpoint.id}, {"reason", "stalls"}, {"within_window", std::to_string(endpoint.stalls.size())}});
    }
}

/// Records the checkpoint from which the task resumes if its endpoint is lost.
void Scheduler::recordCheckpoint(const RunId &run, const std::string &checkpoint)
{
    const auto job = jobs_.find(run.task.job);
    Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
    if (unit != nullptr && !unit->progress.isDone && unit->run == run.run) {
        unit->progress.checkpoint = checkpoint;
        job->second.hasPendingCheckpoints = true;
    }
}

/// Writes checkpoints that only this process holds in memory, for use by the next scheduler.
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
