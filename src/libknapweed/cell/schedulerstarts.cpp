// Carries out the planner's starts: allocates capacity, records them, and sends the orders whose record is durable.

#include "cell/scheduler.h"

#include "base/invariant.h"
#include "base/logging.h"
#include "cell/runwire.h"

namespace knapweed::cell
{

namespace
{

/// Counted from the agent's newest report. An order that waits for a connection must not start a task more than 3 s after the acknowledgement of its cancel;
/// the rest of that time is left for the call to the endpoint.
constexpr Milliseconds startOrderValidity {2500};

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ",") + word;
    }
    return text;
}

} // namespace

void Scheduler::startUnit(const std::string &jobId, const UnitKey &key, Rank rank, const std::vector<std::string> &agents, BootTime now)
{
    Job &job = jobs_.at(jobId);
    Unit &unit = job.units.at(key);
    assertInvariant(unit.members.empty() && !unit.progress.isDone && !job.isFinished, "only a unit that is neither running nor finished is started");
    assertInvariant(agents.size() == unit.indices.size(), "each task of a unit is assigned to an endpoint");
    unit.phase = Unit::Phase::Active;
    unit.isStopping = false;
    unit.preemptsSince = BootTime();
    unit.reservesSince = BootTime();
    unit.run = options_.generation * runsPerGeneration + ++startedRuns_;
    unit.progress.agents = agents;
    const std::uint64_t write = writeProgress(job);
    if (!job.hasBegun) {
        job.hasBegun = true;
        job.begunWrite = write;
    }
    const Step &step = job.spec.steps[key.step];
    std::vector<std::string> racks;
    for (std::size_t i = 0; i < agents.size(); ++i) {
        Endpoint &endpoint = endpoints_.at(agents[i]);
        racks.push_back(endpoint.rack);
        const RunId run {{jobId, key.occurrence, key.step, unit.indices[i]}, unit.run};
        Allocation &allocation = endpoint.runs[run];
        allocation.state = Allocation::State::Planned;
        allocation.needs = countedNeeds(step);
        allocation.orderedAt = now;
        allocation.firstOrderedAt = now;
        allocation.progressAt = now;
        allocation.isWhole = unit.progress.checkpoint.empty();
        unit.members.insert({endpoint.agent, run});
        const Resources free = freeCapacity(endpoint);
        assertInvariant(free.milliCores >= 0 && free.memoryMib >= 0 && free.accelerators >= 0, "the allocations of an endpoint never exceed its capacity");
        PendingStart pending {write, endpoint.agent, endpoint.incarnation, run, {}};
        wire::StartOrder &order = pending.order;
        order.generation = options_.generation;
        order.endpoint = endpoint.id;
        order.born = endpoint.incarnation;
        order.run = wireRef(run);
        order.input = job.spec.input;
        order.checkpoint = unit.progress.checkpoint;
        order.milliCores = endpoint.capacity.milliCores;
        order.memoryMib = endpoint.capacity.memoryMib;
        order.accelerators = endpoint.capacity.accelerators;
        pendingStarts_.push_back(std::move(pending));
    }
    const auto advice = advice_.find({jobId, key.occurrence, key.step});
    if (advice != advice_.end()) {
        advice->second.callsSinceStart = 0;
    }
    logEvent(LogLevel::Info,
        "unit.planned",
        {{"job", jobId},
            {"step", std::to_string(key.step)},
            {"index", std::to_string(key.index)},
            {"run", std::to_string(unit.run)},
            {"agents", joined(agents)},
            {"cores", std::to_string(step.needs.milliCores / 1000)},
            {"memory_gib", std::to_string(step.needs.memoryMib / 1024)},
            {"accelerators", std::to_string(step.needs.accelerators)},
            {"estimate_ms", std::to_string(step.estimate.count())},
            {"checkpoints", step.hasCheckpoints ? "yes" : "no"},
            {"racks", joined(racks)},
            {"data_rack", step.dataRack},
            {"one_rack", step.prefersOneRack ? "yes" : "no"},
            {"rank", std::to_string(static_cast<int>(rank))},
            {"waited_ms", std::to_string((now - unit.readySince).count())}});
}

/// Sends a start order whose record is durable, so that the next scheduler can find the run.
void Scheduler::sendStart(const PendingStart &start, BootTime now)
{
    Endpoint *endpoint = currentEndpoint(start.agent, start.incarnation, start.order.endpoint);
    const auto allocation = endpoint == nullptr ? std::map<RunId, Allocation>::iterator() : endpoint->runs.find(start.run);
    if (endpoint == nullptr || allocation == endpoint->runs.end() || allocation->second.state != Allocation::State::Planned) {
        return; // stopped or lost in the meantime
    }
    if (!fits({}, freeCapacity(*endpoint)) || isInEvacuatedDomain(*endpoint)) {
        // The capacity has shrunk, or the endpoint is in another failure domain, since the start was planned. The whole unit is planned again.
        const auto job = jobs_.find(start.run.task.job);
        Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, start.run.task);
        if (unit != nullptr) {
            stopUnit(*unit, now);
        }
        return;
    }
    allocation->second.state = Allocation::State::Ordered;
    allocation->second.orderedAt = now;
    allocation->second.firstOrderedAt = now;
    allocation->second.progressAt = now;
    allocation->second.pace = allocation->second.isWhole ? paceFromStart(now) : RunPace();
    wire::StartOrder order = start.order;
    const TaskId &task = start.run.task;
    const auto advice = advice_.find({task.job, task.occurrence, task.step});
    if (advice != advice_.end()) {
        order.ticket = newestTicket(advice->second, {endpoint->id, endpoint->incarnation});
    }
    order.validUntilMs = (endpoint->lastReportSentAt + startOrderValidity).time_since_epoch().count();
    if (options_.servesEvacuations) {
        order.__set_evacuationPosition(evacuations_.position);
        order.__set_isEvacuated(isInEvacuatedDomain(*endpoint));
    }
    output_.messages.emplace_back(start.agent, std::move(order));
}

} // namespace knapweed::cell
