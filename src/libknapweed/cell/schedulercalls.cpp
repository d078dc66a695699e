// Handles the callers' calls: submit, query, cancel, count. An answer is sent only after the state that it reports is durable.

#include "cell/scheduler.h"

#include "base/invariant.h"
#include "base/logging.h"

#include <algorithm>
#include <utility>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds storeRetry {1000}; ///< Retry-After while the store is unreachable; about as long as its shortest outages
constexpr Milliseconds confirmationTimeout {700}; ///< until a held call is refused; lets a renewal of the membership fail once

/// The state of a job as far as it is durable.
std::string stateName(const Job &job, std::uint64_t storedWrite)
{
    if (!isFinal(job) || job.finalWrite > storedWrite) {
        return job.hasBegun && job.begunWrite <= storedWrite ? "running" : "pending";
    }
    if (job.isCancelled) {
        return "cancelled";
    }
    if (job.hasFailed) {
        return "failed";
    }
    return "succeeded";
}

} // namespace

void Scheduler::handle(const std::string &peer, const wire::JobCall &call, BootTime now, WallTime wall)
{
    std::uint64_t awaitedWrite = 0;
    wire::JobAnswer reply;
    reply.call = call.call;
    reply.generation = options_.generation;
    // What has been accepted stays so, and the repeat of an accepted submission has to learn that.
    const bool isAccepted = call.kind == wire::CallKind::Submit && jobs_.count(call.job) != 0;
    if (!isAccepted && call.configurationVersion != 0 && call.configurationVersion < configuration_.version) {
        reply.outcome = wire::CallOutcome::Outdated;
        reply.configurationVersion = configuration_.version;
        answer(peer, call, reply, awaitedWrite);
        return;
    }
    switch (call.kind) {
    case wire::CallKind::Submit:
        reply = submit(call, awaitedWrite, now, wall);
        break;
    case wire::CallKind::Query:
        reply = query(call, awaitedWrite);
        break;
    case wire::CallKind::Cancel:
        reply = cancel(call, awaitedWrite, now);
        break;
    case wire::CallKind::CountWaiting:
        reply = countWaiting(call);
        break;
    case wire::CallKind::CheckConfiguration:
        reply.outcome = wire::CallOutcome::Ok;
        break;
    }
    reply.call = call.call;
    reply.generation = options_.generation;
    const bool isFromMemory = reply.outcome != wire::CallOutcome::Refused && reply.basis == wire::AnswerBasis::Memory;
    if (isFromMemory && now >= confirmedUntil_) {
        heldCalls_.try_emplace({peer, call.call}, HeldCall {call, now});
        return;
    }
    answer(peer, call, reply, awaitedWrite);
}

void Scheduler::confirmTerm(BootTime until, BootTime now, WallTime wall)
{
    confirmedUntil_ = until;
    if (now >= confirmedUntil_) {
        return;
    }
    for (const auto &[source, held] : std::exchange(heldCalls_, {})) {
        handle(source.first, held.call, now, wall);
    }
}

void Scheduler::refuseHeldCalls(BootTime now)
{
    std::erase_if(heldCalls_, [this, now](const auto &held) {
        if (now - held.second.heldSince < confirmationTimeout) {
            return false;
        }
        wire::JobAnswer reply;
        reply.call = held.second.call.call;
        reply.generation = options_.generation;
        reply.outcome = wire::CallOutcome::Refused;
        reply.retryAfterMs = storeRetry.count();
        output_.messages.emplace_back(held.first.first, reply);
        return true;
    });
}

wire::JobAnswer Scheduler::submit(const wire::JobCall &call, std::uint64_t &write, BootTime now, WallTime wall)
{
    wire::JobAnswer reply;
    const auto known = jobs_.find(call.job);
    if (known != jobs_.end()) {
        write = known->second.acceptedWrite;
        reply.outcome = wire::CallOutcome::Ok;
        reply.basis = wire::AnswerBasis::Record;
        return reply;
    }
    const Result<JobSpec, JobRecordError> spec = decodeSpec(call.spec);
    if (!isOk(spec) || !isStoreReachable_) {
        reply.outcome = wire::CallOutcome::Refused;
        reply.retryAfterMs = storeRetry.count();
        logEvent(LogLevel::Info, "job.refused", {{"job", call.job}, {"reason", isOk(spec) ? "store unreachable" : error(spec).detail}});
        return reply;
    }
    Job job;
    job.spec = value(spec);
    job.order = ++acceptedJobs_;
    const Queue *queue = queueNamed(configuration_, job.spec.queue);
    if (queue != nullptr) {
        job.queue = *queue;
        job.spec.service = queue->service;
        job.spec.priority = queue->priority;
        job.spec.attempts = queue->attempts;
        job.spec.advice = queue->advice;
    }
    job.spec.acceptedAt = wall;
    const auto early = earlyCancels_.find(call.job);
    if (early != earlyCancels_.end()) {
        job.isCancelled = true;
        job.lastWrite = early->second.write;
    }
    addDueUnits(job, now, wall);
    job.acceptedWrite = this->write({jobRecordKey(job.spec.id), encodeSpec(job.spec)});
    write = job.acceptedWrite;
    declareRunTimes(job.spec);
    jobs_[call.job] = std::move(job);
    updateJobState(jobs_.at(call.job), now);
    isPlanDue_ = true;
    logEvent(LogLevel::Info, "job.submitted", {{"job", call.job}, {"queue", call.queue}, {"generation", std::to_string(options_.generation)}});
    reply.outcome = wire::CallOutcome::Ok;
    reply.basis = wire::AnswerBasis::Record;
    return reply;
}

wire::JobAnswer Scheduler::query(const wire::JobCall &call, std::uint64_t &write) const
{
    wire::JobAnswer reply;
    const auto known = jobs_.find(call.job);
    if (known == jobs_.end()) {
        reply.outcome = wire::CallOutcome::Missing;
        return reply;
    }
    const Job &job = known->second;
    reply.outcome = wire::CallOutcome::Ok;
    reply.state = stateName(job, storedWrite_);
    if (isFinal(job) && job.finalWrite <= storedWrite_) {
        reply.basis = wire::AnswerBasis::Record;
    }
    write = job.acceptedWrite;
    return reply;
}

wire::JobAnswer Scheduler::cancel(const wire::JobCall &call, std::uint64_t &write, BootTime now)
{
    wire::JobAnswer reply;
    const auto known = jobs_.find(call.job);
    if (known == jobs_.end()) {
        reply.outcome = wire::CallOutcome::Missing;
        reply.basis = wire::AnswerBasis::Record;
        write = recordEarlyCancel(call.job, now);
        return reply;
    }
    Job &job = known->second;
    if (!isFinal(job)) {
        job.isCancelled = true;
        writeProgress(job);
        stopJob(job, now);
        updateJobState(job, now);
        logEvent(LogLevel::Info, "job.cancelled", {{"job", call.job}});
    }
    reply.outcome = wire::CallOutcome::Ok;
    reply.basis = wire::AnswerBasis::Record;
    write = job.lastWrite;
    return reply;
}

/// The submission may be read later, from the connection of a slow entry. Without a record it would then be accepted, and its job started.
std::uint64_t Scheduler::recordEarlyCancel(const std::string &job, BootTime now)
{
    const auto [early, isNew] = earlyCancels_.try_emplace(job);
    early->second.recordedAt = now;
    if (isNew) {
        JobProgress progress;
        progress.isCancelled = true;
        early->second.write = write({progressRecordKey(job), encodeProgress(progress)});
        logEvent(LogLevel::Info, "job.cancelled_early", {{"job", job}, {"generation", std::to_string(options_.generation)}});
    }
    return early->second.write;
}

wire::JobAnswer Scheduler::countWaiting(const wire::JobCall &call) const
{
    wire::JobAnswer reply;
    reply.outcome = wire::CallOutcome::Ok;
    for (const auto &[id, job] : jobs_) {
        if (job.spec.queue == call.queue && !job.hasBegun && !isFinal(job)) {
            ++reply.waiting;
        }
    }
    return reply;
}

std::vector<std::string> Scheduler::pendingSubmissions() const
{
    std::vector<std::string> pending;
    for (const auto &[id, job] : jobs_) {
        if (job.acceptedWrite > storedWrite_ && job.lastWrite == 0) {
            pending.push_back(id);
        }
    }
    return pending;
}

void Scheduler::retractSubmission(const std::string &job)
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return;
    }
    assertInvariant(found->second.acceptedWrite > storedWrite_ && !found->second.hasBegun, "only a submission that was never accepted is retracted");
    logEvent(LogLevel::Info, "job.refused", {{"job", job}, {"reason", "store became unreachable before the submission was stored"}});
    std::vector<PendingAnswer> others;
    for (PendingAnswer &pending : pendingAnswers_) {
        if (pending.write != found->second.acceptedWrite) {
            others.push_back(std::move(pending));
            continue;
        }
        pending.answer.outcome = pending.isSubmission ? wire::CallOutcome::Refused : wire::CallOutcome::Missing;
        pending.answer.retryAfterMs = storeRetry.count();
        pending.answer.state.clear();
        output_.messages.emplace_back(pending.peer, std::move(pending.answer));
    }
    pendingAnswers_ = std::move(others);
    jobs_.erase(found);
}

void Scheduler::answer(const std::string &peer, const wire::JobCall &call, const wire::JobAnswer &answer, std::uint64_t write)
{
    if (write > storedWrite_) {
        pendingAnswers_.push_back({write, peer, answer, call.kind == wire::CallKind::Submit});
        return;
    }
    output_.messages.emplace_back(peer, answer);
}

} // namespace knapweed::cell
