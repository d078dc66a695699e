// Renewal of the lease of an endpoint's runs. The answers carry the endpoint's lists.

#include "cell/agent.h"

#include "base/logging.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds renewalRetryInterval {200}; ///< after a failed renewal, or while ends are not yet stored durably
constexpr double minClockRate = 0.98; ///< rate of the slowest endpoint clock, relative to the local clock

} // namespace

/// Expiry of the lease on the endpoint's clock, computed so that the lease expires there no later than here.
std::optional<Milliseconds> Agent::leaseUntil() const
{
    if (!incarnation_ || !incarnation_->isClockKnown || leaseExpiresAt_ <= std::max(incarnation_->clockReadAt, hooks_.now())) {
        return std::nullopt;
    }
    const double remaining = double((leaseExpiresAt_ - incarnation_->clockReadAt).count()) * minClockRate;
    return incarnation_->clock + Milliseconds(static_cast<std::int64_t>(remaining));
}

void Agent::renewLease(Milliseconds wait)
{
    if (!incarnation_) {
        return;
    }
    RenewalRequest request;
    request.endpoint = incarnation_->status.id;
    request.fence = generation_;
    request.endsStored = incarnation_->endsStored > incarnation_->endsDiscarded ? incarnation_->endsStored : 0;
    request.leaseUntil = leaseUntil();
    request.wait = wait;
    const std::uint64_t number = ++renewalNumber_;
    const bool isLongPoll = wait.count() > 0;
    const BootTime sentAt = hooks_.now();
    if (request.leaseUntil) {
        std::erase_if(sentLeases_, [sentAt](const auto &lease) {
            return lease.second <= sentAt;
        });
        sentLeases_[number] = leaseExpiresAt_;
    }
    isLongPollPending_ = isLongPollPending_ || isLongPoll;
    hooks_.driver.renewLease(request,
        [this, number, sentAt, isLongPoll, fence = request.fence, incarnation = incarnation_->status.incarnation, endsStored = request.endsStored](
            Result<RenewalResult, EndpointError> result) {
            if (isLongPoll) {
                isLongPollPending_ = false;
                nextRenewal_ = hooks_.now();
            }
            if (isOk(result)) {
                renewalSucceeded({number, sentAt, fence, endsStored}, incarnation, value(result));
            } else {
                nextRenewal_ = hooks_.now() + renewalRetryInterval;
                if (error(result).kind == EndpointError::Kind::ConnectionFailed) {
                    sentLeases_.erase(number); // it was not delivered
                }
                if (incarnation_ && incarnation_->status.incarnation == incarnation) {
                    renewalFailed(number, error(result));
                }
            }
        });
}

/// Whether all leases that the endpoint may have been told are over. It is told none while it refuses connections.
bool Agent::isLeaseCertainlyOver() const
{
    return std::all_of(sentLeases_.begin(), sentLeases_.end(), [now = hooks_.now()](const auto &lease) {
        return lease.second <= now;
    });
}

/// An endpoint that has said that it has left runs nothing if it refuses connections, so no scheduler has to wait for its lease to expire. The time for which
/// it announced to stay is a minimum, and a network fault may refuse connections as well: without its own word it may work until its lease is over.
void Agent::renewalFailed(std::uint64_t number, const EndpointError &failure)
{
    noteFailedRenewal(number, failure);
    if (failure.kind == EndpointError::Kind::DifferentIncarnation) {
        incarnation_->listedGeneration = -1; // the endpoint itself says that it is another one
    }
    const bool isDueToLeave = incarnation_->hasLeft || (incarnation_->status.isDraining && hooks_.now() >= incarnation_->leavesAt);
    const bool isOver = incarnation_->hasLeft || isLeaseCertainlyOver();
    if (!isDueToLeave || !isOver || failure.kind != EndpointError::Kind::ConnectionFailed) {
        logEvent(LogLevel::Warning, "hold.failed", {{"endpoint", incarnation_->status.id}, {"reason", failure.detail}});
        return;
    }
    nextRenewal_ = hooks_.now() + idleRenewalInterval;
    if (incarnation_->isGone) {
        return;
    }
    logEvent(LogLevel::Info,
        "endpoint.gone",
        {{"endpoint", incarnation_->status.id}, {"running", std::to_string(incarnation_->running.size())}, {"said_so", incarnation_->hasLeft ? "yes" : "no"}});
    incarnation_->isGone = true;
    incarnation_->running.clear();
    incarnation_->started.clear();
    report();
}

void Agent::renewalSucceeded(const SentRenewal &renewal, std::int64_t incarnation, const RenewalResult &answer)
{
    const std::uint64_t number = renewal.number;
    if (!incarnation_ || incarnation_->status.incarnation != incarnation) {
        return;
    }
    if (answer.incarnation != 0 && answer.incarnation != incarnation) {
        // The next incarnation already answers under the same id. It is not used before it has reported.
        logEvent(LogLevel::Info, "endpoint.otherboot", {{"endpoint", incarnation_->status.id}, {"born", std::to_string(answer.incarnation)}});
        noteFailedRenewal(number, {EndpointError::Kind::DifferentIncarnation, {}});
        incarnation_->listedGeneration = -1;
        incarnation_->isClockKnown = false;
        incarnation_->endsDiscarded = incarnation_->endsStored;
        return;
    }
    incarnation_->answeredAt = hooks_.now();
    if (!incarnation_->pendingRefusals.empty() || number <= incarnation_->renewalAtRefusal) {
        return;
    }
    // Responses may arrive out of order. The endpoint's clock shows which lists are newer, except for two responses within one millisecond.
    if (incarnation_->isClockKnown && answer.clock <= incarnation_->clock) {
        nextRenewal_ = hooks_.now();
        return;
    }
    incarnation_->isGone = false;
    incarnation_->appliedRenewal = std::max(incarnation_->appliedRenewal, number);
    incarnation_->endsDiscarded = std::max(incarnation_->endsDiscarded, renewal.endsStored);
    incarnation_->clock = answer.clock;
    incarnation_->clockReadAt = hooks_.now();
    incarnation_->isClockKnown = true;
    incarnation_->firstFailureAt.reset();
    incarnation_->mayHaveMissedEnds = false;
    removeCarriedOutStarts(answer);
    areLostRunsKnown_ = true;
    const bool isFirstOfGeneration = incarnation_->listedGeneration != renewal.fence;
    incarnation_->listedGeneration = std::max(incarnation_->listedGeneration, renewal.fence);
    std::map<RunId, ListedRun> before;
    before.swap(incarnation_->running);
    const std::size_t runsBefore = before.size();
    for (const ListedRun &run : answer.running) {
        incarnation_->running[run.run] = run;
        OrderedRun &ordered = incarnation_->ordered.try_emplace(run.run, OrderedRun {hooks_.now()}).first->second;
        ordered.shownAt = std::max(ordered.shownAt, renewal.sentAt);
        ordered.isListed = true;
        before.erase(run.run);
    }
    const std::size_t endsBefore = incarnation_->ended.size();
    for (const ListedEnd &end : answer.ended) {
        incarnation_->started.erase(end.run);
        incarnation_->ordered.erase(end.run);
        if (end.number > incarnation_->endsStored) {
            incarnation_->ended[end.number] = end;
        }
    }
    if (answer.ended.size() < maxListedEnds) {
        std::erase_if(incarnation_->started, [number](const auto &started) {
            return started.second < number;
        });
        for (const auto &[run, listed] : before) {
            incarnation_->ordered.erase(run);
        }
        std::erase_if(incarnation_->ordered, [this, number](const auto &ordered) {
            const bool isAnswered = ordered.second.shownAt != BootTime();
            return isAnswered && ordered.second.renewalAtAnswer < number && incarnation_->running.count(ordered.first) == 0;
        });
    } else {
        // A run that is in neither list may have ended, with an end that did not fit.
        std::erase_if(before, [this](const auto &run) {
            return hasListedEnd(run.first);
        });
        incarnation_->running.merge(before);
    }
    if (isFirstOfGeneration || incarnation_->ended.size() != endsBefore || incarnation_->running.size() != runsBefore) {
        report();
    }
    reportAbsentRuns();
    nextRenewal_ = hooks_.now()
        + (!incarnation_->ended.empty()                                          ? renewalRetryInterval
                : incarnation_->running.empty() && incarnation_->started.empty() ? idleRenewalInterval
                                                                                 : Milliseconds(0));
}

} // namespace knapweed::cell
