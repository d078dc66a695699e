// Placement advice: which endpoints may run a step, and the tickets that starts there must carry. What is known about one step, and which endpoints to name in
// the next call about it. The calls themselves are in advisercalls.h.
#pragma once

#include "base/clock.h"
#include "cell/configuration.h"
#include "jobs/job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweed::cell
{

constexpr std::size_t maxAdviceEndpoints = 100; ///< per call, as stated by the platform

/// One incarnation of an endpoint. A ticket is valid for no other.
struct EndpointLife
{
    std::string id;
    std::int64_t incarnation = 0;

    bool operator==(const EndpointLife &) const = default;

    bool operator<(const EndpointLife &other) const
    {
        return std::tie(id, incarnation) < std::tie(other.id, other.incarnation);
    }
};

/// Endpoints that may run the step, with their tickets.
struct AdviceReply
{
    std::vector<std::pair<std::string, std::string>> allowed;
};

/// The platform does not state from when the validity of a ticket counts. It is somewhere between the call and its reply.
struct Ticket
{
    std::string text;
    BootTime requestedAt;
    BootTime receivedAt;
    Milliseconds validity {0}; ///< 0: not stated, so that it counts until it is refused
};

/// What is known about one step. Which endpoints may run it never changes, so that only tickets have to be renewed.
struct StepAdvice
{
    std::map<EndpointLife, Ticket> tickets;
    std::set<EndpointLife> allowed;
    std::set<EndpointLife> refused;
    BootTime calledAt; ///< when the last call about the step was sent or ended; the epoch if there was none
    BootTime usedAt; ///< when a unit of the step was last planned
    int callsSinceStart = 0; ///< calls that have ended since the step was last given an endpoint
};

/// How many of the endpoints named in calls were allowed. Older calls count less.
struct AllowedShare
{
    double allowed = 0;
    double named = 0;
};

void countNamed(AllowedShare &share, std::size_t allowed, std::size_t named);

/// Expected share for endpoints that have not been named yet, by the queue's other steps and by the step's own replies. Between 0 and 1, exclusive.
double expectedShare(const AllowedShare &queue, const StepAdvice &advice);

/// How a ticket's validity is counted.
enum class TicketClock {
    FromReply, ///< until tickets have been refused that were valid only by this count
    FromRequest, ///< certainly not too long
};

/// The ticket for @p endpoint; empty if none is valid long enough after @p now for a start to arrive with it.
std::string ticketFor(const StepAdvice &advice, const EndpointLife &endpoint, BootTime now, TicketClock clock);

/// The newest ticket for @p endpoint, whether it is still valid or not; empty if there is none.
std::string newestTicket(const StepAdvice &advice, const EndpointLife &endpoint);

/// Records the reply to a call about @p endpoints that was sent at @p requestedAt.
void recordAdvice(
    StepAdvice &advice, const std::vector<EndpointLife> &endpoints, const AdviceReply &reply, BootTime requestedAt, BootTime now, Milliseconds validity);

/// Drops a refused ticket. Returns whether it was within its validity only if that counts from the reply.
bool dropTicket(StepAdvice &advice, const EndpointLife &endpoint, BootTime now);

/// An endpoint on which the step could be placed now if it had a ticket there.
struct AdviceCandidate
{
    EndpointLife endpoint;
    std::size_t tasks = 0; ///< of the step that find capacity there
    int preference = 0; ///< lower is named first
    std::string rack {};
};

/// What a step needs the next call for.
struct AdviceWish
{
    std::size_t tasks = 0; ///< that wait for an endpoint
    AdvicePolicy policy;
    double slowness = 1; ///< of the adviser, relative to the times in the policy
};

/// Selects the endpoints to name: as many as the step probably needs, and of those that are not known no more than shorten the expected time until an allowed
/// one is found. Endpoints that are known to be allowed come first, and no more of them than can be used before their tickets expire.
/// @p candidates are in the order in which equally preferred ones are named.
std::vector<EndpointLife> endpointsToName(const StepAdvice &advice, std::vector<AdviceCandidate> candidates, const AdviceWish &wish, double share);

/// The time that the policy states for a call that names so many endpoints.
Milliseconds adviceTime(const AdvicePolicy &policy, std::size_t endpoints);

/// Whether a ticket may be used up after a call for one endpoint, if its validity counts from the request.
bool isUsableFromRequest(const AdvicePolicy &policy, double slowness);

} // namespace knapweed::cell
