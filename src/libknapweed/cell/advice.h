// Placement advice: which endpoints may run a step, and the tickets that starts there must carry. Asked ahead while units of the step wait.
#pragma once

#include "base/clock.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweed::cell
{

/// Job, occurrence and step.
using StepName = std::tuple<std::string, int, int>;

struct AdviceRequest
{
    StepName step;
    std::vector<std::string> endpoints; ///< ids, at most maxAdviceEndpoints
};

/// Endpoints that may run the step, with their tickets.
struct AdviceReply
{
    std::vector<std::pair<std::string, std::string>> allowed;
};

constexpr std::size_t maxAdviceEndpoints = 100; ///< that one question may name

/// What is known for one step.
struct StepAdvice
{
    std::map<std::string, std::pair<std::string, BootTime>> tickets; ///< by endpoint: the ticket and how long it surely holds
    std::set<std::string> refused; ///< endpoints that may not run the step; that doesn't change
    std::vector<std::string> requested; ///< of the question under way; empty: none
    BootTime requestedAt;
};

/// The endpoints to ask about now: those of @p usable without a ticket that holds for a while yet, unless a question is under way. Notes the question.
std::vector<std::string> beginAdviceRequest(StepAdvice &advice, const std::set<std::string> &usable, BootTime now);

/// Takes an answer that was asked for at advice.askedAt; tickets hold for @p validity from then at least.
void recordAdviceReply(StepAdvice &advice, const AdviceReply &answer, Milliseconds validity);

/// The ticket for @p endpoint; empty when there is none that still holds.
std::string ticketFor(const StepAdvice &advice, const std::string &endpoint, BootTime now);

} // namespace knapweed::cell
