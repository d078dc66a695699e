// Entry points of the scheduler: loading and recovery, incoming messages, acknowledgements of the store, and the clock.

#include "cell/scheduler.h"

#include "base/invariant.h"
#include "base/logging.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds replanInterval {100}; ///< between planning rounds while units are blocked
constexpr Milliseconds checkInterval {100}; ///< between time-out checks of all runs; tick() may run more often for planning
constexpr Seconds statusRetention {150}; ///< how long a finished job can be queried; the platform requires 120 s

constexpr Seconds lostEndpointRetention {30}; ///< how long an endpoint is kept after its lease has expired

} // namespace

Scheduler::Scheduler(SchedulerOptions options)
    : options_(options)
{
}

void Scheduler::load(const std::map<std::string, std::string> &records, BootTime now, WallTime wall)
{
    for (const auto &[key, text] : records) {
        if (key.compare(0, 2, "j.") != 0) {
            continue;
        }
        const Result<JobSpec, JobRecordError> spec = decodeSpec(text);
        if (!isOk(spec)) {
            logEvent(LogLevel::Error, "job.unreadable", {{"key", key}, {"detail", error(spec).detail}});
            continue;
        }
        Job job;
        job.spec = value(spec);
        job.queue.name = job.spec.queue;
        job.queue.service = job.spec.service;
        job.queue.priority = job.spec.priority;
        job.queue.attempts = job.spec.attempts;
        job.queue.advice = job.spec.advice;
        addDueUnits(job, now, wall);
        const auto stored = records.find(progressRecordKey(job.spec.id));
        if (stored != records.end()) {
            const Result<JobProgress, JobRecordError> progress = decodeProgress(stored->second);
            if (isOk(progress)) {
                applyProgress(job, value(progress), now);
            } else {
                logEvent(LogLevel::Error, "job.unreadable", {{"key", stored->first}, {"detail", error(progress).detail}});
            }
        }
        job.isFinished = isFinal(job);
        job.finishedAt = now;
        declareRunTimes(job.spec);
        jobs_[job.spec.id] = std::move(job);
    }
    restoreOrder();
    loadEarlyCancels(records, now);
    logEvent(LogLevel::Info,
        "scheduler.loaded",
        {{"records", std::to_string(records.size())}, {"jobs", std::to_string(jobs_.size())}, {"early_cancels", std::to_string(earlyCancels_.size())}});
}

/// Progress that belongs to no job is that of a job whose cancel arrived before its submission.
void Scheduler::loadEarlyCancels(const std::map<std::string, std::string> &records, BootTime now)
{
    const std::string prefix = progressRecordKey("");
    for (auto record = records.lower_bound(prefix); record != records.end() && record->first.compare(0, prefix.size(), prefix) == 0; ++record) {
        const std::string job = record->first.substr(prefix.size());
        const Result<JobProgress, JobRecordError> progress = decodeProgress(record->second);
        if (jobs_.count(job) == 0 && isOk(progress) && value(progress).isCancelled) {
            earlyCancels_[job] = {now, 0};
        }
    }
}

/// Numbers the loaded jobs in the order of acceptance.
void Scheduler::restoreOrder()
{
    std::vector<Job *> loaded;
    for (auto &[id, job] : jobs_) {
        loaded.push_back(&job);
    }
    std::stable_sort(loaded.begin(), loaded.end(), [](const Job *left, const Job *right) {
        return left->spec.acceptedAt < right->spec.acceptedAt;
    });
    for (Job *job : loaded) {
        job->order = ++acceptedJobs_;
    }
}

void Scheduler::beginRecovery(BootTime now)
{
    isRecovering_ = true;
    for (const auto &[id, job] : jobs_) {
        for (const auto &[key, unit] : job.units) {
            if (!unit.progress.isDone) {
                awaitedAgents_.insert(unit.progress.agents.begin(), unit.progress.agents.end());
            }
        }
    }
    recoveryBeganAt_ = now;
    setEarlierExtensionsEnd(now);
}

void Scheduler::setConfiguration(const CellConfiguration &configuration)
{
    if (configuration.version <= configuration_.version) {
        return;
    }
    configuration_ = configuration;
    for (auto &[id, job] : jobs_) {
        const Queue *queue = queueNamed(configuration_, job.spec.queue);
        if (queue != nullptr) {
            job.queue = *queue;
        }
    }
    isPlanDue_ = true;
}

void Scheduler::setStoreReachable(bool isReachable)
{
    isStoreReachable_ = isReachable;
}

void Scheduler::receive(const std::string &peer, const PeerMessage &message, BootTime now, WallTime wall)
{
    if (const wire::EndpointReport *report = std::get_if<wire::EndpointReport>(&message)) {
        handle(peer, *report, now);
    } else if (const wire::StartResult *result = std::get_if<wire::StartResult>(&message)) {
        handle(peer, *result, now);
    } else if (const wire::RunAbsent *absent = std::get_if<wire::RunAbsent>(&message)) {
        handle(peer, *absent, now);
    } else if (const wire::JobCall *call = std::get_if<wire::JobCall>(&message)) {
        handle(peer, *call, now, wall);
    }
}

void Scheduler::stored(std::uint64_t write, BootTime now)
{
    assertInvariant(write <= output_.lastWrite, "only writes that were issued become durable");
    storedWrite_ = std::max(storedWrite_, write);
    std::vector<PendingAnswer> waiting;
    for (PendingAnswer &pending : pendingAnswers_) {
        if (pending.write <= storedWrite_) {
            output_.messages.emplace_back(pending.peer, std::move(pending.answer));
        } else {
            waiting.push_back(std::move(pending));
        }
    }
    pendingAnswers_ = std::move(waiting);
    for (auto &[agent, endpoint] : endpoints_) {
        advanceStoredEnds(endpoint);
    }
    std::vector<PendingStart> pendingStarts;
    for (PendingStart &start : pendingStarts_) {
        if (start.write <= storedWrite_) {
            sendStart(start, now);
        } else {
            pendingStarts.push_back(std::move(start));
        }
    }
    pendingStarts_ = std::move(pendingStarts);
    isPlanDue_ = true;
}

void Scheduler::tick(BootTime now, WallTime wall)
{
    if (now - checkedAt_ >= checkInterval) {
        checkedAt_ = now;
        checkEndpoints(now);
        writePendingCheckpoints(now);
        checkEvacuations();
    }
    addDueOccurrences(now, wall);
    removeLapsedAgents(now);
    if (isRecovering_ && awaitedAgents_.empty()) {
        finishRecovery(now);
    }
    if (isRecovering_) {
        stopPartialGangs(now);
    }
    if (isPlanDue_ || (hasBlockedUnits_ && now - plannedAt_ >= replanInterval)) {
        isPlanDue_ = false;
        plan(now);
    }
    refuseHeldCalls(now);
    removeOldJobs(now);
    removeOldEarlyCancels(now);
    removeOldAdvice(now);
    removeLostEndpoints(now);
}

void Scheduler::removeLostEndpoints(BootTime now)
{
    for (auto endpoint = endpoints_.begin(); endpoint != endpoints_.end();) {
        if (now < endpoint->second.leaseExpiresAt + lostEndpointRetention) {
            ++endpoint;
            continue;
        }
        endpoint = endpoints_.erase(endpoint);
    }
}

/// Whether a member of the unit may be running on an endpoint whose agent has not reported since the recovery began.
bool Scheduler::mayRunOnAwaitedAgent(const Unit &unit) const
{
    return std::any_of(unit.progress.agents.begin(), unit.progress.agents.end(), [this](const std::string &agent) {
        return awaitedAgents_.count(agent) != 0;
    });
}

/// Stops gangs of which only some members are running, because they can make no progress. A gang is checked once all agents recorded with it have reported.
void Scheduler::stopPartialGangs(BootTime now)
{
    for (auto &[id, job] : jobs_) {
        for (auto &[key, unit] : job.units) {
            if (unit.phase != Unit::Phase::Active || unit.indices.size() == 1) {
                continue;
            }
            std::set<int> present;
            for (const MemberLocation &member : unit.members) {
                if (member.second.run == unit.run) {
                    present.insert(member.second.task.index);
                }
            }
            if (present.size() < unit.indices.size() && !unit.isStopping && !unit.progress.isDone && !mayRunOnAwaitedAgent(unit)) {
                stopUnit(unit, now);
            }
        }
    }
}

/// When no run that an earlier scheduler started through the agent can be going on any more. This scheduler extends the lease of an endpoint as long as its
/// agent reports, also while the endpoint does not answer the agent and its lists are unknown.
BootTime Scheduler::latestRunEnd(const std::string &agent) const
{
    const auto endpoint = endpoints_.find(agent);
    return endpoint == endpoints_.end() ? earlierLeasesEnd_ : std::max(earlierLeasesEnd_, endpoint->second.leaseExpiresAt);
}

/// Stops waiting for the agents whose runs are over because no lease for them is left.
void Scheduler::removeLapsedAgents(BootTime now)
{
    for (auto agent = awaitedAgents_.begin(); agent != awaitedAgents_.end();) {
        if (now < latestRunEnd(*agent)) {
            ++agent;
            continue;
        }
        logEvent(LogLevel::Warning, "recovery.lapsed", {{"agent", *agent}, {"has_reported", endpoints_.count(*agent) != 0 ? "yes" : "no"}});
        ++lapsedAgents_;
        agent = awaitedAgents_.erase(agent);
        isPlanDue_ = true;
    }
}

void Scheduler::finishRecovery(BootTime now)
{
    stopPartialGangs(now);
    isRecovering_ = false;
    isPlanDue_ = true;
    logEvent(LogLevel::Info,
        "scheduler.recovered",
        {{"generation", std::to_string(options_.generation)}, {"endpoints", std::to_string(endpoints_.size())}, {"missing", std::to_string(lapsedAgents_)}});
}

void Scheduler::addDueOccurrences(BootTime now, WallTime wall)
{
    for (auto &[id, job] : jobs_) {
        if (!job.isFinished && addDueUnits(job, now, wall)) {
            isPlanDue_ = true;
        }
    }
}

void Scheduler::removeOldJobs(BootTime now)
{
    for (auto job = jobs_.begin(); job != jobs_.end();) {
        const bool isOld = job->second.isFinished && now - job->second.finishedAt > statusRetention;
        const bool isAllocated = isOld && std::any_of(job->second.units.begin(), job->second.units.end(), [](const auto &unit) {
            return !unit.second.members.empty();
        });
        if (isOld && !isAllocated) {
            write({jobRecordKey(job->first), ""});
            write({progressRecordKey(job->first), ""});
            earlyCancels_.erase(job->first);
            advice_.erase(advice_.lower_bound({job->first, 0, 0}), advice_.lower_bound({job->first + '\0', 0, 0}));
            job = jobs_.erase(job);
        } else {
            ++job;
        }
    }
}

/// Those of jobs that are known are removed with them.
void Scheduler::removeOldEarlyCancels(BootTime now)
{
    for (auto early = earlyCancels_.begin(); early != earlyCancels_.end();) {
        if (now - early->second.recordedAt <= statusRetention || jobs_.count(early->first) != 0) {
            ++early;
            continue;
        }
        write({progressRecordKey(early->first), ""});
        early = earlyCancels_.erase(early);
    }
}

std::uint64_t Scheduler::write(StoreWrite record)
{
    output_.writes.push_back(std::move(record));
    return ++output_.lastWrite;
}

/// Combines the changes of a job in one output into one record: the tasks of a wide step start and end by the dozen, and each record holds the whole job.
std::uint64_t Scheduler::writeProgress(Job &job)
{
    if (pendingProgress_.try_emplace(job.spec.id, output_.writes.size()).second) {
        job.lastWrite = write({progressRecordKey(job.spec.id), ""});
        job.hasPendingCheckpoints = false;
    }
    return job.lastWrite;
}

void Scheduler::encodePendingProgress()
{
    for (const auto &[id, index] : pendingProgress_) {
        const auto job = jobs_.find(id);
        if (job != jobs_.end()) {
            output_.writes[index].value = encodeProgress(progressOf(job->second));
        }
    }
    pendingProgress_.clear();
}

SchedulerOutput Scheduler::takeOutput()
{
    encodePendingProgress();
    SchedulerOutput taken = std::move(output_);
    output_ = SchedulerOutput();
    output_.lastWrite = taken.lastWrite;
    return taken;
}

bool Scheduler::isRecovering() const
{
    return isRecovering_;
}

bool Scheduler::isBusy() const
{
    const bool hasUnfinishedJobs = std::any_of(jobs_.begin(), jobs_.end(), [](const auto &job) {
        return !job.second.isFinished;
    });
    // The stops of a finished job's runs may be lost, and the leases of these runs expire.
    const bool hasRuns = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto &endpoint) {
        return !endpoint.second.runs.empty();
    });
    return isRecovering_ || isPlanDue_ || isEmptyingDomain() || hasUnfinishedJobs || hasRuns || !heldCalls_.empty();
}

bool Scheduler::isPlanDue() const
{
    return isPlanDue_;
}

const std::map<std::string, Job> &Scheduler::jobs() const
{
    return jobs_;
}

const std::map<std::string, Endpoint> &Scheduler::endpoints() const
{
    return endpoints_;
}

} // namespace knapweed::cell
