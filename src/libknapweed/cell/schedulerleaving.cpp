// Moves urgent gangs off endpoints that leave before the gang's predicted end, instead of losing them with the endpoint.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

/// A gang whose predicted end is less than this after the endpoint leaves may still complete; predictions err by more.
constexpr Milliseconds predictionMargin {300};

} // namespace

/// Whether the whole gang could start again now, with the capacity that it frees on endpoints that stay.
bool Scheduler::hasRoomElsewhere(const Job &job, const UnitKey &key, const Unit &unit, BootTime now) const
{
    const Step &step = job.spec.steps[key.step];
    const Resources needs = countedNeeds(step);
    std::map<std::string, std::size_t> tasksByRack; // all under one name if the rack does not matter
    for (const auto &[agent, endpoint] : endpoints_) {
        const bool mayHold = isUsable(endpoint, now) && now >= endpoint.avoidUntil && endpoint.service == job.queue.service && unit.failedOn.count(agent) == 0;
        const bool hasLabel =
            step.requiredLabel.empty() || std::find(endpoint.labels.begin(), endpoint.labels.end(), step.requiredLabel) != endpoint.labels.end();
        const bool hasRack = step.dataRack.empty() || endpoint.rack == step.dataRack;
        if (!mayHold || !hasLabel || !hasRack) {
            continue;
        }
        Resources free = freeCapacity(endpoint);
        for (const MemberLocation &member : unit.members) {
            if (member.first == agent) {
                free += needs;
            }
        }
        std::size_t tasks = tasksWithin(needs, free);
        if (step.tasksPerEndpoint > 0) {
            tasks = std::min(tasks, static_cast<std::size_t>(step.tasksPerEndpoint));
        }
        tasksByRack[step.prefersOneRack ? endpoint.rack : std::string()] += tasks;
    }
    return std::any_of(tasksByRack.begin(), tasksByRack.end(), [&unit](const auto &rack) {
        return rack.second >= unit.indices.size();
    });
}

/// A step with checkpoints is left alone: what it does until the endpoint leaves is not lost, while stopping loses the work since its last checkpoint.
void Scheduler::moveGangs(const Endpoint &endpoint, BootTime now)
{
    if (!options_.loadPolicy.movesGangsOfLeavingEndpoints || !endpoint.isDraining || isRecovering_) {
        return;
    }
    std::vector<std::pair<std::string, UnitKey>> moved;
    for (const auto &[run, allocation] : endpoint.runs) {
        const auto job = jobs_.find(run.task.job);
        Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
        if (unit == nullptr || unit->indices.size() < 2 || unit->isStopping || unit->progress.isDone || unit->run != run.run || job->second.isFinished
            || job->second.queue.priority != 0 || allocation.isAdopted || allocation.state != Allocation::State::Listed) {
            continue;
        }
        const UnitKey key = unitKeyOf(job->second.spec, run.task);
        const Step &step = job->second.spec.steps[key.step];
        if (step.hasCheckpoints || step.isLongRunning) {
            continue;
        }
        const Milliseconds remaining = remainingTime(progressOf(allocation, now), runTimeOf(job->second, step), relativeSpeed(speeds_, endpoint.agent));
        if (now + remaining < endpoint.leavesAt + predictionMargin || !hasRoomElsewhere(job->second, key, *unit, now)) {
            continue;
        }
        logEvent(LogLevel::Info,
            "unit.moved",
            {{"job", run.task.job},
                {"step", std::to_string(key.step)},
                {"endpoint", endpoint.id},
                {"remaining_ms", std::to_string(remaining.count())},
                {"leaves_in_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(endpoint.leavesAt - now).count())}});
        moved.emplace_back(run.task.job, key);
    }
    // Stopping may release runs of this endpoint.
    for (const auto &[job, key] : moved) {
        Unit &unit = jobs_.at(job).units.at(key);
        if (!unit.isStopping) {
            stopUnit(unit, now);
        }
    }
}

} // namespace knapweed::cell
