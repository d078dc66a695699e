// Placement advice: which endpoints may run a step, and the tickets that starts there must carry. Advice is requested in advance while units of the step wait.
#pragma once

#include "base/clock.h"
#include "jobs/job.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::cell
{

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

constexpr std::size_t maxAdviceEndpoints = 100; ///< per request

/// The advice received for one step.
struct StepAdvice
{
    std::map<std::string, std::pair<std::string, BootTime>> tickets; ///< by endpoint: the ticket and the time until which it is certainly valid
    std::set<std::string> refused; ///< endpoints that may not run the step; this never changes
    std::vector<std::string> requested; ///< endpoints of the pending request; empty: no request is pending
    BootTime requestedAt;
};

/// Returns the endpoints to request advice for: those of @p usable whose ticket is missing or expires soon. Returns none while a request is pending.
/// Records the request in @p advice.
std::vector<std::string> beginAdviceRequest(StepAdvice &advice, const std::set<std::string> &usable, BootTime now);

/// Records the reply to the request that was sent at advice.requestedAt. Its tickets are valid for at least @p validity from that time.
void recordAdviceReply(StepAdvice &advice, const AdviceReply &reply, Milliseconds validity);

/// The ticket for @p endpoint; empty when there is no valid one.
std::string ticketFor(const StepAdvice &advice, const std::string &endpoint, BootTime now);

} // namespace knapweed::cell
