// The validity of a ticket is counted from when the request was sent, so no ticket is used for longer than it is valid.

#include "cell/advice.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds replyTimeout {4000}; ///< an unanswered request is sent again after this time
constexpr Milliseconds startLatency {400}; ///< a ticket must stay valid until the start that carries it has reached its endpoint
constexpr Milliseconds ticketRenewalMargin {1000}; ///< a new ticket is requested when the remaining validity is no longer than this

bool isTicketValid(const StepAdvice &advice, const std::string &endpoint, BootTime now, Milliseconds margin)
{
    const auto found = advice.tickets.find(endpoint);
    return found != advice.tickets.end() && found->second.second > now + margin;
}

} // namespace

std::vector<std::string> beginAdviceRequest(StepAdvice &advice, const std::set<std::string> &usable, BootTime now)
{
    std::vector<std::string> endpoints;
    if (!advice.requested.empty() && now - advice.requestedAt < replyTimeout) {
        return endpoints;
    }
    for (const std::string &endpoint : usable) {
        if (advice.refused.count(endpoint) == 0 && !isTicketValid(advice, endpoint, now, ticketRenewalMargin) && endpoints.size() < maxAdviceEndpoints) {
            endpoints.push_back(endpoint);
        }
    }
    if (!endpoints.empty()) {
        advice.requested = endpoints;
        advice.requestedAt = now;
    }
    return endpoints;
}

void recordAdviceReply(StepAdvice &advice, const AdviceReply &reply, Milliseconds validity)
{
    std::set<std::string> allowed;
    for (const auto &[endpoint, ticket] : reply.allowed) {
        advice.tickets[endpoint] = {ticket, advice.requestedAt + validity};
        allowed.insert(endpoint);
    }
    for (const std::string &endpoint : advice.requested) {
        if (allowed.count(endpoint) == 0) {
            advice.refused.insert(endpoint);
        }
    }
    advice.requested.clear();
}

std::string ticketFor(const StepAdvice &advice, const std::string &endpoint, BootTime now)
{
    return isTicketValid(advice, endpoint, now, startLatency) ? advice.tickets.at(endpoint).first : std::string();
}

} // namespace knapweed::cell
