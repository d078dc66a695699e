// The agent's protocol. The endpoint's lists are only as recent as the renewal that read them, so starts and stops answered since then are tracked as well.

#include "cell/agent.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds busyReportInterval {500}; ///< while runs exist; an answered report extends the lease, so the lease is renewed as often
constexpr Milliseconds idleReportInterval {1000};
constexpr Milliseconds refusalRetryInterval {400}; ///< between repeated stops of unanswered starts

} // namespace

Agent::Agent(AgentOptions options, AgentHooks hooks)
    : options_(std::move(options))
    , hooks_(std::move(hooks))
    , sentLeases_ {{0, hooks_.now() + options_.lease}}
{
}

bool Agent::isServed(const EndpointStatus &status) const
{
    return incarnation_ && incarnation_->status.id == status.id && incarnation_->status.incarnation == status.incarnation;
}

bool Agent::endpointReported(const EndpointStatus &status)
{
    if (!options_.service.empty() && status.service != options_.service) {
        logEvent(LogLevel::Warning, "endpoint.foreign", {{"endpoint", status.id}, {"service", status.service}});
        return false;
    }
    if (isServed(status) && status.sequence <= incarnation_->status.sequence) {
        logEvent(LogLevel::Info,
            "endpoint.outdated",
            {{"endpoint", status.id}, {"born", std::to_string(status.incarnation)}, {"seq", std::to_string(status.sequence)}});
        return false;
    }
    if (!isServed(status)) {
        unverified_ = status;
        verifyIncarnation();
        return true;
    }
    const bool isChanged = incarnation_->status.isDraining != status.isDraining;
    applyStatus(status);
    if (isChanged) {
        renewLease(Milliseconds(0));
        report();
    }
    return true;
}

void Agent::applyStatus(const EndpointStatus &status)
{
    if (status.isDraining && !incarnation_->status.isDraining) {
        logEvent(LogLevel::Info, "endpoint.draining", {{"endpoint", status.id}, {"remaining_ms", std::to_string(status.remaining.count())}});
    }
    incarnation_->status = status;
    incarnation_->leavesAt = hooks_.now() + status.remaining;
    incarnation_->hasLeft = false;
}

/// Asks the endpoint which incarnation it is. Anybody can send a report, and the runs of the incarnation that is served are given up with it.
void Agent::verifyIncarnation()
{
    if (!unverified_) {
        return;
    }
    RenewalRequest request;
    request.endpoint = unverified_->id;
    request.fence = generation_;
    const std::uint64_t number = ++renewalNumber_;
    hooks_.driver.renewLease(request, [this, number, status = *unverified_](const Result<RenewalResult, EndpointError> &result) {
        handleVerification(number, status, result);
    });
}

/// Without an answer the report stays unverified; the endpoint repeats it.
void Agent::handleVerification(std::uint64_t number, const EndpointStatus &status, const Result<RenewalResult, EndpointError> &result)
{
    const std::int64_t answering = isOk(result) ? value(result).incarnation : 0;
    const bool isConfirmed = isOk(result) && (answering == 0 || answering == status.incarnation);
    const bool isDenied = isOk(result) ? !isConfirmed : error(result).kind == EndpointError::Kind::DifferentIncarnation;
    if (!isConfirmed) {
        logEvent(LogLevel::Warning,
            "endpoint.unverified",
            {{"endpoint", status.id},
                {"born", std::to_string(status.incarnation)},
                {"reason", isOk(result) ? "the endpoint was born " + std::to_string(answering) : error(result).detail}});
    }
    const bool isNewest = unverified_ && unverified_->id == status.id && unverified_->incarnation == status.incarnation;
    const EndpointStatus newest = isNewest && unverified_->sequence > status.sequence ? *unverified_ : status;
    if (isNewest && (isConfirmed || isDenied)) {
        unverified_.reset();
    }
    const bool hasAnsweredLaterCall = incarnation_ && number < incarnation_->appliedRenewal;
    if (!isConfirmed || isServed(status) || hasAnsweredLaterCall) {
        return;
    }
    beginIncarnation(newest, number, value(result));
    incarnation_->appliedRenewal = number;
    renewLease(Milliseconds(0));
    report();
}

/// @p lists: those that the incarnation sent when it was asked which it is.
void Agent::beginIncarnation(const EndpointStatus &status, std::uint64_t verification, const RenewalResult &lists)
{
    const BootTime now = hooks_.now();
    recordLostRuns(verification, lists);
    incarnation_ = Incarnation();
    applyStatus(status);
    incarnation_->answeredAt = now;
    nextRenewal_ = now;
    std::erase_if(unansweredStarts_, [now](const auto &start) {
        return start.second.until <= now;
    });
    for (const auto &[run, start] : unansweredStarts_) {
        if (start.endpoint == status.id) {
            incarnation_->pendingRefusals.insert(run);
        }
    }
    logEvent(LogLevel::Info,
        "endpoint.boot",
        {{"endpoint", status.id},
            {"service", status.service},
            {"born", std::to_string(status.incarnation)},
            {"late_starts", std::to_string(incarnation_->pendingRefusals.size())}});
    refuseUnansweredStarts();
}

void Agent::endpointLeft(const std::string &id)
{
    if (incarnation_ && incarnation_->status.id == id) {
        logEvent(LogLevel::Info, "endpoint.left", {{"endpoint", id}});
        incarnation_->status.isDraining = true;
        incarnation_->status.remaining = Milliseconds(0);
        incarnation_->hasLeft = true;
        report();
        renewLease(Milliseconds(0));
    }
}

void Agent::updateScheduler(std::int64_t generation, const std::string &address, bool isLeaving)
{
    if (generation < generation_ || (generation == generation_ && !isLeaving && address == scheduler_)) {
        return;
    }
    if (isLeaving) {
        scheduler_ = generation >= generation_ ? std::string() : scheduler_;
        return;
    }
    generation_ = generation;
    scheduler_ = address;
    logEvent(LogLevel::Info, "scheduler.known", {{"generation", std::to_string(generation)}, {"address", address}});
    if (incarnation_) {
        renewLease(Milliseconds(0));
    }
    verifyIncarnation();
    report();
}

void Agent::connected(const std::string &peer)
{
    if (peer == scheduler_) {
        report();
    }
}

void Agent::receive(const std::string &peer, const PeerMessage &message)
{
    if (const wire::SchedulerNotice *notice = std::get_if<wire::SchedulerNotice>(&message)) {
        if (notice->generation < generation_ && !scheduler_.empty()) {
            wire::SchedulerNotice newer;
            newer.generation = generation_;
            newer.address = scheduler_;
            hooks_.send(peer, newer);
        }
        updateScheduler(notice->generation, notice->address, notice->isLeaving);
    } else if (const wire::EndpointGrant *grant = std::get_if<wire::EndpointGrant>(&message)) {
        handle(peer, *grant);
    } else if (const wire::StartOrder *start = std::get_if<wire::StartOrder>(&message)) {
        handle(peer, *start);
    } else if (const wire::StopOrder *stop = std::get_if<wire::StopOrder>(&message)) {
        handle(peer, *stop);
    } else if (const wire::EvacuationState *state = std::get_if<wire::EvacuationState>(&message)) {
        applyEvacuations(evacuationsOf(*state), "peer");
    }
}

bool Agent::isCurrent(const std::string &peer, std::int64_t generation, std::int64_t incarnation, const std::string &endpoint) const
{
    return generation == generation_ && peer == scheduler_ && incarnation_ && incarnation_->status.incarnation == incarnation
        && incarnation_->status.id == endpoint;
}

void Agent::handle(const std::string &peer, const wire::EndpointGrant &grant)
{
    if (!isCurrent(peer, grant.generation, grant.born, grant.endpoint)) {
        return;
    }
    if (grant.sentAtMs > 0) {
        leaseExpiresAt_ = std::max(leaseExpiresAt_, BootTime(Milliseconds(grant.sentAtMs)) + options_.lease);
    }
    if (grant.__isset.speedPermille) {
        incarnation_->speedPermille = grant.speedPermille;
    }
    if (grant.endsStored <= incarnation_->endsStored) {
        return;
    }
    incarnation_->endsStored = grant.endsStored;
    incarnation_->ended.erase(incarnation_->ended.begin(), incarnation_->ended.upper_bound(grant.endsStored));
    renewLease(Milliseconds(0));
}

void Agent::handle(const std::string &peer, const wire::StopOrder &order)
{
    if (!isCurrent(peer, order.generation, order.born, order.endpoint)) {
        return;
    }
    StopRequest request {order.endpoint, order.generation, runIdOf(order.run)};
    recordStopOrder(request.run);
    stopRun(request, order.born);
}

void Agent::stopRun(const StopRequest &request, std::int64_t incarnation)
{
    hooks_.driver.stop(request, [this, run = request.run, incarnation](const Result<Milliseconds, EndpointError> &result) {
        if (!isOk(result)) {
            logEvent(LogLevel::Warning, "stop.failed", {{"job", run.task.job}, {"run", std::to_string(run.run)}, {"reason", error(result).detail}});
            return; // the scheduler repeats its order, and tick() the stop of a late start
        }
        const auto lateStop = lateStops_.find(run);
        if (lateStop != lateStops_.end()) {
            lateStop->second.isConfirmed = true;
        }
        if (incarnation_ && incarnation_->status.incarnation == incarnation) {
            incarnation_->stopped[run] = renewalNumber_;
            renewLease(Milliseconds(0));
        }
    });
}

void Agent::tick()
{
    if (!incarnation_) {
        return;
    }
    const BootTime now = hooks_.now();
    const bool isBusy = !incarnation_->running.empty() || !incarnation_->started.empty() || !incarnation_->ended.empty();
    if (now - lastReport_ >= (isBusy ? busyReportInterval : idleReportInterval)) {
        report();
    }
    if (!incarnation_->pendingRefusals.empty() && now - incarnation_->refusalsSentAt >= refusalRetryInterval) {
        refuseUnansweredStarts();
    }
    stopLateStarts();
    if (!isLongPollPending_ && now >= nextRenewal_) {
        const bool canLongPoll = incarnation_->ended.empty() && isBusy && incarnation_->isClockKnown;
        nextRenewal_ = now + idleRenewalInterval;
        renewLease(canLongPoll ? longPollTimeout : Milliseconds(0));
    }
}

std::size_t Agent::runningTasks() const
{
    return incarnation_ ? incarnation_->running.size() : 0;
}

} // namespace knapweed::cell
