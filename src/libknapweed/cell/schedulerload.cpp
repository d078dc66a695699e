// Feeds the load policy: the forecast of urgent arrivals, the predicted ends and the cost of running units, and the time that waiting units have to spare.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/runprediction.h"

#include <algorithm>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr double mostlyIdleShare = 0.5; ///< of all resources of a service; nothing is reserved while so much of it is free
constexpr Milliseconds idleReserveWait {1200}; ///< less than half of the three seconds for which capacity may be idle while work waits for it
constexpr int overdueObjectives = 3; ///< after so many objectives the capacity that is kept for urgent work is open to a unit
constexpr double speedTolerance = 0.95; ///< share of a required speed that is sufficient, because speeds are estimates
constexpr double fastestSpeed = 2; ///< no endpoint is expected to be faster; a unit that needs more than that misses its objective anywhere
constexpr Milliseconds stopMargin {600}; ///< from the end of a stopped run to its report
constexpr Milliseconds restoreTime {600}; ///< of a task that is started again from a checkpoint
constexpr Milliseconds logInterval {1000};

} // namespace

void Scheduler::observeUrgentArrival(const WaitingUnit &waiting, BootTime now)
{
    const auto capacity = capacityByService_.find(waiting.service);
    if (!options_.loadPolicy.reservesForUrgentWork || waiting.rank > Rank::First || capacity == capacityByService_.end()) {
        return;
    }
    const double share = dominantShare(waiting.needs, capacity->second.capacity) * double(capacity->second.endpoints);
    observeArrival(urgentArrivals_[waiting.service], share * double(waiting.tasks), now);
}

const LoadGauges &Scheduler::loadGauges() const
{
    return loadGauges_;
}

PlannerPolicy Scheduler::plannerPolicy(BootTime now)
{
    PlannerPolicy policy;
    policy.options = options_.loadPolicy;
    for (const auto &[service, forecast] : urgentArrivals_) {
        const auto capacity = capacityByService_.find(service);
        if (capacity == capacityByService_.end()) {
            continue;
        }
        Resources used = capacity->second.capacity;
        used -= capacity->second.free;
        const bool isIdle = dominantShare(used, capacity->second.capacity) < 1 - mostlyIdleShare;
        const double reserved = isIdle ? 0 : reservedEndpoints(forecast, capacity->second.endpoints, options_.loadPolicy, now);
        loadGauges_.reserved[service] = reserved;
        if (reserved > 0) {
            policy.reserved[service] = reserved;
        }
    }
    if (!policy.reserved.empty() && now - reserveLoggedAt_ >= logInterval) {
        reserveLoggedAt_ = now;
        for (const auto &[service, reserved] : policy.reserved) {
            logEvent(LogLevel::Info,
                "capacity.reserved",
                {{"service", service},
                    {"hundredths_of_endpoints", std::to_string(std::llround(reserved * 100))},
                    {"endpoints", std::to_string(capacityByService_.at(service).endpoints)}});
        }
    }
    return policy;
}

void Scheduler::applyLoadPolicy(const Job &job, const UnitKey &key, const Unit &unit, BootTime latestStart, WaitingUnit &waiting, BootTime now) const
{
    const LoadPolicyOptions &options = options_.loadPolicy;
    if (!usesLoadPolicy(options)) {
        return;
    }
    const Step &step = job.spec.steps[key.step];
    const Milliseconds waited = now - unit.readySince;
    const Milliseconds spare = latestStart - now;
    const Milliseconds objective = latestStart + waiting.runTime - job.dueSince[key.occurrence];
    waiting.mayUseReserved = waited > idleReserveWait && isMostlyIdle(job.queue.service, step);
    waiting.isOverdue = waited > objective * overdueObjectives;
    // A reservation is not renewed for a while if twice the predicted wait has passed in vain.
    const Milliseconds reserved = unit.reservesSince == BootTime() ? Milliseconds::zero() : now - unit.reservesSince;
    const Milliseconds useful = reservationPeriod(unit.reservedFor);
    waiting.mayReserve = reserved <= useful || reserved > useful * 2;
    if (step.isLongRunning) {
        waiting.runTime = Milliseconds::max() / 64; // it never ends before a reservation; divided so that it may be scaled by a speed
    }
    if (waiting.rank > Rank::First) {
        return;
    }
    const bool isPreempting = unit.preemptsSince != BootTime();
    const Milliseconds untilStopped = isPreempting ? std::max(Milliseconds::zero(), options.stopTime - (now - unit.preemptsSince)) : options.stopTime;
    if (options.weighsVictims) {
        waiting.mayPreempt = spare >= untilStopped || (isPreempting && now - unit.preemptsSince < options.stopTime + stopMargin);
    }
    if (options.placesBySpeed && !step.isLongRunning) {
        const auto speedFor = [&waiting](Milliseconds rest) {
            const double available = double((waiting.runTime + rest).count());
            const double needed = available > 0 ? speedTolerance * double(waiting.runTime.count()) / available : 0;
            return needed > fastestSpeed ? 0 : needed;
        };
        waiting.minSpeed = speedFor(spare);
        waiting.minSpeedAfterStop = speedFor(spare - untilStopped);
    }
}

/// Sets the predicted ends of the running units, and the cost of stopping them. The members of a gang end together, and are stopped together.
void Scheduler::assessRunningParts(const std::vector<ObservedRun> &running, std::vector<PlannedEndpoint> &planned, BootTime now) const
{
    const LoadPolicyOptions &options = options_.loadPolicy;
    std::map<std::size_t, VictimWork> units;
    std::map<std::tuple<const Job *, int, int>, Milliseconds> untilDue;
    for (const ObservedRun &run : running) {
        const Step &step = run.job->spec.steps[run.key.step];
        const Milliseconds runTime = runTimeOf(*run.job, step);
        const Milliseconds age = now - run.allocation->firstOrderedAt;
        // For a run that resumed from a checkpoint, the progress at its start is unknown.
        const RunProgress progress = run.allocation->isWhole ? RunProgress {age, 0, run.allocation->percent}
                                                             : RunProgress {Milliseconds(0), run.allocation->percent, run.allocation->percent};
        const Milliseconds remaining = step.isLongRunning ? Milliseconds::max() : remainingTime(progress, runTime, run.speed);
        const Milliseconds sinceCheckpoint = run.allocation->checkpointAt == BootTime() ? age : now - run.allocation->checkpointAt + restoreTime;
        const Milliseconds lost = step.hasCheckpoints ? std::min(age, sinceCheckpoint) : age;
        const auto [due, isNew] = untilDue.try_emplace({run.job, run.key.occurrence, run.key.step});
        if (isNew) {
            due->second = latestStartsOf(*run.job, run.key.occurrence)[run.key.step] + runTime - now;
        }
        VictimWork &unit = units[run.unit];
        unit.lost += std::chrono::duration<double>(lost).count() * coreEquivalents(step.needs);
        unit.whole += std::chrono::duration<double>(runTime).count() * coreEquivalents(step.needs);
        unit.remaining = std::max(unit.remaining, remaining);
        unit.repeated = std::max(unit.repeated, lost);
        unit.untilDue = due->second;
        unit.stops = run.state == nullptr ? 0 : run.state->preemptions;
    }
    for (PlannedEndpoint &row : planned) {
        for (RunningPart &part : row.parts) {
            const VictimWork &unit = units[part.unit];
            part.remaining = part.isStopping ? std::min(unit.remaining, options.stopTime) : unit.remaining;
            if (options.weighsVictims) {
                part.lostWork = victimCost(unit, options);
                part.stops = unit.stops;
            }
        }
    }
}

} // namespace knapweed::cell
