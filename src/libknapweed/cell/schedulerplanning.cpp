// Prepares the planner's input from the tables of jobs and endpoints.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/loadorder.h"
#include "cell/runwire.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds workTimeout {1200}; ///< two report intervals and a delay; an endpoint without a report for longer is given no work
constexpr Milliseconds urgentRackWait {800}; ///< how long a guaranteed unit waits for its rack: a third of the time limit for a reclaim
constexpr Milliseconds suspectWait {800}; ///< how long a unit of the first priority avoids suspect endpoints: as long as it waits for its rack
constexpr Seconds suspectDuration {10}; ///< how long an endpoint is suspect after a failure; faulty periods of endpoints last several seconds
constexpr Milliseconds rackWait {2000}; ///< for other units on a mostly idle fleet: less than the three seconds for which capacity may be idle while work waits
constexpr int offRackFactor = 3; ///< factor by which a task takes longer off its rack, as stated by the platform
constexpr double mostlyIdleUtilization = 0.5; ///< a service with a smaller share in use counts as mostly idle
/// Multiple of a unit's own work. Urgent work beyond a guarantee is worth several times as much as later work of its size.
constexpr double preemptionBudgetFactor = 2;
constexpr double checkpointSeconds = 0.5; ///< work between two checkpoints
constexpr std::size_t maxPlannedUnits = 2000; ///< units considered in one round; bounds its duration on a small machine

Rank rankOf(const Job &job, bool isGuaranteed)
{
    if (job.queue.priority == 0) {
        return isGuaranteed ? Rank::Guaranteed : Rank::First;
    }
    return job.queue.priority == 1 ? Rank::Second : Rank::Later;
}

/// Core-seconds of other units' work that may be lost for the unit.
double preemptionBudget(Rank rank, const Step &step, std::size_t tasks, Milliseconds runTime)
{
    return (rank <= Rank::First ? preemptionBudgetFactor : 0) * double(tasks) * coreEquivalents(step.needs) * std::chrono::duration<double>(runTime).count();
}

/// How long a unit waits for its rack. On a busy fleet, waiting is better than running off the rack until the wait exceeds the time that this would cost.
Milliseconds rackWaitLimit(Rank rank, const Step &step, Milliseconds runTime, bool isFleetIdle)
{
    if (rank == Rank::Guaranteed) {
        return urgentRackWait;
    }
    return isFleetIdle || step.isLongRunning ? rackWait : std::max(rackWait, runTime * (offRackFactor - 1));
}

double lostWork(const Step &step, const Allocation &allocation, BootTime now)
{
    double seconds = std::chrono::duration<double>(now - allocation.firstOrderedAt).count();
    if (step.hasCheckpoints) {
        seconds = std::min(seconds, checkpointSeconds);
    }
    return seconds * coreEquivalents(step.needs);
}

} // namespace

/// The jobs of the first priority that fit into the guarantees of their client accounts, filled in order of acceptance.
std::set<std::string> Scheduler::guaranteedJobs() const
{
    std::vector<const Job *> first;
    for (const auto &[id, job] : jobs_) {
        if (!job.isFinished && job.queue.priority == 0) {
            first.push_back(&job);
        }
    }
    std::sort(first.begin(), first.end(), [](const Job *left, const Job *right) {
        return left->order < right->order;
    });
    std::map<std::string, std::int64_t> used;
    std::set<std::string> guaranteed;
    for (const Job *job : first) {
        const std::int64_t needed = acceleratorsOf(job->spec);
        std::int64_t &sum = used[job->spec.account];
        if (sum + needed <= guaranteedAccelerators(configuration_, job->spec.account)) {
            sum += needed;
            guaranteed.insert(job->spec.id);
        }
    }
    return guaranteed;
}

bool Scheduler::isUsable(const Endpoint &endpoint, BootTime now) const
{
    return endpoint.isListed && !endpoint.isDraining && !isInEvacuatedDomain(endpoint) && now - endpoint.lastReport < workTimeout;
}

void Scheduler::updateServiceCapacity(BootTime now)
{
    capacityByService_.clear();
    for (const auto &[agent, endpoint] : endpoints_) {
        if (isUsable(endpoint, now)) {
            ServiceCapacity &sum = capacityByService_[endpoint.service];
            sum.capacity += endpoint.capacity;
            sum.free += freeCapacity(endpoint);
            ++sum.endpoints;
        }
    }
}

/// Whether the service has free capacity for twice the tasks of the step, and most of its capacity is not in use.
bool Scheduler::isMostlyIdle(const std::string &service, const Step &step) const
{
    const auto found = capacityByService_.find(service);
    if (found == capacityByService_.end()) {
        return false;
    }
    const Resources &free = found->second.free;
    const Resources &capacity = found->second.capacity;
    const Resources needs = countedNeeds(step);
    const std::int64_t copies = 2 * std::int64_t(step.tasks);
    const bool fitsTwice = fits({needs.milliCores * copies, needs.memoryMib * copies, needs.accelerators * copies}, free);
    const double freeCores = capacity.milliCores > 0 ? double(free.milliCores) / double(capacity.milliCores) : 0;
    const double freeAccelerators = capacity.accelerators > 0 ? double(free.accelerators) / double(capacity.accelerators) : 0;
    return fitsTwice && std::max(freeCores, freeAccelerators) > 1 - mostlyIdleUtilization;
}

WaitingUnit Scheduler::makeWaitingUnit(const Job &job, const UnitKey &key, const Unit &unit, Rank rank, BootTime now) const
{
    const Step &step = job.spec.steps[key.step];
    const Milliseconds runTime = runTimeOf(job, step);
    WaitingUnit waiting;
    waiting.runTime = runTime;
    waiting.rank = rank;
    waiting.tasks = unit.indices.size();
    waiting.needs = countedNeeds(step);
    waiting.service = job.queue.service;
    waiting.requiredLabel = step.requiredLabel;
    waiting.dataRack = step.dataRack;
    waiting.prefersOneRack = step.prefersOneRack;
    waiting.mayLeaveTooSmallRacks = now - unit.readySince > rackWaitLimit(waiting.rank, step, runTime, true);
    waiting.mayLeaveRack = now - unit.readySince > rackWaitLimit(waiting.rank, step, runTime, isMostlyIdle(job.queue.service, step));
    if (options_.loadPolicy.waitsForRack && rank == Rank::Guaranteed) {
        waiting.mayLeaveRack = now - unit.readySince > guaranteedRackWait(runTime, offRackFactor, options_.loadPolicy);
    }
    waiting.tasksPerEndpoint = static_cast<std::size_t>(step.tasksPerEndpoint);
    waiting.avoided = unit.failedOn;
    waiting.mayUseSuspects = waiting.rank > Rank::First || now - unit.readySince > suspectWait;
    waiting.startsAlone = !unit.progress.crashes.empty();
    waiting.preemptionBudget = preemptionBudget(waiting.rank, step, waiting.tasks, runTime);
    if (step.tasksPerEndpoint > 0) {
        waiting.stepName = job.spec.id + '.' + std::to_string(key.occurrence) + '.' + std::to_string(key.step);
        for (const auto &[otherKey, other] : job.units) {
            if (otherKey.occurrence != key.occurrence || otherKey.step != key.step) {
                continue;
            }
            for (const MemberLocation &member : other.members) {
                ++waiting.stepTasks[member.first];
            }
        }
    }
    return waiting;
}

std::vector<WaitingUnit> Scheduler::waitingUnits(const std::set<std::string> &guaranteed, BootTime now, std::vector<std::pair<std::string, UnitKey>> &unitIds)
{
    struct Item
    {
        std::tuple<Rank, int, Turn, std::uint64_t> order; ///< the last member keeps the units of a job together
        BootTime latestStart;
        const Job *job;
        const UnitKey *key;
        const Unit *unit;
        bool isNew; ///< it is considered for the first time
    };
    // Without a policy, the units of a rank go by their latest start alone.
    const auto turnOfStep = [this, now](const Job &job, const UnitKey &key, BootTime latestStart) -> Turn {
        if (!options_.loadPolicy.ordersByWorth) {
            return {false, latestStart, 0};
        }
        const Step &step = job.spec.steps[key.step];
        const Milliseconds runTime = runTimeOf(job, step);
        const BootTime since = job.dueSince[key.occurrence];
        const double work = std::chrono::duration<double>(runTime).count() * coreEquivalents(step.needs) * (step.isGang ? step.tasks : 1);
        return turnOf({since, latestStart, latestStart + runTime - since, work}, now);
    };
    // Upper limit of the units of one step that can be started in this round; urgent ones may use the capacity of others as well.
    const auto mostStartable = [this](const Job &job, const UnitKey &key, Rank rank) {
        const auto capacity = capacityByService_.find(job.queue.service);
        if (!options_.loadPolicy.plansAllUnits || capacity == capacityByService_.end()) {
            return std::numeric_limits<std::size_t>::max();
        }
        return tasksWithin(countedNeeds(job.spec.steps[key.step]), rank <= Rank::First ? capacity->second.capacity : capacity->second.free) + 1;
    };
    std::vector<Item> items;
    loadGauges_.waiting = {{Rank::Guaranteed, 0}, {Rank::First, 0}, {Rank::Second, 0}, {Rank::Later, 0}};
    for (auto &[id, job] : jobs_) {
        if (job.isFinished || job.acceptedWrite > storedWrite_) {
            continue;
        }
        const Rank rank = rankOf(job, guaranteed.count(id) != 0);
        std::pair<int, int> step {-1, -1};
        bool isStepReady = false;
        BootTime latestStart;
        Turn turn;
        std::size_t alike = 0; // units of the step that may still be planned
        for (auto &[key, unit] : job.units) {
            if (unit.phase != Unit::Phase::Waiting) {
                continue;
            }
            if (step != std::make_pair(key.occurrence, key.step)) {
                step = {key.occurrence, key.step};
                isStepReady = areDependenciesDone(job, key);
                if (isStepReady) {
                    latestStart = latestStartsOf(job, key.occurrence)[key.step];
                    turn = turnOfStep(job, key, latestStart);
                    alike = mostStartable(job, key, rank);
                }
            }
            if (!isStepReady || mayRunOnAwaitedAgent(unit)) {
                continue;
            }
            ++loadGauges_.waiting[rank];
            const bool isNew = unit.readySince == BootTime();
            if (isNew) {
                unit.readySince = now;
            }
            // The units of a step are alike, so that no more of them can find capacity than would fit into all that is free.
            const bool isAlike = unit.failedOn.empty() && unit.progress.crashes.empty();
            if (isAlike && alike == 0) {
                continue;
            }
            alike -= isAlike && alike > 0 ? 1 : 0;
            items.push_back({{rank, job.queue.priority, turn, job.order}, latestStart, &job, &key, &unit, isNew});
        }
    }
    std::stable_sort(items.begin(), items.end(), [](const Item &left, const Item &right) {
        return left.order < right.order;
    });
    if (!options_.loadPolicy.plansAllUnits) {
        items.resize(std::min(items.size(), maxPlannedUnits));
    }
    std::vector<WaitingUnit> units;
    std::map<StepName, std::set<std::string>> advised;
    for (const Item &item : items) {
        units.push_back(makeWaitingUnit(*item.job, *item.key, *item.unit, std::get<Rank>(item.order), now));
        if (item.job->queue.advice.isRequired) {
            const StepName step(item.job->spec.id, item.key->occurrence, item.key->step);
            const auto [agents, isFirst] = advised.try_emplace(step);
            if (isFirst) {
                agents->second = advisedAgents(*item.job, step, now);
            }
            units.back().needsAdvice = true;
            units.back().advised = agents->second;
        }
        applyLoadPolicy(*item.job, *item.key, *item.unit, item.latestStart, units.back(), now);
        if (item.isNew) {
            observeUrgentArrival(units.back(), now);
        }
        units.back().number = unitIds.size();
        unitIds.emplace_back(item.job->spec.id, *item.key);
    }
    return units;
}

std::vector<PlannedEndpoint> Scheduler::plannedEndpoints(
    const std::set<std::string> &guaranteed, BootTime now, std::vector<std::pair<std::string, UnitKey>> &unitIds) const
{
    std::map<std::pair<const Job *, UnitKey>, std::size_t> numbers;
    std::map<std::size_t, double> lost;
    std::vector<ObservedRun> running;
    std::vector<PlannedEndpoint> planned;
    for (const auto &[agent, endpoint] : endpoints_) {
        if (!isUsable(endpoint, now) || now < endpoint.avoidUntil) {
            continue;
        }
        PlannedEndpoint row;
        row.agent = agent;
        row.service = endpoint.service;
        row.rack = endpoint.rack;
        row.labels = {endpoint.labels.begin(), endpoint.labels.end()};
        row.capacity = endpoint.capacity;
        row.freeCapacity = freeCapacity(endpoint);
        row.speed = relativeSpeed(speeds_, agent);
        row.isSuspect = endpoint.failuresInRow > 0 && now - endpoint.lastFailure < suspectDuration;
        for (const auto &[run, allocation] : endpoint.runs) {
            const auto job = jobs_.find(run.task.job);
            if (job == jobs_.end()) {
                continue;
            }
            const UnitKey key = unitKeyOf(job->second.spec, run.task);
            const auto [number, isNew] = numbers.try_emplace({&job->second, key}, unitIds.size());
            if (isNew) {
                unitIds.emplace_back(run.task.job, key);
            }
            const auto unit = job->second.units.find(key);
            RunningPart part;
            part.unit = number->second;
            part.rank = rankOf(job->second, guaranteed.count(run.task.job) != 0);
            part.needs = allocation.needs;
            part.isLasting = job->second.spec.steps[key.step].isLongRunning;
            part.isStopping = unit == job->second.units.end() || unit->second.isStopping || unit->second.progress.isDone;
            if (!hasSettled(allocation, now)) {
                row.hasStartingRuns = true;
                row.isReserved = row.isReserved || (unit != job->second.units.end() && !unit->second.progress.crashes.empty());
            }
            lost[part.unit] += lostWork(job->second.spec.steps[key.step], allocation, now);
            running.push_back({part.unit, &job->second, key, &allocation, unit == job->second.units.end() ? nullptr : &unit->second, row.speed});
            row.parts.push_back(part);
        }
        planned.push_back(std::move(row));
    }
    for (PlannedEndpoint &row : planned) {
        for (RunningPart &part : row.parts) {
            part.lostWork = lost[part.unit];
        }
    }
    if (usesLoadPolicy(options_.loadPolicy)) {
        assessRunningParts(running, planned, now);
    }
    return planned;
}

void Scheduler::plan(BootTime now)
{
    std::vector<std::pair<std::string, UnitKey>> unitIds;
    const std::set<std::string> guaranteed = guaranteedJobs();
    updateServiceCapacity(now);
    deriveSpeeds(speeds_, now);
    const std::vector<WaitingUnit> units = waitingUnits(guaranteed, now, unitIds);
    hasBlockedUnits_ = false;
    plannedAt_ = now;
    if (units.empty() || !mayPlan()) {
        return;
    }
    const Plan plan = planUnits(units, plannedEndpoints(guaranteed, now, unitIds), plannerPolicy(now));
    hasBlockedUnits_ = !plan.blocked.empty();
    for (const PlannedStart &start : plan.starts) {
        startUnit(unitIds[start.number].first, unitIds[start.number].second, units[start.number].rank, start.agents, now);
    }
    callAdviser(units, unitIds, plan, now);
    for (const std::size_t number : plan.stops) {
        const auto &[jobId, key] = unitIds[number];
        const std::size_t preemptor = plan.preemptors.at(number);
        Unit &unit = jobs_.at(jobId).units.at(key);
        ++unit.preemptions;
        logEvent(LogLevel::Info,
            "unit.preempted",
            {{"job", jobId},
                {"step", std::to_string(key.step)},
                {"cost", std::to_string(std::llround(plan.costs.at(number)))},
                {"stops", std::to_string(unit.preemptions)},
                {"for_rank", std::to_string(static_cast<int>(units[preemptor].rank))}});
        stopUnit(unit, now);
    }
    for (const auto &[number, after] : plan.reservations) {
        const auto &[jobId, key] = unitIds[number];
        Unit &unit = jobs_.at(jobId).units.at(key);
        const bool isRenewed = unit.reservesSince != BootTime() && now - unit.reservesSince <= reservationPeriod(unit.reservedFor) * 2;
        if (!isRenewed) {
            unit.reservesSince = now;
            unit.reservedFor = after;
        }
    }
    for (const std::size_t number : plan.preempting) {
        const auto &[jobId, key] = unitIds[number];
        Unit &unit = jobs_.at(jobId).units.at(key);
        if (unit.preemptsSince == BootTime()) {
            unit.preemptsSince = now;
        }
    }
}

} // namespace knapweed::cell
