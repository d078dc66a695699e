// The agent's protocol. Lists are only as new as the hold that read them, so starts and stops answered since then are kept beside them.

#include "cell/agent.h"

#include "base/logging.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds busyReport {500}; ///< between reports while something runs; also how often a lease is renewed
constexpr Milliseconds idleReport {1000};
constexpr Milliseconds holdRetry {200}; ///< after a hold failed, or while ends wait to become durable
constexpr Milliseconds idleHold {2000}; ///< while nothing runs, the lists only change by late orders
constexpr Milliseconds refusalInterval {400}; ///< between repeated stops of late starts
constexpr double slowestClock = 0.98; ///< an endpoint's clock may run this much slower than ours

} // namespace

Agent::Agent(AgentOptions options, AgentHooks hooks)
    : options_(options)
    , hooks_(std::move(hooks))
{
}

bool Agent::endpointReported(const EndpointStatus &status)
{
    const bool isSameBoot = boot_ && boot_->status.id == status.id && boot_->status.born == status.born;
    if (boot_ && (status.born < boot_->status.born || (isSameBoot && status.sequence <= boot_->status.sequence))) {
        return false;
    }
    const bool isNews = !isSameBoot || boot_->status.isDraining != status.isDraining;
    if (!isSameBoot) {
        beginBoot(status);
    }
    if (status.isDraining && isNews) {
        logEvent(LogLevel::Info, "endpoint.draining", {{"endpoint", status.id}, {"remaining_ms", std::to_string(status.remaining.count())}});
    }
    boot_->status = status;
    boot_->leavesAt = hooks_.now() + status.remaining;
    if (isNews) {
        hold(Milliseconds(0));
        report();
    }
    return true;
}

void Agent::beginBoot(const EndpointStatus &status)
{
    const BootTime now = hooks_.now();
    boot_ = Boot();
    boot_->status = status;
    nextHold_ = now;
    std::erase_if(lateStarts_, [now](const auto &start) {
        return start.second.until <= now;
    });
    for (const auto &[run, start] : lateStarts_) {
        if (start.endpoint == status.id) {
            boot_->refusedFirst.insert(run);
        }
    }
    logEvent(LogLevel::Info,
        "endpoint.boot",
        {{"endpoint", status.id},
            {"service", status.service},
            {"born", std::to_string(status.born)},
            {"late_starts", std::to_string(boot_->refusedFirst.size())}});
    refuseLateStarts();
}

void Agent::endpointLeft(const std::string &id)
{
    if (boot_ && boot_->status.id == id) {
        logEvent(LogLevel::Info, "endpoint.left", {{"endpoint", id}});
        boot_->status.isDraining = true;
        boot_->status.remaining = Milliseconds(0);
        boot_->hasLeft = true;
        report();
        hold(Milliseconds(0));
    }
}

void Agent::learnScheduler(std::int64_t generation, const std::string &address, bool isLeaving)
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
    if (boot_) {
        hold(Milliseconds(0));
    }
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
        learnScheduler(notice->generation, notice->address, notice->isLeaving);
    } else if (const wire::EndpointGrant *grant = std::get_if<wire::EndpointGrant>(&message)) {
        handle(peer, *grant);
    } else if (const wire::StartOrder *start = std::get_if<wire::StartOrder>(&message)) {
        handle(peer, *start);
    } else if (const wire::StopOrder *stop = std::get_if<wire::StopOrder>(&message)) {
        handle(peer, *stop);
    }
}

bool Agent::isCurrent(const std::string &peer, std::int64_t generation, std::int64_t born, const std::string &endpoint) const
{
    return generation == generation_ && peer == scheduler_ && boot_ && boot_->status.born == born && boot_->status.id == endpoint;
}

void Agent::handle(const std::string &peer, const wire::EndpointGrant &grant)
{
    if (!isCurrent(peer, grant.generation, grant.born, grant.endpoint)) {
        return;
    }
    if (grant.sentAtMs > 0) {
        leaseEnds_ = std::max(leaseEnds_, BootTime(Milliseconds(grant.sentAtMs)) + options_.lease);
    }
    if (grant.endsStored <= boot_->endsStored) {
        return;
    }
    boot_->endsStored = grant.endsStored;
    boot_->ended.erase(boot_->ended.begin(), boot_->ended.upper_bound(grant.endsStored));
    hold(Milliseconds(0));
}

/// The lease on the endpoint's clock, counted so that it is over there no later than here.
std::optional<Milliseconds> Agent::leaseUntil() const
{
    if (!boot_ || !boot_->isClockKnown || leaseEnds_ <= boot_->clockReadAt) {
        return std::nullopt;
    }
    const double rest = double((leaseEnds_ - boot_->clockReadAt).count()) * slowestClock;
    return boot_->clock + Milliseconds(static_cast<std::int64_t>(rest));
}

void Agent::handle(const std::string &peer, const wire::StopOrder &order)
{
    if (!isCurrent(peer, order.generation, order.born, order.endpoint)) {
        return;
    }
    StopRequest request {order.endpoint, order.generation, runIdOf(order.run)};
    hooks_.driver.stop(request, [this, run = request.run, born = order.born](const Result<Milliseconds, EndpointError> &result) {
        if (!isOk(result)) {
            logEvent(LogLevel::Warning, "stop.failed", {{"job", run.task.job}, {"run", std::to_string(run.run)}, {"reason", error(result).detail}});
            return; // the scheduler asks again
        }
        if (boot_ && boot_->status.born == born) {
            boot_->stopped[run] = holdNumber_;
            hold(Milliseconds(0));
        }
    });
}

void Agent::hold(Milliseconds wait)
{
    if (!boot_) {
        return;
    }
    HoldRequest request;
    request.endpoint = boot_->status.id;
    request.fence = generation_;
    request.endsStored = boot_->endsStored > boot_->endsForgotten ? boot_->endsStored : 0;
    request.leaseUntil = leaseUntil();
    request.wait = wait;
    const std::uint64_t number = ++holdNumber_;
    const bool waits = wait.count() > 0;
    isWaitingHold_ = isWaitingHold_ || waits;
    hooks_.driver.hold(request,
        [this, number, waits, fence = request.fence, born = boot_->status.born, endsStored = request.endsStored](Result<HoldAnswer, EndpointError> result) {
            if (waits) {
                isWaitingHold_ = false;
                nextHold_ = hooks_.now();
            }
            if (isOk(result)) {
                held(number, fence, born, endsStored, value(result));
            } else {
                nextHold_ = hooks_.now() + holdRetry;
                if (boot_ && boot_->status.born == born) {
                    holdFailed(error(result));
                }
            }
        });
}

/// An endpoint that has left, or whose notice is over, and that refuses connections runs nothing: no scheduler need wait for its lease.
void Agent::holdFailed(const EndpointError &failure)
{
    const bool isDue = boot_->hasLeft || (boot_->status.isDraining && hooks_.now() >= boot_->leavesAt);
    if (!isDue || failure.kind != EndpointError::Kind::Absent) {
        logEvent(LogLevel::Warning, "hold.failed", {{"reason", failure.detail}});
        return;
    }
    nextHold_ = hooks_.now() + idleHold;
    if (boot_->isGone) {
        return;
    }
    logEvent(LogLevel::Info,
        "endpoint.gone",
        {{"endpoint", boot_->status.id}, {"running", std::to_string(boot_->running.size())}, {"said_so", boot_->hasLeft ? "yes" : "no"}});
    boot_->isGone = true;
    boot_->running.clear();
    boot_->started.clear();
    report();
}

void Agent::held(std::uint64_t number, std::int64_t fence, std::int64_t born, std::int64_t endsStored, const HoldAnswer &answer)
{
    if (!boot_ || boot_->status.born != born) {
        return;
    }
    if (answer.born != 0 && answer.born != born) {
        // The next boot under the same id answers already; nothing is done there before it has reported.
        logEvent(LogLevel::Info, "endpoint.otherboot", {{"endpoint", boot_->status.id}, {"born", std::to_string(answer.born)}});
        boot_->listedGeneration = -1;
        boot_->isClockKnown = false;
        boot_->endsForgotten = boot_->endsStored;
        return;
    }
    if (!boot_->refusedFirst.empty() || number <= boot_->refusalHold) {
        return;
    }
    // Answers may overtake each other; the endpoint's own clock tells which lists are newer, but for two within one of its milliseconds.
    if (boot_->isClockKnown && answer.clock <= boot_->clock) {
        nextHold_ = hooks_.now();
        return;
    }
    boot_->isGone = false;
    boot_->listNumber = std::max(boot_->listNumber, number);
    boot_->endsForgotten = std::max(boot_->endsForgotten, endsStored);
    boot_->clock = answer.clock;
    boot_->clockReadAt = hooks_.now();
    boot_->isClockKnown = true;
    const bool isFirst = boot_->listedGeneration != fence;
    boot_->listedGeneration = std::max(boot_->listedGeneration, fence);
    const std::size_t runsBefore = boot_->running.size();
    boot_->running.clear();
    for (const ListedRun &run : answer.running) {
        boot_->running[run.run] = run;
    }
    const std::size_t endsBefore = boot_->ended.size();
    for (const ListedEnd &end : answer.ended) {
        boot_->started.erase(end.run);
        if (end.number > boot_->endsStored) {
            boot_->ended[end.number] = end;
        }
    }
    std::erase_if(boot_->started, [number](const auto &started) {
        return started.second < number;
    });
    if (isFirst || boot_->ended.size() != endsBefore || boot_->running.size() != runsBefore) {
        report();
    }
    reportAbsent();
    nextHold_ = hooks_.now() + (!boot_->ended.empty() ? holdRetry : boot_->running.empty() && boot_->started.empty() ? idleHold : Milliseconds(0));
}

void Agent::tick()
{
    if (!boot_) {
        return;
    }
    const BootTime now = hooks_.now();
    const bool isBusy = !boot_->running.empty() || !boot_->started.empty() || !boot_->ended.empty();
    if (now - lastReport_ >= (isBusy ? busyReport : idleReport)) {
        report();
    }
    if (!boot_->refusedFirst.empty() && now - boot_->refusedAt >= refusalInterval) {
        refuseLateStarts();
    }
    if (!isWaitingHold_ && now >= nextHold_) {
        const bool canWait = boot_->ended.empty() && isBusy && boot_->isClockKnown;
        nextHold_ = now + idleHold;
        hold(canWait ? endWait : Milliseconds(0));
    }
}

std::size_t Agent::runningTasks() const
{
    return boot_ ? boot_->running.size() : 0;
}

} // namespace knapweed::cell
