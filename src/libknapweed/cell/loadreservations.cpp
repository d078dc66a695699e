// A reservation belongs to one planning round; the next round derives it anew from the predicted ends.

#include "cell/loadreservations.h"

#include "cell/loadpolicy.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <string>

namespace knapweed::cell
{

namespace
{

constexpr double secondRankShare = 0.5; ///< of the reserved endpoints, closed to the second rank as well
constexpr double speedSeconds = 2; ///< an endpoint that is faster by a factor of e is kept although it becomes free so much later
constexpr double rackSeconds = 0.5; ///< the same for an endpoint of which the whole rack is free: most urgent gangs run faster in one rack

/// How the reservation sees an endpoint.
struct Candidate
{
    std::size_t place = 0;
    double free = 0; ///< share of it that is free, or is free by itself within the time of a stop
    double drained = 0; ///< seconds until no later work runs there
    double score = 0; ///< lower is closed first
};

std::optional<Candidate> candidateFor(const std::vector<PlannedEndpoint> &endpoints, std::size_t place, Milliseconds stopTime)
{
    const PlannedEndpoint &endpoint = endpoints[place];
    Candidate candidate;
    candidate.place = place;
    Resources used = endpoint.capacity;
    used -= endpoint.freeCapacity;
    for (const RunningPart &part : endpoint.parts) {
        if (part.isStopping || part.remaining <= stopTime) {
            used -= part.needs;
            continue;
        }
        if (part.rank < Rank::Second) {
            continue;
        }
        if (part.remaining == Milliseconds::max()) {
            return std::nullopt; // it never becomes free by itself
        }
        candidate.drained = std::max(candidate.drained, std::chrono::duration<double>(part.remaining).count());
    }
    candidate.free = std::clamp(1 - dominantShare(used, endpoint.capacity), 0.0, 1.0);
    return candidate;
}

/// When the endpoint has room for one more task of the unit, and how much of it there is later.
std::vector<Milliseconds> startTimes(const WaitingUnit &unit, const PlannedEndpoint &endpoint, std::size_t limit)
{
    std::vector<Milliseconds> times;
    std::vector<const RunningPart *> ends;
    for (const RunningPart &part : endpoint.parts) {
        if (part.remaining != Milliseconds::max()) {
            ends.push_back(&part);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const RunningPart *left, const RunningPart *right) {
        return left->remaining < right->remaining;
    });
    Resources free = endpoint.freeCapacity;
    Milliseconds time {0};
    if (endpoint.reservedAfter) {
        // Behind the reservation, only what it leaves is certain.
        free = endpoint.spareThen;
        time = *endpoint.reservedAfter;
        ends.clear();
    }
    std::size_t next = 0;
    while (times.size() < limit) {
        if (fits(unit.needs, free)) {
            free -= unit.needs;
            times.push_back(time);
        } else if (next < ends.size()) {
            free += ends[next]->needs;
            time = std::max(time, ends[next]->remaining);
            ++next;
        } else {
            break;
        }
    }
    return times;
}

} // namespace

void reserveForUrgentWork(std::vector<PlannedEndpoint> &endpoints, const std::string &service, double reserved, Milliseconds stopTime)
{
    std::vector<Candidate> candidates;
    std::map<std::string, std::pair<double, double>> racks; // free share and number of endpoints
    for (std::size_t place = 0; place < endpoints.size(); ++place) {
        if (endpoints[place].service != service || endpoints[place].isSuspect) {
            continue;
        }
        const std::optional<Candidate> candidate = candidateFor(endpoints, place, stopTime);
        auto &[free, number] = racks[endpoints[place].rack];
        number += 1;
        if (candidate) {
            free += candidate->free;
            candidates.push_back(*candidate);
        }
    }
    for (Candidate &candidate : candidates) {
        const PlannedEndpoint &endpoint = endpoints[candidate.place];
        const auto &[free, number] = racks[endpoint.rack];
        candidate.score = candidate.drained - speedSeconds * std::log(endpoint.speed) - rackSeconds * free / number;
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.score != right.score ? left.score < right.score : left.place < right.place;
    });
    double kept = 0;
    for (const Candidate &candidate : candidates) {
        if (kept >= reserved) {
            break;
        }
        endpoints[candidate.place].openTo = kept < reserved * secondRankShare ? Rank::First : Rank::Second;
        // One that is still to be freed of later work counts in full, so that no more endpoints are closed than needed in the end.
        kept += candidate.drained > 0 ? 1 : candidate.free;
    }
}

std::optional<FutureStart> earliestStart(const WaitingUnit &unit, const std::vector<PlannedEndpoint> &endpoints, const std::vector<std::size_t> &places)
{
    std::vector<std::pair<Milliseconds, std::size_t>> slots;
    for (const std::size_t place : places) {
        const PlannedEndpoint &endpoint = endpoints[place];
        const bool isClosed = unit.rank > endpoint.openTo && !unit.isOverdue && !unit.mayUseReserved;
        if (isClosed || !fits(unit.needs, endpoint.capacity) || (unit.needsAdvice && unit.advised.count(endpoint.agent) == 0)) {
            continue;
        }
        std::size_t limit = unit.tasks;
        if (unit.tasksPerEndpoint > 0) {
            const auto taken = unit.stepTasks.find(endpoint.agent);
            const std::size_t used = taken == unit.stepTasks.end() ? 0 : taken->second;
            limit = std::min(limit, unit.tasksPerEndpoint - std::min(used, unit.tasksPerEndpoint));
        }
        for (const Milliseconds time : startTimes(unit, endpoint, limit)) {
            slots.emplace_back(time, place);
        }
    }
    if (slots.size() < unit.tasks) {
        return std::nullopt;
    }
    std::stable_sort(slots.begin(), slots.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    FutureStart start;
    start.after = slots[unit.tasks - 1].first;
    for (std::size_t task = 0; task < unit.tasks; ++task) {
        start.places.push_back(slots[task].second);
    }
    return start;
}

void reserveAt(const WaitingUnit &unit, const FutureStart &start, std::vector<PlannedEndpoint> &endpoints)
{
    for (const std::size_t place : start.places) {
        PlannedEndpoint &endpoint = endpoints[place];
        if (!endpoint.reservedAfter) {
            endpoint.spareThen = endpoint.freeCapacity;
            for (const RunningPart &part : endpoint.parts) {
                if (part.remaining <= start.after) {
                    endpoint.spareThen += part.needs;
                }
            }
            endpoint.reservedAfter = start.after;
        }
        endpoint.reservedAfter = std::min(*endpoint.reservedAfter, start.after);
        endpoint.spareThen -= unit.needs;
    }
}

bool isOpenTo(const WaitingUnit &unit, const PlannedEndpoint &endpoint)
{
    if (unit.mayUseReserved) {
        return true;
    }
    if (unit.rank > endpoint.openTo && !unit.isOverdue) {
        return false;
    }
    return !endpoint.reservedAfter || unit.rank <= Rank::First || unit.runTimeOn(endpoint.speed) <= *endpoint.reservedAfter
        || fits(unit.needs, endpoint.spareThen);
}

void useReservedCapacity(const WaitingUnit &unit, PlannedEndpoint &endpoint)
{
    if (endpoint.reservedAfter && unit.runTimeOn(endpoint.speed) > *endpoint.reservedAfter) {
        endpoint.spareThen -= unit.needs;
    }
}

} // namespace knapweed::cell
