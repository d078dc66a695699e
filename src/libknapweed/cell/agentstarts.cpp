// Starting of runs by the agent. A start is repeated while it gets no answer, and not sent while an earlier start of the task may still be carried out.

#include "cell/agent.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr int maxStartAttempts = 3; ///< with the adapter's time-out, all attempts end before the scheduler considers the order lost

} // namespace

/// Stops the runs of unanswered starts, which makes the endpoint refuse a start that arrives after the stop.
void Agent::refuseUnansweredStarts()
{
    incarnation_->refusalsSentAt = hooks_.now();
    for (const RunId &run : incarnation_->pendingRefusals) {
        hooks_.driver.stop({incarnation_->status.id, generation_, run},
            [this, run, incarnation = incarnation_->status.incarnation](const Result<Milliseconds, EndpointError> &result) {
                if (!isOk(result)) {
                    logEvent(LogLevel::Warning, "stop.failed", {{"job", run.task.job}, {"run", std::to_string(run.run)}, {"reason", error(result).detail}});
                    return; // tick() repeats the stop
                }
                if (incarnation_ && incarnation_->status.incarnation == incarnation && incarnation_->pendingRefusals.erase(run) != 0
                    && incarnation_->pendingRefusals.empty()) {
                    incarnation_->renewalAtRefusal = renewalNumber_;
                    renewLease(Milliseconds(0));
                }
            });
    }
}

/// Makes the endpoint refuse an earlier unanswered start of the task before the new one is sent: the next incarnation may already answer at this address.
void Agent::handle(const std::string &peer, const wire::StartOrder &order)
{
    if (!isCurrent(peer, order.generation, order.born, order.endpoint)) {
        answerStart(peer, order, wire::StartOutcome::Rejected, "agent is not ready for this generation or endpoint");
        return;
    }
    const RunId run = runIdOf(order.run);
    const BootTime orderExpiresAt = order.validUntilMs > 0 ? BootTime(Milliseconds(order.validUntilMs)) : leaseExpiresAt_;
    const BootTime validUntil = std::min(leaseExpiresAt_, orderExpiresAt);
    const std::optional<RunId> unanswered = newestUnansweredStartOf(run.task);
    if (!unanswered || unanswered->run >= run.run) {
        attemptStart(peer, order, validUntil, 1);
        return;
    }
    // Stopping the newest run makes the endpoint refuse all earlier runs of the task as well.
    hooks_.driver.stop({order.endpoint, order.generation, *unanswered}, [this, peer, order, validUntil](const Result<Milliseconds, EndpointError> &result) {
        if (isOk(result)) {
            attemptStart(peer, order, validUntil, 1);
        } else {
            answerStart(peer,
                order,
                wire::StartOutcome::Rejected,
                "an earlier start of the task may still be carried out; stopping it failed: " + error(result).detail);
        }
    });
}

void Agent::recordStopOrder(const RunId &run)
{
    const BootTime now = hooks_.now();
    std::erase_if(stopOrders_, [now](const auto &order) {
        return order.second + lateOrderWindow <= now;
    });
    stopOrders_.try_emplace(run, now);
}

/// The newest unanswered start of the task that may still be carried out.
std::optional<RunId> Agent::newestUnansweredStartOf(const TaskId &task) const
{
    std::optional<RunId> unanswered;
    for (auto start = unansweredStarts_.lower_bound({task, 0}); start != unansweredStarts_.end() && start->first.task == task; ++start) {
        if (start->second.until > hooks_.now()) {
            unanswered = start->first;
        }
    }
    return unanswered;
}

/// Whether the endpoint has less capacity than when the start was planned. Orders may wait for a connection for seconds, and endpoints need not guard
/// themselves.
bool Agent::hasShrunkSince(const wire::StartOrder &order) const
{
    return !fits({order.milliCores, order.memoryMib, order.accelerators}, incarnation_->status.capacity);
}

/// Repeats a start that gets no answer. This is safe because an endpoint carries out each run number at most once. The order holds until @p validUntil, at most
/// until the end of the lease under which it arrived: once that is over, the scheduler may have started the task elsewhere.
void Agent::attemptStart(const std::string &peer, const wire::StartOrder &order, BootTime validUntil, int attempt)
{
    const std::optional<Milliseconds> until = leaseUntil();
    if (!isCurrent(peer, order.generation, order.born, order.endpoint) || incarnation_->status.isDraining || !until || validUntil <= hooks_.now()
        || incarnation_->listedGeneration != generation_) {
        startFailed(peer, order, {EndpointError::Kind::Refused, "agent is not ready for this generation or endpoint"}, attempt);
        return;
    }
    if (hasShrunkSince(order)) {
        startFailed(peer, order, {EndpointError::Kind::Refused, "the endpoint's capacity has shrunk since the start was planned"}, attempt);
        return;
    }
    if (isForbidden(order)) {
        const char *reason = isKnown(evacuations_) ? "the failure domain is evacuated" : "it is not known which failure domains are evacuated";
        startFailed(peer, order, {EndpointError::Kind::Evacuated, reason}, attempt);
        return;
    }
    StartRequest request;
    request.endpoint = order.endpoint;
    request.fence = order.generation;
    request.run = runIdOf(order.run);
    request.input = order.input;
    request.checkpoint = order.checkpoint;
    request.ticket = order.ticket;
    request.leaseUntil = *until;
    sentLeases_[0] = std::max(sentLeases_[0], leaseExpiresAt_);
    if (attempt == 1) {
        incarnation_->ordered.try_emplace(request.run, OrderedRun {hooks_.now()}); // by the next attempts, its end may have been read
    }
    hooks_.driver.start(request, [this, peer, order, validUntil, attempt, sentAt = hooks_.now()](const Result<Milliseconds, EndpointError> &result) {
        if (isOk(result)) {
            startSucceeded(peer, order, sentAt);
            return;
        }
        if (error(result).kind == EndpointError::Kind::Unanswered) {
            unansweredStarts_[runIdOf(order.run)] = {order.endpoint, hooks_.now() + lateOrderWindow};
            stopLateStarts();
            if (attempt < maxStartAttempts && stopOrders_.count(runIdOf(order.run)) == 0) {
                attemptStart(peer, order, validUntil, attempt + 1);
                return;
            }
        }
        startFailed(peer, order, error(result), attempt);
    });
}

void Agent::startSucceeded(const std::string &peer, const wire::StartOrder &order, BootTime sentAt)
{
    const RunId run = runIdOf(order.run);
    if (incarnation_ && incarnation_->status.incarnation == order.born && incarnation_->appliedRenewal <= renewalNumber_) {
        incarnation_->started[run] = renewalNumber_;
        const auto ordered = incarnation_->ordered.find(run);
        if (ordered != incarnation_->ordered.end()) {
            ordered->second.shownAt = std::max(ordered->second.shownAt, sentAt);
            ordered->second.renewalAtAnswer = renewalNumber_;
        }
    }
    logEvent(
        LogLevel::Info, "run.started", {{"job", run.task.job}, {"task", nameOf(run.task)}, {"run", std::to_string(run.run)}, {"endpoint", order.endpoint}});
    answerStart(peer, order, wire::StartOutcome::Started, {});
    if (!isLongPollPending_) {
        renewLease(longPollTimeout);
    }
}

void Agent::startFailed(const std::string &peer, const wire::StartOrder &order, EndpointError failure, int attempt)
{
    using Kind = EndpointError::Kind;
    if (attempt > 1) {
        failure.kind = Kind::Unanswered; // an earlier attempt may have been carried out, or may still be
    }
    if (failure.kind != Kind::Unanswered && incarnation_ && incarnation_->status.incarnation == order.born) {
        incarnation_->ordered.erase(runIdOf(order.run));
    }
    wire::StartOutcome::type outcome = wire::StartOutcome::Rejected;
    if (failure.kind == Kind::Unanswered) {
        outcome = wire::StartOutcome::Unanswered;
    } else if (failure.kind == Kind::InsufficientCapacity) {
        outcome = wire::StartOutcome::NoRoom;
    } else if (failure.kind == Kind::BadTicket) {
        outcome = wire::StartOutcome::BadTicket;
    } else if (failure.kind == Kind::Evacuated && order.__isset.evacuationPosition) {
        outcome = wire::StartOutcome::Evacuated;
    }
    logEvent(LogLevel::Warning,
        "start.failed",
        {{"job", order.run.job}, {"run", std::to_string(order.run.run)}, {"attempt", std::to_string(attempt)}, {"reason", failure.detail}});
    answerStart(peer, order, outcome, failure.detail);
}

} // namespace knapweed::cell
