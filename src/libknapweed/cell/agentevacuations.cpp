// The agent's own knowledge of evacuated failure domains: it refuses starts, and makes the endpoint refuse starts that got no answer.

#include "cell/agent.h"

#include "base/logging.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds lateStopInterval {400}; ///< between repeated stops; the time-out of a call to the endpoint

/// What the order's scheduler knows, or nothing if it does not serve evacuations.
std::optional<SchedulerView> viewOf(const wire::StartOrder &order)
{
    if (!order.__isset.evacuationPosition) {
        return std::nullopt;
    }
    return SchedulerView {order.evacuationPosition, order.isEvacuated};
}

} // namespace

std::string Agent::failureDomain() const
{
    return incarnation_ && !incarnation_->status.failureDomain.empty() ? incarnation_->status.failureDomain : options_.failureDomain;
}

/// An agent that knows no state refuses all starts. As long as neither a peer nor the scheduler names one, the whole cell is of a release, or has settings,
/// that do not serve evacuations; refusing would then stop all work without protecting any failure domain.
bool Agent::isForbidden(const wire::StartOrder &order) const
{
    if (!options_.servesEvacuations) {
        return false;
    }
    const std::optional<SchedulerView> view = viewOf(order);
    if (!isKnown(evacuations_) && !hasSeenEvacuations_ && !view) {
        return false;
    }
    return !mayStart(evacuations_, failureDomain(), view);
}

void Agent::evacuationsSeen(const std::string &peer, std::int64_t version)
{
    if (!options_.servesEvacuations) {
        return;
    }
    hasSeenEvacuations_ = true;
    if (isKnown(evacuations_) && version != versionOf(evacuations_)) {
        hooks_.send(peer, wireEvacuations(evacuations_));
    }
}

const Evacuations &Agent::evacuations() const
{
    return evacuations_;
}

void Agent::applyEvacuations(const Evacuations &later, const char *source)
{
    if (!options_.servesEvacuations) {
        return;
    }
    hasSeenEvacuations_ = true;
    const Evacuations before = evacuations_;
    evacuations_ = merged(before, later);
    if (evacuations_ == before) {
        return;
    }
    logChanges(before, evacuations_, source);
    if (hooks_.evacuationsChanged) {
        hooks_.evacuationsChanged(versionOf(evacuations_));
    }
    stopLateStarts();
}

/// An endpoint may carry out a start that got no answer for as long as lateOrderWindow, which is longer than an evacuation may take to be in force. A run that
/// the endpoint lists has begun, and may go on.
void Agent::stopLateStarts()
{
    if (!options_.servesEvacuations || !incarnation_ || !isEvacuated(evacuations_, failureDomain())) {
        lateStops_.clear();
        return;
    }
    const BootTime now = hooks_.now();
    for (const auto &[run, start] : unansweredStarts_) {
        const bool mayBegin = start.until > now && start.endpoint == incarnation_->status.id && incarnation_->running.count(run) == 0;
        const auto [stop, isNew] = lateStops_.try_emplace(run, LateStop {now});
        if (!mayBegin || stop->second.isConfirmed || (!isNew && now - stop->second.sentAt < lateStopInterval)) {
            continue;
        }
        stop->second.sentAt = now;
        stopRun({start.endpoint, generation_, run}, incarnation_->status.incarnation);
    }
}

} // namespace knapweed::cell
