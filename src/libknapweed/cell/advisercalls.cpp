// Paces the calls to the placement adviser and measures its speed.

#include "cell/advisercalls.h"

#include <algorithm>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr double overdueFactor = 1.25; ///< of the time that the call should take
constexpr Milliseconds overdueAllowance {500}; ///< for the network, and calls of this machine that the adviser still processes, in addition
constexpr int timeoutFactor = 4; ///< of the time until a call is overdue
constexpr std::size_t maxOpenCalls = 4; ///< few of the 32 that the adviser lets wait
constexpr Milliseconds firstRetryDelay {100};
constexpr Milliseconds maxRetryDelay {2000};
constexpr int maxRetryDoublings = 5;
constexpr Milliseconds shortestMeasured {50}; ///< calls that are stated to be shorter say little about the adviser's speed
constexpr double measureWeight = 0.5; ///< of the newest call in the measured speed

bool isOverdue(const AdviserCall &call, BootTime now)
{
    return now >= call.overdueAt;
}

} // namespace

bool maySendAdviserCall(const AdviserCalls &calls, BootTime now)
{
    const bool isIdle = calls.open.empty() || isOverdue(calls.open.back(), now);
    return isIdle && calls.open.size() < maxOpenCalls && now >= calls.retryAt;
}

AdviceRequest sendAdviserCall(
    AdviserCalls &calls, const StepName &step, const std::string &queue, const AdvicePolicy &policy, const std::vector<EndpointLife> &endpoints, BootTime now)
{
    const Milliseconds stated = adviceTime(policy, endpoints.size());
    const Milliseconds patience = overdueAllowance + Milliseconds(std::llround(double(stated.count()) * calls.slowness * overdueFactor));
    AdviceRequest request;
    request.number = ++calls.lastNumber;
    request.step = step;
    request.timeout = patience * timeoutFactor;
    request.needsNewConnection = calls.isReplyMissing || !calls.open.empty();
    for (const EndpointLife &endpoint : endpoints) {
        request.endpoints.push_back(endpoint.id);
    }
    calls.open.push_back({request.number, step, queue, endpoints, stated, now, now + patience});
    return request;
}

std::optional<AdviserCall> endAdviserCall(AdviserCalls &calls, std::int64_t number, const AdviceResult &result, BootTime now)
{
    const auto found = std::find_if(calls.open.begin(), calls.open.end(), [number](const AdviserCall &call) {
        return call.number == number;
    });
    if (found == calls.open.end()) {
        return std::nullopt;
    }
    const AdviserCall call = *found;
    const bool wasFirst = found == calls.open.begin();
    calls.open.erase(found);
    calls.isReplyMissing = !isOk(result) && error(result) == AdviceFailure::Unanswered;
    if (isOk(result)) {
        calls.refusals = 0;
        countNamed(calls.shares[call.queue], std::min(value(result).allowed.size(), call.endpoints.size()), call.endpoints.size());
        if (wasFirst) {
            const BootTime begunAt = std::max(call.sentAt, calls.repliedAt);
            const double measured = double((now - begunAt).count()) / double(std::max(call.stated, shortestMeasured).count());
            calls.slowness = std::max(1.0, calls.slowness * (1 - measureWeight) + measured * measureWeight);
        }
        calls.repliedAt = now;
    } else if (calls.isReplyMissing) {
        calls.retryAt = now + firstRetryDelay;
    } else {
        calls.retryAt = now + std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(calls.refusals, maxRetryDoublings)));
        ++calls.refusals;
    }
    return call;
}

TicketClock ticketClockFor(const AdviserCalls &calls, const AdvicePolicy &policy)
{
    return isUsableFromRequest(policy, calls.slowness) ? calls.ticketClock : TicketClock::FromReply;
}

} // namespace knapweed::cell
