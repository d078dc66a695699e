// Counts the validity of tickets and selects the endpoints to name in a call.

#include "cell/advice.h"

#include <algorithm>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds maxStartLatency {400}; ///< from the decision to start until the start that carries the ticket has reached its endpoint
constexpr int shortestShare = 4; ///< of a short validity this part is left for that
constexpr double rememberedEndpoints = 200; ///< number of named endpoints by which the share of a queue is known
constexpr double priorWeight = 2; ///< endpoints for which the share expected without replies counts
constexpr double priorShare = 0.5;
constexpr Milliseconds callOverhead {10}; ///< of the network, for calls that are stated to take no time
constexpr int maxDoublings = 7; ///< enough for the largest call
constexpr std::size_t usualEndpoints = 30; ///< of one call, so that a step with many tasks doesn't keep the adviser from the others for long

Milliseconds startLatency(Milliseconds validity)
{
    return std::min(maxStartLatency, validity / shortestShare);
}

Milliseconds scaled(Milliseconds time, double factor)
{
    return Milliseconds(std::llround(double(time.count()) * factor));
}

/// The number of unknown endpoints in one call by which the expected time until an allowed one is found is shortest, if repeated until then.
std::size_t bestNumber(const AdvicePolicy &policy, double share, std::size_t most)
{
    std::size_t best = 1;
    double bestTime = 0;
    for (std::size_t number = 1; number <= most; ++number) {
        const double found = 1 - std::pow(1 - share, double(number));
        const double time = double((callOverhead + adviceTime(policy, number)).count()) / found;
        if (number == 1 || time < bestTime) {
            best = number;
            bestTime = time;
        }
    }
    return best;
}

/// The largest number of endpoints whose tickets leave time for a start when the reply arrives, at least one.
std::size_t mostWithinValidity(const AdviceWish &wish)
{
    if (wish.policy.validity.count() == 0) {
        return maxAdviceEndpoints;
    }
    const Milliseconds usable = wish.policy.validity - startLatency(wish.policy.validity) * 2;
    std::size_t most = 1;
    while (most < maxAdviceEndpoints && scaled(adviceTime(wish.policy, most + 1), wish.slowness) <= usable) {
        ++most;
    }
    return most;
}

} // namespace

void countNamed(AllowedShare &share, std::size_t allowed, std::size_t named)
{
    share.allowed += double(allowed);
    share.named += double(named);
    if (share.named > rememberedEndpoints) {
        const double factor = rememberedEndpoints / share.named;
        share.allowed *= factor;
        share.named *= factor;
    }
}

double expectedShare(const AllowedShare &queue, const StepAdvice &advice)
{
    const double byQueue = (queue.allowed + priorWeight * priorShare) / (queue.named + priorWeight);
    const double allowed = double(advice.allowed.size());
    const double known = allowed + double(advice.refused.size());
    return (allowed + priorWeight * byQueue) / (known + priorWeight);
}

std::string ticketFor(const StepAdvice &advice, const EndpointLife &endpoint, BootTime now, TicketClock clock)
{
    const auto found = advice.tickets.find(endpoint);
    if (found == advice.tickets.end()) {
        return std::string();
    }
    const Ticket &ticket = found->second;
    const BootTime since = clock == TicketClock::FromReply ? ticket.receivedAt : ticket.requestedAt;
    const bool isValid = ticket.validity.count() == 0 || now + startLatency(ticket.validity) < since + ticket.validity;
    return isValid ? ticket.text : std::string();
}

std::string newestTicket(const StepAdvice &advice, const EndpointLife &endpoint)
{
    const auto found = advice.tickets.find(endpoint);
    return found == advice.tickets.end() ? std::string() : found->second.text;
}

void recordAdvice(
    StepAdvice &advice, const std::vector<EndpointLife> &endpoints, const AdviceReply &reply, BootTime requestedAt, BootTime now, Milliseconds validity)
{
    const std::map<std::string, std::string> tickets(reply.allowed.begin(), reply.allowed.end());
    for (const EndpointLife &endpoint : endpoints) {
        const auto ticket = tickets.find(endpoint.id);
        if (ticket == tickets.end()) {
            advice.refused.insert(endpoint);
            continue;
        }
        advice.allowed.insert(endpoint);
        Ticket &newest = advice.tickets[endpoint];
        if (newest.requestedAt <= requestedAt) {
            newest = {ticket->second, requestedAt, now, validity};
        }
    }
}

bool dropTicket(StepAdvice &advice, const EndpointLife &endpoint, BootTime now)
{
    const auto found = advice.tickets.find(endpoint);
    if (found == advice.tickets.end()) {
        return false;
    }
    const Ticket ticket = found->second;
    advice.tickets.erase(found);
    return now >= ticket.requestedAt + ticket.validity && now < ticket.receivedAt + ticket.validity;
}

std::vector<EndpointLife> endpointsToName(const StepAdvice &advice, std::vector<AdviceCandidate> candidates, const AdviceWish &wish, double share)
{
    const auto isAllowed = [&advice](const AdviceCandidate &candidate) {
        return advice.allowed.count(candidate.endpoint) != 0;
    };
    std::erase_if(candidates, [&advice](const AdviceCandidate &candidate) {
        return candidate.tasks == 0 || advice.refused.count(candidate.endpoint) != 0;
    });
    std::stable_sort(candidates.begin(), candidates.end(), [&](const AdviceCandidate &left, const AdviceCandidate &right) {
        return left.preference != right.preference ? left.preference < right.preference : isAllowed(left) > isAllowed(right);
    });
    const std::size_t mostKnown = mostWithinValidity(wish);
    const std::size_t best = bestNumber(wish.policy, share, maxAdviceEndpoints);
    const std::size_t leastUnknown = std::min(best << std::min(advice.callsSinceStart, maxDoublings), maxAdviceEndpoints);
    const std::size_t most = std::max(usualEndpoints, leastUnknown);
    std::vector<EndpointLife> named;
    double expected = 0; // tasks that will probably find a place
    std::size_t unknown = 0;
    for (const AdviceCandidate &candidate : candidates) {
        const bool isKnown = isAllowed(candidate);
        const bool isEnough = expected >= double(wish.tasks) && (unknown == 0 || unknown >= leastUnknown);
        if (isEnough || named.size() >= most) {
            break;
        }
        // A call without unknown endpoints is for their tickets.
        if (isKnown && unknown == 0 && named.size() >= mostKnown) {
            break;
        }
        named.push_back(candidate.endpoint);
        expected += double(std::min(candidate.tasks, wish.tasks)) * (isKnown ? 1 : share);
        unknown += isKnown ? 0 : 1;
    }
    return named;
}

Milliseconds adviceTime(const AdvicePolicy &policy, std::size_t endpoints)
{
    return policy.perCall + policy.perEndpoint * static_cast<std::int64_t>(endpoints);
}

bool isUsableFromRequest(const AdvicePolicy &policy, double slowness)
{
    return policy.validity.count() == 0 || scaled(adviceTime(policy, 1), slowness) + startLatency(policy.validity) < policy.validity;
}

} // namespace knapweed::cell
