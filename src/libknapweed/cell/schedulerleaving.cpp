// Moves urgent gangs off endpoints that leave before the gang's predicted end, instead of losing them with the endpoint.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds placementTimeout {1200}; ///< as in planning: an endpoint without a report for longer is given no work
constexpr Milliseconds predictionMargin {
    300}; ///< a gang whose predicted end is less than this after the endpoint leaves may still complete; predictions err by more

/// How many tasks with the given needs fit.
std::int64_t copiesOf(const Resources &needs, const Resources &free)
{
    std::int64_t copies = INT32_MAX;
    const auto limit = [&copies](std::int64_t need, std::int64_t available) {
        copies = need > 0 ? std::min(copies, std::max<std::int64_t>(0, available / need)) : copies;
    };
    limit(needs.milliCores, free.milliCores);
    limit(needs.memoryMib, free.memoryMib);
    limit(needs.accelerators, free.accelerators);
    return copies;
}

} // namespace

/// Whether the whole gang could start again now, with the capacity that it frees on endpoints that stay.
bool Scheduler::hasRoomElsewhere(const Job &job, const UnitKey &key, const Unit &unit, BootTime now) const
{
    const Step &step = job.spec.steps[key.step];
    const Resources needs = countedNeeds(step);
    std::map<std::string, std::int64_t> copiesByRack; // all under one name if the rack does not matter
    for (const auto &[agent, endpoint] : endpoints_) {
        const bool isUsable = endpoint.isListed && !endpoint.isDraining && now - endpoint.lastReport < placementTimeout && now >= endpoint.avoidUntil
            && endpoint.service == job.queue.service && unit.failedOn.count(agent) == 0;
        const bool hasLabel =
            step.requiredLabel.empty() || std::find(endpoint.labels.begin(), endpoint.labels.end(), step.requiredLabel) != endpoint.labels.end();
        const bool hasRack = step.dataRack.empty() || endpoint.rack == step.dataRack;
        if (!isUsable || isInEvacuatedDomain(endpoint) || !hasLabel || !hasRack) {
            continue;
        }
        Resources free = freeCapacity(endpoint);
        for (const MemberLocation &member : unit.members) {
            if (member.first == agent) {
                free += needs;
            }
        }
        std::int64_t copies = copiesOf(needs, free);
        if (step.tasksPerEndpoint > 0) {
            copies = std::min<std::int64_t>(copies, step.tasksPerEndpoint);
        }
        copiesByRack[step.prefersOneRack ? endpoint.rack : std::string()] += copies;
    }
    return std::any_of(copiesByRack.begin(), copiesByRack.end(), [&unit](const auto &rack) {
        return rack.second >= std::int64_t(unit.indices.size());
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
