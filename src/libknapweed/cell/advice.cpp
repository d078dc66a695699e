// Tickets are counted from when the question was put, so they never seem to hold for longer than they do.

#include "cell/advice.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds answerTimeout {4000}; ///< a question without an answer for so long is put again
constexpr Milliseconds startTime {400}; ///< a ticket must hold until the start that carries it has reached its endpoint
constexpr Milliseconds renewAhead {1000}; ///< tickets are asked for anew while they still hold for this long

bool holds(const StepAdvice &advice, const std::string &endpoint, BootTime now, Milliseconds ahead)
{
    const auto found = advice.tickets.find(endpoint);
    return found != advice.tickets.end() && found->second.second > now + ahead;
}

} // namespace

std::vector<std::string> beginAdviceRequest(StepAdvice &advice, const std::set<std::string> &usable, BootTime now)
{
    std::vector<std::string> wanted;
    if (!advice.requested.empty() && now - advice.requestedAt < answerTimeout) {
        return wanted;
    }
    for (const std::string &endpoint : usable) {
        if (advice.refused.count(endpoint) == 0 && !holds(advice, endpoint, now, renewAhead) && wanted.size() < maxAdviceEndpoints) {
            wanted.push_back(endpoint);
        }
    }
    if (!wanted.empty()) {
        advice.requested = wanted;
        advice.requestedAt = now;
    }
    return wanted;
}

void recordAdviceReply(StepAdvice &advice, const AdviceReply &answer, Milliseconds validity)
{
    std::set<std::string> good;
    for (const auto &[endpoint, ticket] : answer.allowed) {
        advice.tickets[endpoint] = {ticket, advice.requestedAt + validity};
        good.insert(endpoint);
    }
    for (const std::string &endpoint : advice.requested) {
        if (good.count(endpoint) == 0) {
            advice.refused.insert(endpoint);
        }
    }
    advice.requested.clear();
}

std::string ticketFor(const StepAdvice &advice, const std::string &endpoint, BootTime now)
{
    return holds(advice, endpoint, now, startTime) ? advice.tickets.at(endpoint).first : std::string();
}

} // namespace knapweed::cell
