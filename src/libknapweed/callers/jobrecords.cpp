// Log records of jobs: acceptance, ownership, abandoned attempts, outcomes, and takeover of jobs whose owner is no longer live.

#include "callers/jobregistry.h"

#include "placement/rendezvous.h"

#include <cassert>
#include <optional>

namespace knapweed
{

namespace
{

constexpr Milliseconds orphanScanInterval {1000};

const std::string *recordJob(const Record &record)
{
    if (const SubmitRecord *submit = std::get_if<SubmitRecord>(&record)) {
        return &submit->job;
    }
    if (const ClaimRecord *claim = std::get_if<ClaimRecord>(&record)) {
        return &claim->job;
    }
    return nullptr;
}

} // namespace

void JobRegistry::appendSubmit(Job &job)
{
    SubmitRecord record;
    record.job = job.id;
    record.key = job.key;
    record.owner = options_.address;
    record.ownerNonce = options_.nonce;
    record.spec = job.spec;
    record.requestDigest = job.requestDigest;
    record.isRecoverable = job.isRecoverable;
    record.acceptedAt = std::chrono::system_clock::now();
    actions_.emplace_back(AppendRecord {std::move(record)});
}

void JobRegistry::appendOutcome(const Job &job)
{
    assert((job.outcome.has_value()) && "an outcome record requires an outcome");
    OutcomeRecord record;
    record.job = job.id;
    record.ownerNonce = options_.nonce;
    record.outcome = job.outcome->outcome;
    record.reason = job.outcome->reason;
    record.detail = job.outcome->detail;
    record.parts = job.outcome->parts;
    actions_.emplace_back(AppendRecord {std::move(record)});
}

void JobRegistry::recordApplied(MonotonicTime now, const Record &record)
{
    if (const std::string *id = recordJob(record)) {
        handleOwnership(now, *id);
    } else if (const OutcomeRecord *outcome = std::get_if<OutcomeRecord>(&record)) {
        handleOutcomeFolded(now, outcome->job);
    } else if (const AbandonRecord *abandon = std::get_if<AbandonRecord>(&record)) {
        handleAbandonFolded(now, abandon->attempt);
    } else if (std::holds_alternative<SnapshotRecord>(record)) {
        for (const auto &[id, folded] : fold_.jobs()) {
            if (jobs_.count(id) != 0) {
                handleOwnership(now, id);
            }
        }
    }
}

void JobRegistry::handleOwnership(MonotonicTime now, const std::string &id)
{
    const FoldedJob *folded = fold_.job(id);
    const auto found = jobs_.find(id);
    if (folded == nullptr) {
        return;
    }
    const bool isOwnedHere = folded->submit.ownerNonce == options_.nonce;
    if (found == jobs_.end()) {
        if (isOwnedHere && !folded->outcome) {
            adopt(now, *folded);
        }
        return;
    }
    Job &job = found->second;
    if (isOwnedHere && job.phase == JobPhase::Remote) {
        adopt(now, *folded);
    } else if (isOwnedHere) {
        handleSubmitFolded(now, job);
    } else if (!job.outcome) {
        // Another entry's submit record came first, or another entry has claimed the job. Its records now determine the outcome.
        job.phase = JobPhase::Remote;
        job.isDurable = true;
        schedule(job, MonotonicTime {});
        notifyChanged(job);
        handleOutcomeFolded(now, id);
    }
}

void JobRegistry::handleSubmitFolded(MonotonicTime now, Job &job)
{
    job.isDurable = true;
    if (job.outcome) {
        appendOutcome(job);
        return;
    }
    if (job.phase != JobPhase::AwaitingLog) {
        return;
    }
    job.phase = JobPhase::Queued;
    notifyChanged(job);
    enqueue(now, job);
}

void JobRegistry::handleOutcomeFolded(MonotonicTime now, const std::string &id)
{
    const auto found = jobs_.find(id);
    const FoldedJob *folded = fold_.job(id);
    if (found == jobs_.end() || folded == nullptr || !folded->outcome) {
        return;
    }
    Job &job = found->second;
    if (job.phase == JobPhase::Remote) {
        const OutcomeRecord &record = *folded->outcome;
        job.outcome = JobOutcome {record.outcome, record.reason, record.detail, record.parts};
        markFinished(now, job);
    } else if (job.phase == JobPhase::Recording) {
        markFinished(now, job);
    }
}

void JobRegistry::handleAbandonFolded(MonotonicTime now, const wire::AttemptId &attempt)
{
    Job *job = currentAttempt(attempt);
    if (job == nullptr || job->phase != JobPhase::Abandoning) {
        return;
    }
    if (!fold_.isAbandoned(attempt)) {
        // The start record precedes the abandon record, so the attempt may run and only the lead can report its result.
        job->phase = JobPhase::Starting;
        job->isAcknowledged = true;
        schedule(*job, now);
        return;
    }
    if (job->isCancelRequested) {
        finish(now, *job, {wire::Outcome::Cancelled, wire::Reason::Cancelled, "cancelled before it started", {}});
        return;
    }
    retry(now, *job, wire::Reason::Unreachable, "the lead did not answer");
}

void JobRegistry::adopt(MonotonicTime now, const FoldedJob &folded)
{
    const std::string id = folded.submit.job;
    if (jobs_.count(id) == 0) {
        Submission submission;
        submission.request.spec = folded.submit.spec;
        submission.key = folded.submit.key;
        submission.digest = folded.submit.requestDigest;
        submission.isAsync = folded.submit.isRecoverable;
        addJob(now, submission, id);
    }
    Job &job = jobs_.at(id);
    job.isDurable = true;
    job.isRecoverable = folded.submit.isRecoverable;
    if (folded.start) {
        job.attempt = folded.start->attempt;
        job.lead = folded.start->lead;
        job.phase = JobPhase::Starting;
        job.isAcknowledged = true;
        job.lastLeadMessageAt = now;
        schedule(job, now);
        return;
    }
    // Start records for attempts of the previous owner are invalid after the claim, so a job that is not repeatable is confirmed not to have run.
    job.mayHaveRun = folded.submit.spec.repeatable;
    if (job.isRecoverable) {
        enqueue(now, job);
        return;
    }
    const wire::Outcome::type outcome = job.mayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun;
    finish(now, job, {outcome, wire::Reason::Unreachable, "the entry that accepted it is gone, and its caller's connection with it", {}});
}

void JobRegistry::claimOrphans(MonotonicTime now)
{
    if (now < nextOrphanScan_ || liveEntries_.empty() || !isLogReachable_) {
        return;
    }
    nextOrphanScan_ = now + orphanScanInterval;
    std::map<std::string, MonotonicTime> orphans;
    for (const auto &[id, folded] : fold_.jobs()) {
        if (folded.outcome || liveEntries_.count(folded.submit.ownerNonce) != 0) {
            continue;
        }
        const auto known = orphanedSince_.find(id);
        const MonotonicTime since = known == orphanedSince_.end() ? now : known->second;
        if (now - since < options_.orphanDelay) {
            orphans.emplace(id, since);
            continue;
        }
        orphans.emplace(id, now);
        if (rendezvousChoice(id, liveEntries_) == options_.address) {
            actions_.emplace_back(AppendRecord {ClaimRecord {id, folded.submit.ownerNonce, options_.address, options_.nonce}});
        }
    }
    orphanedSince_ = std::move(orphans);
}

} // namespace knapweed
