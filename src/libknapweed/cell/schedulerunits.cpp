// Stops and finishes units, releases their allocations, and updates the state of their jobs.

#include "cell/scheduler.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweed::cell
{

namespace
{

/// Null for reasons that other log events show.
const char *nameOf(ReleaseReason reason)
{
    switch (reason) {
    case ReleaseReason::Ended:
    case ReleaseReason::NeverOrdered:
        return nullptr;
    case ReleaseReason::Refused:
        return "refused";
    case ReleaseReason::Unlisted:
        return "unlisted";
    case ReleaseReason::Absent:
        return "absent";
    case ReleaseReason::LeaseExpired:
        return "lapsed";
    case ReleaseReason::EndpointReplaced:
        return "endpoint replaced";
    case ReleaseReason::NextIncarnation:
        return "next incarnation";
    }
    return nullptr;
}

} // namespace

void Scheduler::release(Endpoint &endpoint, const RunId &run, ReleaseReason reason, BootTime now)
{
    const auto released = endpoint.runs.find(run);
    if (released == endpoint.runs.end()) {
        return;
    }
    const Allocation allocation = released->second;
    endpoint.runs.erase(released);
    if (nameOf(reason) != nullptr) {
        logEvent(LogLevel::Info,
            "run.released",
            {{"job", run.task.job},
                {"task", nameOf(run.task)},
                {"run", std::to_string(run.run)},
                {"endpoint", endpoint.id},
                {"born", std::to_string(endpoint.incarnation)},
                {"percent", std::to_string(allocation.percent)},
                {"age_ms", std::to_string((now - allocation.firstOrderedAt).count())},
                {"reason", nameOf(reason)}});
    }
    isPlanDue_ = true;
    const auto job = jobs_.find(run.task.job);
    if (job == jobs_.end()) {
        return;
    }
    const UnitKey key = unitKeyOf(job->second.spec, run.task);
    const auto unit = job->second.units.find(key);
    if (unit != job->second.units.end() && unit->second.members.erase({endpoint.agent, run}) != 0 && unit->second.members.empty()) {
        finishUnit(job->second, key, now);
    }
}

void Scheduler::releaseAll(Endpoint &endpoint, ReleaseReason reason, BootTime now)
{
    std::vector<RunId> runs;
    for (const auto &[run, allocation] : endpoint.runs) {
        runs.push_back(run);
    }
    releaseRuns(endpoint, runs, reason, now);
}

void Scheduler::releaseOrphaned(Endpoint &endpoint, BootTime now)
{
    std::vector<RunId> runs;
    for (const auto &[run, allocation] : endpoint.runs) {
        if (allocation.state == Allocation::State::Orphaned) {
            runs.push_back(run);
        }
    }
    releaseRuns(endpoint, runs, ReleaseReason::NextIncarnation, now);
}

void Scheduler::releaseRuns(Endpoint &endpoint, const std::vector<RunId> &runs, ReleaseReason reason, BootTime now)
{
    for (const RunId &run : runs) {
        // The other members of a gang that has lost one end by themselves within the platform's limit; stopping them releases their capacity sooner.
        const auto job = jobs_.find(run.task.job);
        Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
        release(endpoint, run, reason, now);
        if (unit != nullptr && !unit->members.empty() && unit->run == run.run) {
            stopUnit(*unit, now);
        }
    }
}

/// The unit has no allocations left: it is finished, or it waits for its next start.
void Scheduler::finishUnit(Job &job, const UnitKey &key, BootTime now)
{
    Unit &unit = job.units.at(key);
    unit.isStopping = false;
    if (!unit.progress.isDone) {
        // Otherwise the next scheduler would wait for agents that may be gone. Agents that have not reported yet may be running another member.
        const std::vector<std::string> agents = std::exchange(unit.progress.agents, {});
        std::copy_if(agents.begin(), agents.end(), std::back_inserter(unit.progress.agents), [this](const std::string &agent) {
            return awaitedAgents_.count(agent) != 0;
        });
        if (!agents.empty()) {
            writeProgress(job);
        }
    }
    unit.phase = unit.progress.isDone || job.isFinished ? Unit::Phase::Finished : Unit::Phase::Waiting;
    unit.readySince = now;
}

/// All members of a gang may report the failure of one run; it is counted once.
void Scheduler::countFailure(Job &job, const UnitKey &key, std::int64_t run)
{
    Unit &unit = job.units.at(key);
    if (run <= unit.progress.lastFailedRun) {
        return;
    }
    unit.progress.lastFailedRun = run;
    ++unit.progress.failures;
    if (unit.progress.failures >= job.queue.attempts && !job.isFinished) {
        job.hasFailed = true;
        logEvent(LogLevel::Info,
            "job.failed",
            {{"job", job.spec.id}, {"failures", std::to_string(unit.progress.failures)}, {"attempts", std::to_string(job.queue.attempts)}});
    }
}

/// Marks the job as finished when it has reached a final state, and stops its remaining units.
void Scheduler::updateJobState(Job &job, BootTime now)
{
    if (job.isFinished || !isFinal(job)) {
        return;
    }
    job.isFinished = true;
    job.finishedAt = now;
    job.finalWrite = job.lastWrite;
    stopJob(job, now);
    for (auto &[key, unit] : job.units) {
        if (unit.members.empty()) {
            unit.phase = Unit::Phase::Finished;
        }
    }
    logEvent(LogLevel::Info, "job.finished", {{"job", job.spec.id}, {"state", job.isCancelled ? "cancelled" : job.hasFailed ? "failed" : "succeeded"}});
}

void Scheduler::stopJob(Job &job, BootTime now)
{
    for (auto &[key, unit] : job.units) {
        // The members of a gang that has succeeded end by themselves, with the outcome Done.
        if (!unit.members.empty() && !unit.progress.isDone) {
            stopUnit(unit, now);
        }
    }
}

void Scheduler::stopUnit(Unit &unit, BootTime now)
{
    unit.isStopping = true;
    const std::set<MemberLocation> members = unit.members; // a copy, because members that are only planned are removed immediately
    for (const auto &[agent, run] : members) {
        const auto endpoint = endpoints_.find(agent);
        const auto allocation = endpoint == endpoints_.end() ? std::map<RunId, Allocation>::iterator() : endpoint->second.runs.find(run);
        if (endpoint == endpoints_.end() || allocation == endpoint->second.runs.end() || allocation->second.state == Allocation::State::Stopping) {
            continue;
        }
        if (allocation->second.state == Allocation::State::Planned) {
            release(endpoint->second, run, ReleaseReason::NeverOrdered, now);
            continue;
        }
        sendStop(endpoint->second, run, now);
    }
}

} // namespace knapweed::cell
