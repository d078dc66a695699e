// Acceptance, queueing and completion of jobs.

#include "callers/jobregistry.h"

#include "callers/jobid.h"
#include "peers/messages.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace knapweed
{

namespace
{

constexpr MonotonicTime notDue {};
constexpr Milliseconds placementRetryInterval {1000};

bool isConsistent(const Job &job)
{
    const bool isNotRun = job.outcome && job.outcome->outcome == wire::Outcome::NotRun;
    return !(isNotRun && job.mayHaveRun);
}

} // namespace

JobRegistry::JobRegistry(JobRegistryOptions options, const JobFold &fold)
    : options_(std::move(options))
    , fold_(fold)
{
}

Result<std::string, RequestError> JobRegistry::submit(MonotonicTime now, const Submission &submission)
{
    const std::string &account = submission.request.spec.account;
    const std::string id = submission.key.empty() ? randomJobId() : jobIdForKey(account, submission.key);
    const Job *known = job(id);
    const FoldedJob *folded = fold_.job(id);
    const std::string knownDigest = known != nullptr ? known->requestDigest : folded != nullptr ? folded->submit.requestDigest : submission.digest;
    if (knownDigest != submission.digest) {
        return RequestError {409, "key_reused", "idempotency-key", "the key was used before with another request"};
    }
    if (known != nullptr) {
        return id;
    }
    Job &added = addJob(now, submission, id);
    if (folded != nullptr) {
        added.phase = JobPhase::Remote;
        added.isDurable = true;
        handleOutcomeFolded(now, id);
    } else if (added.isDurable) {
        appendSubmit(added);
        schedule(added, now + std::min(options_.logConfirmationTimeout, std::chrono::duration_cast<Milliseconds>(added.startDeadline - now)));
    } else {
        enqueue(now, added);
    }
    return id;
}

Job &JobRegistry::addJob(MonotonicTime now, const Submission &submission, const std::string &id)
{
    Job &added = jobs_[id];
    added.id = id;
    added.key = submission.key;
    added.requestDigest = submission.digest;
    added.spec = submission.request.spec;
    added.isRecoverable = submission.isAsync;
    added.isDurable = submission.isAsync || !added.spec.repeatable || (!submission.key.empty() && isLogReachable_);
    added.phase = added.isDurable ? JobPhase::AwaitingLog : JobPhase::Queued;
    added.submittedAt = now;
    added.startDeadline = now + submission.request.deadline.value_or(defaults_.requestDeadline);
    ++unfinished_[added.spec.account];
    return added;
}

bool JobRegistry::cancel(MonotonicTime now, const std::string &id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        const FoldedJob *folded = fold_.job(id);
        if (folded == nullptr) {
            return false;
        }
        if (!folded->outcome) {
            send(folded->submit.owner, makeJobCancel(id));
        }
        return true;
    }
    Job &job = found->second;
    if (job.phase == JobPhase::Remote) {
        const FoldedJob *folded = fold_.job(id);
        if (folded != nullptr) {
            send(folded->submit.owner, makeJobCancel(id));
        }
        return true;
    }
    job.isCancelRequested = true;
    advance(now, job);
    return true;
}

void JobRegistry::tick(MonotonicTime now)
{
    while (!dueJobs_.empty() && dueJobs_.begin()->first <= now) {
        const auto found = jobs_.find(dueJobs_.begin()->second);
        assert((found != jobs_.end()) && "dueJobs_ holds only jobs of jobs_");
        schedule(found->second, notDue);
        advance(now, found->second);
    }
    claimOrphans(now);
}

void JobRegistry::receive(MonotonicTime now, const std::string &peer, const PeerMessage &message)
{
    if (const wire::Placement *placement = std::get_if<wire::Placement>(&message)) {
        handlePlacement(now, *placement);
    } else if (const wire::PlacementRefusal *refusal = std::get_if<wire::PlacementRefusal>(&message)) {
        handleRefusal(now, *refusal);
    } else if (const wire::GangAck *ack = std::get_if<wire::GangAck>(&message)) {
        handleGangAck(now, *ack);
    } else if (const wire::OutcomeReport *report = std::get_if<wire::OutcomeReport>(&message)) {
        handleOutcome(now, peer, *report);
    } else if (const wire::EndAttemptReply *reply = std::get_if<wire::EndAttemptReply>(&message)) {
        handleEndReply(now, *reply);
    } else if (const wire::JobCancel *cancellation = std::get_if<wire::JobCancel>(&message)) {
        cancel(now, cancellation->job);
    }
}

void JobRegistry::advance(MonotonicTime now, Job &job)
{
    switch (job.phase) {
    case JobPhase::AwaitingLog:
        advanceAwaitingLog(now, job);
        break;
    case JobPhase::Queued:
        advanceQueued(now, job);
        break;
    case JobPhase::Starting:
        advanceStarting(now, job);
        break;
    case JobPhase::Abandoning:
        advanceAbandoning(now, job);
        break;
    case JobPhase::Remote:
    case JobPhase::Recording:
    case JobPhase::Finished:
        break;
    }
}

void JobRegistry::advanceAwaitingLog(MonotonicTime now, Job &job)
{
    const bool hasWaitingCaller = !job.isRecoverable;
    if (hasWaitingCaller && job.isCancelRequested) {
        finish(now, job, {wire::Outcome::Cancelled, wire::Reason::Cancelled, "cancelled before it was accepted", {}});
        return;
    }
    if (hasWaitingCaller && now >= job.startDeadline) {
        finish(now, job, {wire::Outcome::NotRun, wire::Reason::LogUnavailable, "the log service did not confirm the request in time", {}});
        return;
    }
    if (hasWaitingCaller && job.spec.repeatable && now >= job.submittedAt + options_.logConfirmationTimeout) {
        job.isDurable = false;
        enqueue(now, job);
        return;
    }
    schedule(job, std::max(now + options_.requestRetryInterval, std::min(job.startDeadline, now + placementRetryInterval)));
}

void JobRegistry::enqueue(MonotonicTime now, Job &job)
{
    job.phase = JobPhase::Queued;
    job.lead.clear();
    job.members.clear();
    job.isAcknowledged = false;
    job.isEndRequested = false;
    advanceQueued(now, job);
}

void JobRegistry::advanceQueued(MonotonicTime now, Job &job)
{
    if (job.isCancelRequested) {
        send(planner_, makePlacementWithdrawal(job.id, options_.address));
        finish(now, job, {wire::Outcome::Cancelled, wire::Reason::Cancelled, "cancelled while it waited", {}});
        return;
    }
    if (now >= job.startDeadline) {
        send(planner_, makePlacementWithdrawal(job.id, options_.address));
        const wire::Outcome::type outcome = job.mayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun;
        finish(now, job, {outcome, wire::Reason::Expired, "its deadline passed while it waited", {}});
        return;
    }
    if (now < job.notBefore) {
        schedule(job, std::min(job.notBefore, job.startDeadline));
        return;
    }
    wire::PlacementRequest request;
    request.job = job.id;
    request.home = options_.address;
    request.spec = job.spec;
    request.spec.input.clear();
    request.waitedMs = std::chrono::duration_cast<Milliseconds>(now - job.submittedAt).count();
    request.triedAttempts = job.attemptsMade;
    request.avoidWorkers = job.avoidWorkers;
    send(planner_, std::move(request));
    schedule(job, std::min(now + placementRetryInterval, job.startDeadline));
}

void JobRegistry::finish(MonotonicTime now, Job &job, JobOutcome outcome)
{
    assert((!job.outcome) && "an outcome is set at most once");
    job.outcome = std::move(outcome);
    assert((isConsistent(job)) && "a job that may have run never finishes as NotRun");
    schedule(job, notDue);
    if (job.isDurable) {
        appendOutcome(job);
    }
    // Another entry may take over a recoverable job until its outcome is in the log, so only the outcome Completed is reported before that.
    const bool mustWaitForRecord = job.isDurable && job.isRecoverable && job.outcome->outcome != wire::Outcome::Completed;
    if (mustWaitForRecord) {
        job.phase = JobPhase::Recording;
        return;
    }
    markFinished(now, job);
}

void JobRegistry::markFinished(MonotonicTime now, Job &job)
{
    job.phase = JobPhase::Finished;
    job.finishedAt = now;
    finishedJobs_.emplace(now, job.id);
    --unfinished_[job.spec.account];
    actions_.emplace_back(JobChanged {job.id, true});
    evictOldestFinished();
}

void JobRegistry::evictOldestFinished()
{
    while (finishedJobs_.size() > options_.maxFinishedJobs) {
        const std::string oldest = finishedJobs_.begin()->second;
        finishedJobs_.erase(finishedJobs_.begin());
        schedule(jobs_.at(oldest), notDue);
        jobs_.erase(oldest);
    }
}

void JobRegistry::schedule(Job &job, MonotonicTime due)
{
    if (job.nextDue != notDue) {
        dueJobs_.erase({job.nextDue, job.id});
    }
    job.nextDue = due;
    if (due != notDue) {
        dueJobs_.emplace(due, job.id);
    }
}

void JobRegistry::send(const std::string &peer, PeerMessage message)
{
    if (!peer.empty()) {
        actions_.emplace_back(SendPeer {peer, std::move(message)});
    }
}

void JobRegistry::notifyChanged(const Job &job)
{
    actions_.emplace_back(JobChanged {job.id, false});
}

void JobRegistry::setPlanner(MonotonicTime now, const std::string &address)
{
    if (address == planner_) {
        return;
    }
    planner_ = address;
    for (auto &[id, job] : jobs_) {
        if (job.phase == JobPhase::Queued) {
            schedule(job, now);
        }
    }
}

void JobRegistry::setDefaults(const Defaults &defaults)
{
    defaults_ = defaults;
}

void JobRegistry::setLogReachable(bool isReachable)
{
    isLogReachable_ = isReachable;
}

void JobRegistry::setLiveEntries(const std::map<std::int64_t, std::string> &entries)
{
    liveEntries_ = entries;
}

const Job *JobRegistry::job(const std::string &id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const std::map<std::string, Job> &JobRegistry::jobs() const
{
    return jobs_;
}

std::size_t JobRegistry::unfinishedJobs(const std::string &account) const
{
    const auto found = unfinished_.find(account);
    return found == unfinished_.end() ? 0 : found->second;
}

std::size_t JobRegistry::unfinishedJobs() const
{
    return jobs_.size() - finishedJobs_.size();
}

std::vector<JobRegistryAction> JobRegistry::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace knapweed
