// Attempts of a job: placement, messages from the lead, and results.

#include "callers/jobregistry.h"

#include "callers/jobid.h"
#include "peers/messages.h"

#include <algorithm>
#include <random>

namespace knapweed
{

namespace
{

Milliseconds jittered(Milliseconds delay)
{
    static thread_local std::minstd_rand generator {std::random_device {}()};
    std::uniform_int_distribution<std::int64_t> distribution(delay.count() / 2, delay.count());
    return Milliseconds(distribution(generator));
}

bool isComplete(const Job &job, const wire::OutcomeReport &report)
{
    if (report.outcome != wire::Outcome::Completed) {
        return true;
    }
    const auto isIntact = [](const wire::PartResult &part) {
        return part.length == static_cast<std::int64_t>(part.output.size()) && part.digest == digestOf(part.output);
    };
    return report.parts.size() == static_cast<std::size_t>(job.spec.tasks) && std::all_of(report.parts.begin(), report.parts.end(), isIntact);
}

/// Temporary refusals, such as lack of capacity, preemption or draining; they do not count against the attempt limit.
bool isContention(wire::Reason::type reason)
{
    return reason == wire::Reason::Busy || reason == wire::Reason::Reserved || reason == wire::Reason::Preempted || reason == wire::Reason::EndpointLeaving
        || reason == wire::Reason::Draining;
}

} // namespace

Job *JobRegistry::currentAttempt(const wire::AttemptId &attempt)
{
    const auto found = jobs_.find(attempt.job);
    if (found == jobs_.end() || !(found->second.attempt == attempt)) {
        return nullptr;
    }
    return &found->second;
}

void JobRegistry::handlePlacement(MonotonicTime now, const wire::Placement &placement)
{
    const auto found = jobs_.find(placement.job);
    if (found == jobs_.end() || found->second.phase != JobPhase::Queued || placement.members.empty() || now < found->second.notBefore) {
        return;
    }
    Job &job = found->second;
    if (job.isCancelRequested || now >= job.startDeadline) {
        advanceQueued(now, job);
        return;
    }
    ++job.attemptsMade;
    job.attempt.job = job.id;
    job.attempt.owner = options_.nonce;
    job.attempt.number = ++lastAttemptNumber_;
    job.members = placement.members;
    job.lead = placement.members.front().agent;
    job.leadIncarnation = options_.incarnationOf ? options_.incarnationOf(job.lead) : 0;
    job.isBorrowed = placement.borrowed;
    job.isAcknowledged = false;
    job.isEndRequested = false;
    job.phase = JobPhase::Starting;
    job.lastLeadMessageAt = now;
    job.placedAt = now;
    sendGangRequest(now, job);
    schedule(job, now + options_.requestRetryInterval);
}

void JobRegistry::sendGangRequest(MonotonicTime now, Job &job)
{
    wire::GangRequest request;
    request.attempt = job.attempt;
    request.spec = job.spec;
    request.members = job.members;
    request.home = options_.address;
    request.startWithinMs = std::max<std::int64_t>(1, std::chrono::duration_cast<Milliseconds>(job.startDeadline - now).count());
    request.leaseMs = defaults_.gangLease.count();
    request.borrowed = job.isBorrowed;
    request.leadIncarnation = job.leadIncarnation;
    send(job.lead, std::move(request));
}

void JobRegistry::sendEndAttempt(const Job &job, wire::StopReason::type reason)
{
    wire::EndAttempt end;
    end.attempt = job.attempt;
    end.reason = reason;
    end.graceMs = defaults_.preemptionGrace.count();
    end.replyTo = options_.address;
    end.leadIncarnation = job.leadIncarnation;
    send(job.lead, std::move(end));
}

void JobRegistry::sendQuery(const Job &job)
{
    wire::AttemptQuery query;
    query.attempt = job.attempt;
    query.home = options_.address;
    query.leadIncarnation = job.leadIncarnation;
    send(job.lead, std::move(query));
}

void JobRegistry::handleRefusal(MonotonicTime now, const wire::PlacementRefusal &refusal)
{
    const auto found = jobs_.find(refusal.job);
    if (found == jobs_.end() || found->second.phase != JobPhase::Queued) {
        return;
    }
    Job &job = found->second;
    const wire::Outcome::type outcome = job.mayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun;
    finish(now, job, {outcome, wire::Reason::None, refusal.detail, {}});
}

void JobRegistry::handleGangAck(MonotonicTime now, const wire::GangAck &ack)
{
    Job *job = currentAttempt(ack.attempt);
    if (job == nullptr || (job->phase != JobPhase::Starting && job->phase != JobPhase::Abandoning)) {
        return;
    }
    job->lastLeadMessageAt = now;
    job->isAcknowledged = true;
}

void JobRegistry::handleOutcome(MonotonicTime now, const std::string &peer, const wire::OutcomeReport &report)
{
    Job *job = currentAttempt(report.attempt);
    if (job == nullptr) {
        send(peer, makeOutcomeAck(report.attempt));
        return;
    }
    if (job->outcome) {
        const FoldedJob *folded = fold_.job(job->id);
        if (!job->isDurable || (folded != nullptr && folded->outcome)) {
            send(peer, makeOutcomeAck(report.attempt));
        }
        return;
    }
    if ((job->phase != JobPhase::Starting && job->phase != JobPhase::Abandoning) || !isComplete(*job, report)) {
        return;
    }
    send(planner_, makePlacementWithdrawal(job->id, options_.address));
    endAttempt(now, *job, report);
    // The lead keeps the result of a durable job until the outcome is in the log, so that another entry can still fetch it.
    if (!job->outcome || !job->isDurable) {
        send(peer, makeOutcomeAck(report.attempt));
    }
}

void JobRegistry::endAttempt(MonotonicTime now, Job &job, const wire::OutcomeReport &report)
{
    const bool isRepeatable = job.spec.repeatable;
    switch (report.outcome) {
    case wire::Outcome::NotRun:
        if (job.isCancelRequested) {
            finish(now, job, {wire::Outcome::Cancelled, wire::Reason::Cancelled, "cancelled before it started", {}});
        } else {
            retry(now, job, report.reason, report.detail);
        }
        return;
    case wire::Outcome::Cancelled:
    case wire::Outcome::Failed:
    case wire::Outcome::Unknown:
        job.mayHaveRun = true;
        if (isRepeatable && !job.isCancelRequested && report.reason != wire::Reason::EndpointFailed) {
            retry(now, job, report.reason, report.detail);
            return;
        }
        break;
    case wire::Outcome::Completed:
        break;
    }
    finish(now, job, {report.outcome, report.reason, report.detail, report.parts});
}

void JobRegistry::retry(MonotonicTime now, Job &job, wire::Reason::type reason, const std::string &detail)
{
    if (!isContention(reason)) {
        ++job.failedAttempts;
    }
    if (job.failedAttempts >= defaults_.attemptLimit) {
        const wire::Outcome::type outcome = job.mayHaveRun ? wire::Outcome::Failed : wire::Outcome::NotRun;
        finish(now, job, {outcome, reason, "gave up after " + std::to_string(job.attemptsMade) + " attempts: " + detail, {}});
        return;
    }
    const bool isWorkerAtFault = reason == wire::Reason::WorkerFailed || reason == wire::Reason::Unreachable;
    if (isWorkerAtFault && !job.members.empty()) {
        job.avoidWorkers.push_back(job.members.front().worker);
    }
    const int doublings = std::min(job.attemptsMade, 10);
    const Milliseconds delay = std::min(options_.maxRetryDelay, options_.retryDelay * (1 << doublings));
    job.notBefore = now + jittered(delay);
    enqueue(now, job);
}

void JobRegistry::handleEndReply(MonotonicTime now, const wire::EndAttemptReply &reply)
{
    Job *job = currentAttempt(reply.attempt);
    if (job == nullptr || job->outcome || (job->phase != JobPhase::Starting && job->phase != JobPhase::Abandoning)) {
        return;
    }
    job->lastLeadMessageAt = now;
    if (!reply.neverStarted) {
        return;
    }
    if (job->isCancelRequested) {
        finish(now, *job, {wire::Outcome::Cancelled, wire::Reason::Cancelled, "cancelled before it started", {}});
        return;
    }
    retry(now, *job, wire::Reason::Abandoned, "the lead did not start it");
}

void JobRegistry::advanceStarting(MonotonicTime now, Job &job)
{
    const Milliseconds sinceLastMessage = std::chrono::duration_cast<Milliseconds>(now - job.lastLeadMessageAt);
    const FoldedJob *folded = fold_.job(job.id);
    const bool hasStartRecord = folded != nullptr && folded->start && folded->start->attempt == job.attempt;
    if (sinceLastMessage >= options_.unknownOutcomeTimeout && (hasStartRecord || job.spec.repeatable)) {
        job.mayHaveRun = true;
        finish(now, job, {wire::Outcome::Unknown, wire::Reason::Unreachable, "the lead of its attempt did not answer; it may have run", {}});
        return;
    }
    if (sinceLastMessage >= options_.leadTimeout && !hasStartRecord) {
        handleUnreachableLead(now, job);
        return;
    }
    if (job.isCancelRequested) {
        job.isEndRequested = true;
    }
    if (job.isEndRequested) {
        sendEndAttempt(job, wire::StopReason::Cancelled);
    } else if (job.isAcknowledged) {
        sendQuery(job);
    } else {
        sendGangRequest(now, job);
    }
    schedule(job, now + (job.isAcknowledged && !job.isEndRequested ? options_.queryInterval : options_.requestRetryInterval));
}

void JobRegistry::handleUnreachableLead(MonotonicTime now, Job &job)
{
    if (job.spec.repeatable) {
        job.mayHaveRun = true;
        sendEndAttempt(job, wire::StopReason::Abandoned);
        if (job.isCancelRequested) {
            finish(now, job, {wire::Outcome::Unknown, wire::Reason::Unreachable, "cancelled, but the lead of its attempt did not answer", {}});
            return;
        }
        retry(now, job, wire::Reason::Unreachable, "the lead did not answer");
        return;
    }
    job.phase = JobPhase::Abandoning;
    actions_.emplace_back(AppendRecord {AbandonRecord {job.attempt, options_.address}});
    schedule(job, now + options_.queryInterval);
}

void JobRegistry::advanceAbandoning(MonotonicTime now, Job &job)
{
    const MonotonicTime limit = std::max(job.startDeadline, job.lastLeadMessageAt + options_.unknownOutcomeTimeout);
    if (now >= limit) {
        job.mayHaveRun = true;
        finish(now, job, {wire::Outcome::Unknown, wire::Reason::Unreachable, "neither the lead nor the log could tell whether it ran", {}});
        return;
    }
    sendQuery(job);
    schedule(job, now + options_.queryInterval);
}

} // namespace knapweed
