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

std::vector<std::string> takeQuestion(StepAdvice &advice, const std::set<std::string> &usable, BootTime now)
{
    std::vector<std::string> wanted;
    if (!advice.asked.empty() && now - advice.askedAt < answerTimeout) {
        return wanted;
    }
    for (const std::string &endpoint : usable) {
        if (advice.refused.count(endpoint) == 0 && !holds(advice, endpoint, now, renewAhead) && wanted.size() < adviceEndpoints) {
            wanted.push_back(endpoint);
        }
    }
    if (!wanted.empty()) {
        advice.asked = wanted;
        advice.askedAt = now;
    }
    return wanted;
}

void noteAnswer(StepAdvice &advice, const AdviceAnswer &answer, Milliseconds validity)
{
    std::set<std::string> good;
    for (const auto &[endpoint, ticket] : answer.good) {
        advice.tickets[endpoint] = {ticket, advice.askedAt + validity};
        good.insert(endpoint);
    }
    for (const std::string &endpoint : advice.asked) {
        if (good.count(endpoint) == 0) {
            advice.refused.insert(endpoint);
        }
    }
    advice.asked.clear();
}

std::string ticketFor(const StepAdvice &advice, const std::string &endpoint, BootTime now)
{
    return holds(advice, endpoint, now, startTime) ? advice.tickets.at(endpoint).first : std::string();
}

} // namespace knapweed::cell
