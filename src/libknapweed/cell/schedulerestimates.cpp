// What the scheduler knows about durations: run times by queue, speeds of endpoints, and the time by which units must be started.

#include "cell/scheduler.h"

#include "cell/objective.h"
#include "cell/runwire.h"

#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr int minComparedPercent = 3; ///< progress from which a run time is derived; less of it says nothing, because percentages are whole
constexpr Milliseconds minComparedAge {1000}; ///< age from which a run time is derived
constexpr Milliseconds percentDelay {300}; ///< mean age of a percentage that has just been reported, with the time until the start
constexpr double percentDelayNoise = 0.2; ///< standard deviation of that in seconds
constexpr double taskDeviation = 0.25; ///< standard deviation of the logarithm of run times within one step

} // namespace

void Scheduler::declareRunTimes(const JobSpec &spec)
{
    for (const Step &step : spec.steps) {
        if (!step.isLongRunning) {
            runTimes_.declare(spec.account, spec.queue, step.estimate);
        }
    }
}

/// Records only runs that did all of their work, and one per gang.
void Scheduler::recordRunTime(const Job &job, const Endpoint &endpoint, const RunId &run, BootTime now)
{
    const auto allocation = endpoint.runs.find(run);
    const Step &step = job.spec.steps[run.task.step];
    const bool isComplete = allocation != endpoint.runs.end() && !allocation->second.isAdopted && !step.hasCheckpoints;
    // A member of a gang ends with the slowest one, so that its end says nothing about its own endpoint.
    if (allocation != endpoint.runs.end() && allocation->second.isWhole && !step.isGang) {
        observePace(speeds_, {job.spec.id, run.task.occurrence, run.task.step}, run.task.index, endpoint.agent, now - allocation->second.firstOrderedAt, now);
    }
    if (isComplete && (!step.isGang || run.task.index == 0)) {
        runTimes_.record(job.spec.account, job.spec.queue, now - allocation->second.firstOrderedAt);
    }
}

/// Derives the run time of a task from its progress, once there is enough of it to be compared. The members of a gang only show that none is slower.
void Scheduler::observeProgress(const Endpoint &endpoint, const RunId &run, const Allocation &allocation, BootTime now)
{
    const Milliseconds age = std::chrono::duration_cast<Milliseconds>(now - allocation.firstOrderedAt);
    if (!allocation.isWhole || allocation.percent < minComparedPercent || allocation.percent >= 100 || age < minComparedAge) {
        return;
    }
    const Milliseconds runTime = (age - percentDelay) * 200 / (2 * allocation.percent + 1);
    const auto job = jobs_.find(run.task.job);
    const Step *step = job == jobs_.end() ? nullptr : &job->second.spec.steps[run.task.step];
    if (step != nullptr && step->isGang) {
        const std::optional<Milliseconds> learned = runTimes_.learned(job->second.spec.account, job->second.spec.queue);
        if (learned) {
            observeGangPace(speeds_, endpoint.agent, runTime, *learned, now);
        }
        return;
    }
    const double noise = std::hypot(percentDelayNoise / std::chrono::duration<double>(age - percentDelay).count(), 0.5 / allocation.percent) / taskDeviation;
    observePace(speeds_, {run.task.job, run.task.occurrence, run.task.step}, run.task.index, endpoint.agent, runTime, now, 1 / (1 + noise * noise));
}

/// Expected duration of one run of the step: the median of recent runs of its queue, or of what submitters declared while too few are known.
Milliseconds Scheduler::runTimeOf(const Job &job, const Step &step) const
{
    return runTimes_.quantile(job.spec.account, job.spec.queue, step.estimate, 0.5);
}

/// For each step of the job, the time by which it must be started to meet the objective of its queue.
std::vector<BootTime> Scheduler::latestStartsOf(const Job &job, int occurrence) const
{
    const auto capacity = capacityByService_.find(job.queue.service);
    std::vector<Milliseconds> durations;
    durations.reserve(job.spec.steps.size());
    for (const Step &step : job.spec.steps) {
        durations.push_back(
            stepDuration(step, countedNeeds(step), runTimeOf(job, step), capacity == capacityByService_.end() ? Resources() : capacity->second.capacity));
    }
    return latestStarts(chainDurations(job.spec.steps, durations), job.queue.stretch, job.queue.slack, job.dueSince[occurrence]);
}

} // namespace knapweed::cell
