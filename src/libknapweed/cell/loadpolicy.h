// Decisions under overload: how much capacity is kept for urgent work, how long a unit waits for its rack, and what it costs to stop a unit. Pure functions
// over plain tables. Each mechanism has its own field in LoadPolicyOptions; with all of them off, none of these functions changes a decision.
#pragma once

#include "base/clock.h"
#include "jobs/job.h"

#include <cstddef>
#include <optional>
#include <string>

namespace knapweed::cell
{

struct LoadPolicyOptions
{
    bool reservesForUrgentWork = false; ///< keeps capacity for the urgent units that are forecast
    bool reservesByPredictedEnds = false; ///< blocked units reserve what becomes free soonest; later ranks only backfill
    bool weighsVictims = false; ///< preemption by the work lost, the earlier stops of the victim, and the objectives of both units
    bool waitsForRack = false; ///< urgent gangs wait for their rack as long as this is faster than running off it
    bool placesBySpeed = false; ///< urgent gangs run where they meet their objective
    bool ordersByWorth = false; ///< units that can still meet their objective go first within a rank
    bool plansAllUnits = false; ///< all waiting units are planned, with one representative for the alike ones that find no capacity
    bool movesGangsOfLeavingEndpoints = false; ///< urgent gangs that would be lost with an endpoint that leaves are stopped at once and planned again
    Milliseconds stopTime {900}; ///< the longest time that stopping a task takes
    Milliseconds reclaimTime {3400}; ///< within which the tasks of a guaranteed unit have to be started

    bool operator==(const LoadPolicyOptions &) const = default;
};

/// Parses "off" or "worth", the latter with the names of single mechanisms to switch off ("worth,-reserve"). Returns nothing for any other text.
std::optional<LoadPolicyOptions> parseLoadPolicy(const std::string &text);

/// Whether any mechanism is on.
bool usesLoadPolicy(const LoadPolicyOptions &options);

/// Core-seconds that one second of the task costs, including its accelerators.
double coreEquivalents(const Resources &needs);

/// The part of an endpoint that a task uses, by the resource of which it needs the largest share; 0 if the endpoint has no capacity.
double dominantShare(const Resources &needs, const Resources &capacity);

/// How many tasks fit into a capacity that is not divided among endpoints.
std::size_t tasksWithin(const Resources &needs, const Resources &capacity);

/// The arrivals of urgent units at one service, as a moving average. All sizes are in endpoints.
struct ArrivalForecast
{
    double rate = 0; ///< endpoints per second, as of updatedAt
    double largest = 0; ///< the largest unit seen recently
    BootTime updatedAt;
    BootTime largestAt; ///< when the largest unit arrived
};

void observeArrival(ArrivalForecast &forecast, double size, BootTime now);

/// The endpoints to keep for urgent units out of @p endpoints, so that those of the time in which capacity could be freed by stopping find it free.
double reservedEndpoints(const ArrivalForecast &forecast, std::size_t endpoints, const LoadPolicyOptions &options, BootTime now);

/// How long a guaranteed gang waits for its rack: while that is faster than running off it, within the time allowed for a reclaim.
Milliseconds guaranteedRackWait(Milliseconds runTime, int offRackFactor, const LoadPolicyOptions &options);

/// How long a reservation whose use was predicted after @p predicted is kept. It is then released for as long again.
Milliseconds reservationPeriod(Milliseconds predicted);

/// What is known about a running unit when the cost of stopping it is computed.
struct VictimWork
{
    double lost = 0; ///< core-seconds that would have to be done again
    double whole = 0; ///< core-seconds of the whole unit
    Milliseconds remaining {0}; ///< predicted time until it ends if it is not stopped
    Milliseconds repeated {0}; ///< run time that is lost and has to be repeated after a stop
    Milliseconds untilDue {0}; ///< until it has to end for its job to meet the objective; negative if that is over
    int stops = 0; ///< how often it has been preempted before
};

/// The cost of stopping a unit, in core-seconds.
double victimCost(const VictimWork &victim, const LoadPolicyOptions &options);

constexpr int maxStops = 2; ///< a unit that has been preempted so often is stopped again only for guaranteed work without another choice

} // namespace knapweed::cell
