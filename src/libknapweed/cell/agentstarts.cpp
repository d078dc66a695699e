// How the agent starts runs: again while there is no answer, and never beside an earlier start of the task that may still be carried out.

#include "cell/agent.h"

#include "base/logging.h"
#include "cell/runwire.h"

namespace knapweed::cell
{

namespace
{

constexpr Seconds lateOrderSpan {15}; ///< an order without an answer may be carried out up to 12 s later
constexpr int startAttempts = 3; ///< with the adapter's time-out they end before the scheduler takes the order for lost

} // namespace

/// A stop makes the endpoint refuse a start that arrives after it.
void Agent::refuseUnansweredStarts()
{
    incarnation_->refusalsSentAt = hooks_.now();
    for (const RunId &run : incarnation_->pendingRefusals) {
        hooks_.driver.stop({incarnation_->status.id, generation_, run},
            [this, run, incarnation = incarnation_->status.incarnation](const Result<Milliseconds, EndpointError> &result) {
                if (!isOk(result)) {
                    logEvent(LogLevel::Warning, "stop.failed", {{"job", run.task.job}, {"run", std::to_string(run.run)}, {"reason", error(result).detail}});
                    return; // repeated by tick()
                }
                if (incarnation_ && incarnation_->status.incarnation == incarnation && incarnation_->pendingRefusals.erase(run) != 0
                    && incarnation_->pendingRefusals.empty()) {
                    incarnation_->renewalAtRefusal = renewalNumber_;
                    renewLease(Milliseconds(0));
                }
            });
    }
}

/// An earlier start of the task that had no answer is refused before a new one is sent: the endpoint's next boot may already answer here.
void Agent::handle(const std::string &peer, const wire::StartOrder &order)
{
    if (!isCurrent(peer, order.generation, order.born, order.endpoint)) {
        answerStart(peer, order, wire::StartOutcome::Rejected, "agent not ready for this generation or endpoint");
        return;
    }
    const RunId run = runIdOf(order.run);
    const std::optional<RunId> late = newestUnansweredStartOf(run.task);
    if (!late || late->run >= run.run) {
        attemptStart(peer, order, 1);
        return;
    }
    // A stop of the newest refuses all earlier runs of the task.
    hooks_.driver.stop({order.endpoint, order.generation, *late}, [this, peer, order](const Result<Milliseconds, EndpointError> &result) {
        if (isOk(result)) {
            attemptStart(peer, order, 1);
        } else {
            answerStart(peer, order, wire::StartOutcome::Rejected, "an earlier start of the task may still come: " + error(result).detail);
        }
    });
}

/// The newest start of the task without an answer that may still be carried out.
std::optional<RunId> Agent::newestUnansweredStartOf(const TaskId &task) const
{
    std::optional<RunId> late;
    for (auto start = unansweredStarts_.lower_bound({task, 0}); start != unansweredStarts_.end() && start->first.task == task; ++start) {
        if (start->second.until > hooks_.now()) {
            late = start->first;
        }
    }
    return late;
}

/// A start without an answer is sent again: under its run number it is carried out at most once.
void Agent::attemptStart(const std::string &peer, const wire::StartOrder &order, int attempt)
{
    const std::optional<Milliseconds> until = leaseUntil();
    if (!isCurrent(peer, order.generation, order.born, order.endpoint) || incarnation_->status.isDraining || !until
        || incarnation_->listedGeneration != generation_) {
        startFailed(peer, order, {EndpointError::Kind::Refused, "agent not ready for this generation or endpoint"}, attempt);
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
    hooks_.driver.start(request, [this, peer, order, attempt](const Result<Milliseconds, EndpointError> &result) {
        if (isOk(result)) {
            startSucceeded(peer, order);
            return;
        }
        if (error(result).kind == EndpointError::Kind::Unanswered) {
            unansweredStarts_[runIdOf(order.run)] = {order.endpoint, hooks_.now() + lateOrderSpan};
            if (attempt < startAttempts) {
                attemptStart(peer, order, attempt + 1);
                return;
            }
        }
        startFailed(peer, order, error(result), attempt);
    });
}

void Agent::startSucceeded(const std::string &peer, const wire::StartOrder &order)
{
    const RunId run = runIdOf(order.run);
    if (incarnation_ && incarnation_->status.incarnation == order.born && incarnation_->appliedRenewal <= renewalNumber_) {
        incarnation_->started[run] = renewalNumber_;
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
        failure.kind = Kind::Unanswered; // an earlier attempt may still be carried out, or has been
    }
    wire::StartOutcome::type outcome = wire::StartOutcome::Rejected;
    if (failure.kind == Kind::Unanswered) {
        outcome = wire::StartOutcome::Unanswered;
    } else if (failure.kind == Kind::InsufficientCapacity) {
        outcome = wire::StartOutcome::NoRoom;
    } else if (failure.kind == Kind::BadTicket) {
        outcome = wire::StartOutcome::BadTicket;
    }
    logEvent(LogLevel::Warning,
        "start.failed",
        {{"job", order.run.job}, {"run", std::to_string(order.run.run)}, {"attempt", std::to_string(attempt)}, {"reason", failure.detail}});
    answerStart(peer, order, outcome, failure.detail);
}

} // namespace knapweed::cell
