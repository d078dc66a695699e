// Placement advice in the scheduler: which agents a step may use, which step the adviser is called about next, and the tickets of starts.

#include "cell/scheduler.h"

#include "base/logging.h"

#include <algorithm>
#include <xxhash.h>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds urgentLead {2000}; ///< units of the first priority are taken to have waited for advice for so much longer
constexpr int unwantedPreference = 4; ///< of endpoints on which runs have failed; lower preferences are named first
constexpr int fullPreference = 2; ///< of endpoints where other work has to be stopped
constexpr int offRackPreference = 1;
constexpr Seconds adviceRetention {60}; ///< after the last planning of a unit of the step

/// A step that has found no endpoint in this round.
struct WaitingStep
{
    StepName step;
    BootTime since; ///< when it began to wait for a call
    std::size_t unit = 0; ///< index of its first blocked unit
    std::size_t tasks = 0;
};

/// How many tasks of the unit's step find capacity on the endpoint.
std::size_t tasksOn(const WaitingUnit &unit, const std::string &agent, const Resources &capacity)
{
    const std::size_t tasks = tasksWithin(unit.needs, capacity);
    if (unit.tasksPerEndpoint == 0) {
        return tasks;
    }
    const auto placed = unit.stepTasks.find(agent);
    const std::size_t taken = placed == unit.stepTasks.end() ? 0 : placed->second;
    return std::min(tasks, unit.tasksPerEndpoint - std::min(taken, unit.tasksPerEndpoint));
}

/// Lets the endpoints of the rack on which the unit runs fastest be named before others: that of its data, or for a gang the one with most capacity.
void preferRack(std::vector<AdviceCandidate> &candidates, const WaitingUnit &unit)
{
    std::map<std::string, std::size_t> tasksByRack;
    for (const AdviceCandidate &candidate : candidates) {
        tasksByRack[candidate.rack] += candidate.tasks;
    }
    std::string preferred = unit.dataRack;
    if (preferred.empty() && unit.prefersOneRack && unit.tasks > 1 && !tasksByRack.empty()) {
        const auto widest = std::max_element(tasksByRack.begin(), tasksByRack.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
        preferred = widest->first;
    }
    for (AdviceCandidate &candidate : candidates) {
        candidate.preference += preferred.empty() || candidate.rack == preferred ? 0 : offRackPreference;
    }
}

/// Brings the candidates into an order that differs from job to job, so that jobs that wait at the same time are spread over the endpoints.
void shuffle(std::vector<AdviceCandidate> &candidates, const std::string &job)
{
    const auto place = [&job](const AdviceCandidate &candidate) {
        const std::string text = job + candidate.endpoint.id;
        return XXH64(text.data(), text.size(), 0);
    };
    std::sort(candidates.begin(), candidates.end(), [&place](const AdviceCandidate &left, const AdviceCandidate &right) {
        return place(left) < place(right);
    });
}

} // namespace

/// The agents of the endpoints for which the step has a ticket.
std::set<std::string> Scheduler::advisedAgents(const Job &job, const StepName &step, BootTime now)
{
    StepAdvice &advice = advice_[step];
    advice.usedAt = now;
    std::set<std::string> agents;
    if (advice.tickets.empty()) {
        return agents;
    }
    const TicketClock clock = ticketClockFor(adviserCalls_, job.queue.advice);
    for (const auto &[agent, endpoint] : endpoints_) {
        if (!ticketFor(advice, {endpoint.id, endpoint.incarnation}, now, clock).empty()) {
            agents.insert(agent);
        }
    }
    return agents;
}

std::vector<Scheduler::UsableEndpoint> Scheduler::usableEndpoints(BootTime now) const
{
    std::vector<UsableEndpoint> usable;
    for (const auto &[agent, endpoint] : endpoints_) {
        if (isUsable(endpoint, now) && now >= endpoint.avoidUntil) {
            usable.push_back({&endpoint, freeCapacity(endpoint)});
        }
    }
    return usable;
}

/// Calls the adviser about the step that has waited longest of those that found no endpoint and could use a further ticket.
void Scheduler::callAdviser(const std::vector<WaitingUnit> &units, const std::vector<std::pair<std::string, UnitKey>> &unitIds, const Plan &plan, BootTime now)
{
    if (!maySendAdviserCall(adviserCalls_, now)) {
        return;
    }
    std::map<StepName, std::size_t> indexes;
    std::vector<WaitingStep> waiting;
    for (const std::size_t number : plan.blocked) {
        const auto &[jobId, key] = unitIds[number];
        const bool isBeingFreed = std::find(plan.preempting.begin(), plan.preempting.end(), number) != plan.preempting.end();
        if (!units[number].needsAdvice || isBeingFreed) {
            continue;
        }
        const StepName step(jobId, key.occurrence, key.step);
        const auto [index, isFirst] = indexes.try_emplace(step, waiting.size());
        if (isFirst) {
            const BootTime calledAt = advice_[step].calledAt;
            const BootTime since = calledAt == BootTime() ? jobs_.at(jobId).units.at(key).readySince : calledAt;
            waiting.push_back({step, since - (units[number].rank <= Rank::First ? urgentLead : Milliseconds(0)), number, 0});
        }
        waiting[index->second].tasks += units[number].tasks;
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingStep &left, const WaitingStep &right) {
        return left.since < right.since;
    });
    const std::vector<UsableEndpoint> usable = waiting.empty() ? std::vector<UsableEndpoint>() : usableEndpoints(now);
    for (const WaitingStep &next : waiting) {
        const Job &job = jobs_.at(unitIds[next.unit].first);
        StepAdvice &advice = advice_[next.step];
        const std::vector<EndpointLife> endpoints = adviceTargets(job, advice, units[next.unit], next.tasks, usable, now);
        if (!endpoints.empty()) {
            advice.calledAt = now;
            output_.adviceRequests.push_back(sendAdviserCall(adviserCalls_, next.step, job.queue.name, job.queue.advice, endpoints, now));
            return;
        }
    }
}

/// The endpoints to name in a call about a step of which @p tasks found no place; none if no further ticket would be of use now.
std::vector<EndpointLife> Scheduler::adviceTargets(
    const Job &job, const StepAdvice &advice, const WaitingUnit &unit, std::size_t tasks, const std::vector<UsableEndpoint> &endpoints, BootTime now) const
{
    const bool mayPreempt = unit.rank == Rank::Guaranteed || (unit.rank == Rank::First && unit.mayPreempt);
    const TicketClock clock = ticketClockFor(adviserCalls_, job.queue.advice);
    const BootTime earliestReply = now + adviceTime(job.queue.advice, 1);
    std::vector<AdviceCandidate> candidates;
    std::size_t advisedTasks = 0;
    for (const UsableEndpoint &usable : endpoints) {
        const Endpoint &endpoint = *usable.endpoint;
        const std::string &agent = endpoint.agent;
        const bool hasLabel =
            unit.requiredLabel.empty() || std::find(endpoint.labels.begin(), endpoint.labels.end(), unit.requiredLabel) != endpoint.labels.end();
        if (endpoint.service != unit.service || !hasLabel) {
            continue;
        }
        const std::size_t free = tasksOn(unit, agent, usable.free);
        const std::size_t possible = mayPreempt && free == 0 ? tasksOn(unit, agent, endpoint.capacity) : free;
        if (possible == 0) {
            continue;
        }
        const EndpointLife life {endpoint.id, endpoint.incarnation};
        if (!ticketFor(advice, life, earliestReply, clock).empty()) {
            advisedTasks += possible;
            continue;
        }
        const bool isUnwanted = unit.avoided.count(agent) != 0 || endpoint.failuresInRow > 0;
        candidates.push_back({life, possible, (isUnwanted ? unwantedPreference : 0) + (free == 0 ? fullPreference : 0), endpoint.rack});
    }
    preferRack(candidates, unit);
    shuffle(candidates, job.spec.id);
    // The tasks of a gang need tickets at the same time; others that found no place have no use for the tickets that are there.
    const std::size_t missing = unit.tasks > 1 && tasks > advisedTasks ? tasks - advisedTasks : tasks;
    const auto share = adviserCalls_.shares.find(job.queue.name);
    const AllowedShare known = share == adviserCalls_.shares.end() ? AllowedShare() : share->second;
    return endpointsToName(advice, std::move(candidates), {missing, job.queue.advice, adviserCalls_.slowness}, expectedShare(known, advice));
}

void Scheduler::handleAdvice(std::int64_t number, const AdviceResult &result, BootTime now)
{
    const std::optional<AdviserCall> call = endAdviserCall(adviserCalls_, number, result, now);
    if (!call) {
        return;
    }
    const auto &[jobId, occurrence, stepIndex] = call->step;
    const auto advice = advice_.find(call->step);
    const auto job = jobs_.find(jobId);
    if (advice != advice_.end()) {
        advice->second.calledAt = now;
    }
    if (!isOk(result)) {
        const bool isRefused = error(result) == AdviceFailure::Refused;
        logEvent(LogLevel::Warning,
            "advice.failed",
            {{"job", jobId},
                {"step", std::to_string(stepIndex)},
                {"reason", isRefused ? "refused" : "unanswered"},
                {"endpoints", std::to_string(call->endpoints.size())},
                {"after_ms", std::to_string((now - call->sentAt).count())},
                {"stated_ms", std::to_string(call->stated.count())}});
        return;
    }
    isPlanDue_ = true; // also for the next call
    if (advice == advice_.end() || job == jobs_.end()) {
        return;
    }
    ++advice->second.callsSinceStart;
    recordAdvice(advice->second, call->endpoints, value(result), call->sentAt, now, job->second.queue.advice.validity);
    logEvent(LogLevel::Info,
        "advice.received",
        {{"job", jobId},
            {"step", std::to_string(stepIndex)},
            {"endpoints", std::to_string(call->endpoints.size())},
            {"allowed", std::to_string(value(result).allowed.size())},
            {"after_ms", std::to_string((now - call->sentAt).count())},
            {"stated_ms", std::to_string(call->stated.count())}});
}

const AdviserCalls &Scheduler::adviserCalls() const
{
    return adviserCalls_;
}

void Scheduler::dropRefusedTicket(const StepName &step, const Endpoint &endpoint, BootTime now)
{
    const auto advice = advice_.find(step);
    if (advice != advice_.end() && dropTicket(advice->second, {endpoint.id, endpoint.incarnation}, now)) {
        adviserCalls_.ticketClock = TicketClock::FromRequest;
    }
}

void Scheduler::removeOldAdvice(BootTime now)
{
    std::erase_if(advice_, [now](const auto &item) {
        return now - item.second.usedAt > adviceRetention;
    });
}

} // namespace knapweed::cell
