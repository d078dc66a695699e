// Handles the reports of endpoints: their runs, the ends of runs, and the outcomes of orders.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/entryrecord.h"
#include "cell/runwire.h"

#include <algorithm>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr double noticeableSpeedRatio = 1.05; ///< a smaller change of a speed changes no placement

bool isStep(const JobSpec &spec, int step)
{
    return step >= 0 && step < static_cast<int>(spec.steps.size());
}

/// The relative speed that an earlier scheduler, or this one, has given to the agent for this boot of its endpoint; 0 if none.
double statedSpeed(const wire::EndpointReport &report)
{
    const bool isStated = report.__isset.speedPermille && report.__isset.speedBorn && report.speedBorn == report.born && report.speedPermille > 0;
    return isStated ? double(report.speedPermille) / 1000 : 0;
}

} // namespace

Endpoint *Scheduler::currentEndpoint(const std::string &agent, std::int64_t incarnation, const std::string &id)
{
    const auto found = endpoints_.find(agent);
    return found != endpoints_.end() && found->second.incarnation == incarnation && found->second.id == id ? &found->second : nullptr;
}

void Scheduler::handle(const std::string &peer, const wire::EndpointReport &report, BootTime now)
{
    if (report.generation != options_.generation || report.endpoint.empty()) {
        return;
    }
    const auto known = endpoints_.find(peer);
    if (known != endpoints_.end() && report.born < known->second.incarnation) {
        return; // delayed report of an earlier incarnation
    }
    const bool isSameIncarnation = known != endpoints_.end() && known->second.incarnation == report.born && known->second.id == report.endpoint;
    if (isSameIncarnation && known->second.agentIncarnation == report.life && report.sequence <= known->second.sequence) {
        return;
    }
    updateEndpoint(peer, report, now);
    Endpoint &endpoint = endpoints_.at(peer);
    countCrashes(report, now);
    grant(endpoint, report, now);
    if (!report.isListed) {
        return;
    }
    isPlanDue_ = isPlanDue_ || !endpoint.isListed;
    endpoint.isListed = true;
    applyEnds(endpoint, report, now);
    applyRunning(endpoint, report, now);
    releaseOrphaned(endpoint, now);
    advanceStoredEnds(endpoint);
    if (awaitedAgents_.erase(peer) != 0) {
        removeFromRecords(endpoint);
        isPlanDue_ = true;
    }
}

void Scheduler::updateEndpoint(const std::string &agent, const wire::EndpointReport &report, BootTime now)
{
    Endpoint &endpoint = endpoints_[agent];
    if (endpoint.incarnation != report.born || endpoint.id != report.endpoint) {
        // A new incarnation with the same id may still execute a delayed start order. Runs without an answer are therefore stopped there, and their units are
        // not started elsewhere before the lists of the new incarnation are known.
        std::map<RunId, Allocation> kept;
        if (endpoint.id == report.endpoint) {
            for (auto &[run, allocation] : endpoint.runs) {
                const bool isSent = allocation.state != Allocation::State::Planned;
                if (isSent) {
                    allocation.state = allocation.state == Allocation::State::Ordered ? Allocation::State::Ordered : Allocation::State::Orphaned;
                    kept.insert({run, allocation});
                }
            }
        }
        for (const auto &[run, allocation] : kept) {
            endpoint.runs.erase(run);
        }
        if (!endpoint.runs.empty()) {
            logEvent(LogLevel::Warning,
                "endpoint.replaced",
                {{"agent", agent}, {"endpoint", endpoint.id}, {"by", report.endpoint}, {"runs", std::to_string(endpoint.runs.size())}});
        }
        releaseAll(endpoint, ReleaseReason::EndpointReplaced, now);
        forgetPaces(speeds_, agent);
        endpoint = Endpoint();
        endpoint.runs = std::move(kept);
        endpoint.agent = agent;
        endpoint.id = report.endpoint;
        endpoint.incarnation = report.born;
        if (statedSpeed(report) > 0) {
            carrySpeed(speeds_, agent, statedSpeed(report), now);
        }
        isPlanDue_ = true;
        logEvent(LogLevel::Info,
            "endpoint.joined",
            {{"agent", agent}, {"endpoint", endpoint.id}, {"service", report.serviceName}, {"rack", report.rack}, {"born", std::to_string(report.born)}});
        for (const auto &[run, allocation] : std::map<RunId, Allocation>(endpoint.runs)) {
            if (allocation.state == Allocation::State::Ordered) {
                sendStop(endpoint, run, now);
            }
        }
    }
    if (endpoint.isDraining != report.draining) {
        logEvent(LogLevel::Info, "endpoint.draining", {{"endpoint", endpoint.id}, {"remaining_ms", std::to_string(report.leavesInMs)}});
    }
    endpoint.service = report.serviceName;
    endpoint.failureDomain = report.failureDomain;
    endpoint.rack = report.rack;
    endpoint.labels = report.labels;
    endpoint.capacity = {report.milliCores, report.memoryMib, report.accelerators};
    endpoint.isDraining = report.draining;
    endpoint.leavesAt = now + Milliseconds(report.leavesInMs);
    endpoint.sequence = report.sequence;
    endpoint.agentIncarnation = report.life;
    if (now - endpoint.lastReport >= reportTimeout) {
        // The lists of the first reports after a silence may be from before it, so that a lack of progress is counted from now.
        for (auto &[run, allocation] : endpoint.runs) {
            allocation.progressAt = now;
        }
    }
    endpoint.lastReport = now;
    endpoint.lastReportSentAt = BootTime(Milliseconds(report.sentAtMs));
}

void Scheduler::setEarlierExtensionsEnd(BootTime end)
{
    earlierLeasesEnd_ = std::max(recoveryBeganAt_, end) + options_.lease + leaseMargin;
}

void Scheduler::confirmLeases(BootTime until)
{
    leasesConfirmedUntil_ = until;
}

std::uint64_t Scheduler::recordEntries(const EntryIncarnations &entries)
{
    return write({entryRecordKey, encodeEntries(entries)});
}

/// Extends the lease of the endpoint. The lease counts from when the agent sent the report, which was before @p now, so it expires no later than recorded here.
/// A scheduler that reaches neither the store nor a majority of the entries extends none, because a later one may take the leases to have run out.
void Scheduler::grant(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now)
{
    wire::EndpointGrant grant;
    grant.generation = options_.generation;
    if (now < std::max(confirmedUntil_, leasesConfirmedUntil_)) {
        endpoint.leaseExpiresAt = now + options_.lease + leaseMargin;
        grant.sentAtMs = report.sentAtMs;
    } else if (endpoint.leaseExpiresAt == BootTime()) {
        endpoint.leaseExpiresAt = std::max(earlierLeasesEnd_, now + options_.lease + leaseMargin); // one that was granted before is not known
    }
    grant.endpoint = endpoint.id;
    grant.born = endpoint.incarnation;
    grant.endsStored = endpoint.endsStored;
    const double speed = relativeSpeed(speeds_, endpoint.agent);
    const double stated = statedSpeed(report) > 0 ? statedSpeed(report) : 1;
    if (std::max(speed, stated) >= noticeableSpeedRatio * std::min(speed, stated)) {
        grant.__set_speedPermille(static_cast<std::int32_t>(std::lround(speed * 1000)));
    }
    output_.messages.emplace_back(endpoint.agent, grant);
}

void Scheduler::advanceStoredEnds(Endpoint &endpoint)
{
    const std::int64_t before = endpoint.endsStored;
    while (!endpoint.endsPending.empty() && endpoint.endsPending.front().second <= storedWrite_) {
        endpoint.endsStored = endpoint.endsPending.front().first;
        endpoint.endsPending.pop_front();
    }
    if (endpoint.endsStored != before) {
        wire::EndpointGrant grant;
        grant.generation = options_.generation;
        grant.endpoint = endpoint.id;
        grant.born = endpoint.incarnation;
        grant.endsStored = endpoint.endsStored;
        output_.messages.emplace_back(endpoint.agent, grant);
    }
}

void Scheduler::applyEnds(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now)
{
    for (const wire::EndRow &end : report.ended) {
        if (end.number <= endpoint.endsApplied) {
            continue;
        }
        const std::uint64_t write = applyEnd(endpoint, end, now);
        endpoint.endsApplied = end.number;
        endpoint.endsPending.emplace_back(end.number, write);
    }
}

/// Returns the write that makes the end durable; 0 if there is nothing to write.
std::uint64_t Scheduler::applyEnd(Endpoint &endpoint, const wire::EndRow &end, BootTime now)
{
    const RunId run = runIdOf(end.run);
    const RunOutcome outcome = runOutcomeOf(end.how);
    const auto found = jobs_.find(run.task.job);
    Job *job = found == jobs_.end() ? nullptr : &found->second;
    updateHealth(endpoint, job, outcome, now);
    Unit *unit = job == nullptr ? nullptr : unitOf(*job, run.task);
    logEvent(LogLevel::Info,
        "run.ended",
        {{"job", run.task.job}, {"task", nameOf(run.task)}, {"run", std::to_string(run.run)}, {"how", nameOf(outcome)}, {"endpoint", endpoint.id}});
    if (unit == nullptr) {
        release(endpoint, run, ReleaseReason::Ended, now);
        return 0;
    }
    if (!job->hasBegun) {
        job->hasBegun = true;
        job->begunWrite = writeProgress(*job);
    }
    const UnitProgress before = unit->progress;
    const UnitKey key = unitKeyOf(job->spec, run.task);
    const bool isLongRunning = job->spec.steps[key.step].isLongRunning;
    if (outcome == RunOutcome::Done && !isLongRunning) {
        recordRunTime(*job, endpoint, run, now);
        unit->progress.isDone = true;
        unit->progress.checkpoint.clear();
    } else if (outcome == RunOutcome::Failed && !isLongRunning) {
        unit->failedOn.insert(endpoint.agent);
        countFailure(*job, key, run.run);
    }
    if (!end.checkpoint.empty() && !unit->progress.isDone) {
        unit->progress.checkpoint = end.checkpoint;
    }
    const bool isGangBroken = unit->indices.size() > 1 && unit->phase == Unit::Phase::Active && run.run == unit->run && outcome != RunOutcome::Done;
    release(endpoint, run, ReleaseReason::Ended, now);
    if (unit->progress.isDone && unit->members.empty()) {
        unit->phase = Unit::Phase::Finished; // also if only the end of the run was reported, after a change of scheduler
    }
    if (isGangBroken && !unit->members.empty()) {
        stopUnit(*unit, now);
    }
    if (unit->progress != before) {
        writeProgress(*job);
    }
    updateJobState(*job, now);
    return unit->progress != before || job->lastWrite > storedWrite_ ? job->lastWrite : 0;
}

void Scheduler::applyRunning(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now)
{
    std::set<RunId> listed;
    for (const wire::RunRow &row : report.running) {
        const RunId run = runIdOf(row.run);
        listed.insert(run);
        if (endpoint.runs.count(run) == 0) {
            adopt(endpoint, run, now);
        }
        Allocation &allocation = endpoint.runs.at(run);
        if (allocation.state == Allocation::State::Ordered || allocation.state == Allocation::State::Planned
            || allocation.state == Allocation::State::Orphaned) {
            allocation.state = Allocation::State::Listed;
            allocation.progressAt = now;
            allocation.startedSequence = 0;
        }
        if (row.percent != allocation.percent) {
            allocation.percent = row.percent;
            observePercent(allocation.pace, row.percent, now);
            allocation.progressAt = now;
            observeProgress(endpoint, run, allocation, now);
        }
        if (!row.checkpoint.empty() && row.checkpoint != allocation.checkpoint) {
            allocation.checkpoint = row.checkpoint;
            allocation.checkpointAt = now;
            recordCheckpoint(run, row.checkpoint);
        }
    }
    std::vector<RunId> gone;
    for (const auto &[run, allocation] : endpoint.runs) {
        const bool wasListed = allocation.state == Allocation::State::Listed || allocation.state == Allocation::State::Stopping;
        if (wasListed && listed.count(run) == 0 && report.sequence > allocation.startedSequence) {
            gone.push_back(run);
        }
    }
    for (const RunId &run : gone) {
        release(endpoint, run, ReleaseReason::Unlisted, now);
    }
}

/// Adds a listed run that another generation started, or that started after this scheduler had given it up.
void Scheduler::adopt(Endpoint &endpoint, const RunId &run, BootTime now)
{
    Allocation &allocation = endpoint.runs[run];
    allocation.state = Allocation::State::Listed;
    allocation.isAdopted = true;
    allocation.firstOrderedAt = now;
    allocation.orderedAt = now;
    allocation.progressAt = now;
    const auto found = jobs_.find(run.task.job);
    Job *job = found == jobs_.end() ? nullptr : &found->second;
    Unit *unit = job == nullptr || !isStep(job->spec, run.task.step) ? nullptr : unitOf(*job, run.task);
    if (unit == nullptr) {
        sendStop(endpoint, run, now);
        return;
    }
    allocation.needs = countedNeeds(job->spec.steps[run.task.step]);
    if (!job->hasBegun) {
        job->hasBegun = true;
        job->begunWrite = writeProgress(*job);
    }
    std::vector<std::string> &agents = unit->progress.agents;
    if (!unit->progress.isDone && std::find(agents.begin(), agents.end(), endpoint.agent) == agents.end()) {
        // The next scheduler must not start the unit either before it knows what runs here.
        agents.push_back(endpoint.agent);
        writeProgress(*job);
    }
    const bool isFirst = unit->members.empty();
    unit->members.insert({endpoint.agent, run});
    if (isFirst) {
        unit->phase = Unit::Phase::Active;
        unit->run = run.run;
    }
    // A gang can be adopted only during the recovery, while its other members may still be reported.
    const bool isWanted = !job->isFinished && !unit->progress.isDone && unit->run == run.run && (isRecovering_ || unit->indices.size() == 1);
    if (!isWanted && !(unit->progress.isDone && unit->run == run.run)) {
        unit->isStopping = unit->isStopping || unit->run == run.run;
        sendStop(endpoint, run, now);
    }
}

void Scheduler::handle(const std::string &peer, const wire::StartResult &result, BootTime now)
{
    Endpoint *endpoint = currentEndpoint(peer, result.born, result.endpoint);
    const RunId run = runIdOf(result.run);
    if (result.generation != options_.generation || endpoint == nullptr || endpoint->runs.count(run) == 0) {
        return;
    }
    Allocation &allocation = endpoint->runs.at(run);
    if (result.outcome == wire::StartOutcome::Started) {
        if (allocation.state == Allocation::State::Ordered) {
            allocation.state = Allocation::State::Listed;
            allocation.progressAt = now;
            allocation.startedSequence = result.sequence;
        }
        return;
    }
    if (allocation.state != Allocation::State::Ordered) {
        return; // the endpoint's lists hold it, which is better evidence
    }
    logEvent(
        LogLevel::Warning, "run.notstarted", {{"job", run.task.job}, {"run", std::to_string(run.run)}, {"endpoint", endpoint->id}, {"reason", result.detail}});
    if (result.outcome == wire::StartOutcome::BadTicket) {
        dropRefusedTicket({run.task.job, run.task.occurrence, run.task.step}, *endpoint, now);
    }
    const auto job = jobs_.find(run.task.job);
    Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
    if (unit != nullptr && unit->run == run.run) {
        stopUnit(*unit, now);
    }
    if (result.__isset.evacuations) {
        applyEvacuations(evacuationsOf(result.evacuations), now);
    }
    const bool isRefused =
        result.outcome == wire::StartOutcome::Rejected || result.outcome == wire::StartOutcome::NoRoom || result.outcome == wire::StartOutcome::Evacuated;
    if (isRefused) {
        endpoint->isListed = false; // the view of the endpoint is wrong, and the next start there would be refused as well
    }
    if (result.outcome != wire::StartOutcome::Unanswered) {
        release(*endpoint, run, ReleaseReason::Refused, now);
    }
}

void Scheduler::handle(const std::string &peer, const wire::RunAbsent &absent, BootTime now)
{
    Endpoint *endpoint = currentEndpoint(peer, absent.born, absent.endpoint);
    if (absent.generation == options_.generation && endpoint != nullptr) {
        release(*endpoint, runIdOf(absent.run), ReleaseReason::Absent, now);
    }
}

void Scheduler::sendStop(Endpoint &endpoint, const RunId &run, BootTime now)
{
    Allocation &allocation = endpoint.runs.at(run);
    allocation.state = allocation.state == Allocation::State::Ordered ? Allocation::State::Ordered : Allocation::State::Stopping;
    allocation.orderedAt = now;
    wire::StopOrder order;
    order.generation = options_.generation;
    order.endpoint = endpoint.id;
    order.born = endpoint.incarnation;
    order.run = wireRef(run);
    output_.messages.emplace_back(endpoint.agent, order);
}

} // namespace knapweed::cell
