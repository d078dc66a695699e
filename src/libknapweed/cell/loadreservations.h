// Reservations on endpoints: for urgent units that are forecast, and for blocked units at the predicted ends of what runs there. Pure functions over the
// planner's table.
#pragma once

#include "cell/planner.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace knapweed::cell
{

/// Closes endpoints of @p service to later ranks until @p reserved endpoints are kept for the first two ranks. Endpoints that are free, or that are free of
/// later work soonest, are closed first. Half of them stay open to the second rank.
void reserveForUrgentWork(std::vector<PlannedEndpoint> &endpoints, const std::string &service, double reserved, Milliseconds stopTime);

/// Where and when a blocked unit can start if nothing else is started there.
struct FutureStart
{
    Milliseconds after {0};
    std::vector<std::size_t> places; ///< indexes into the table, one for each task
};

/// The earliest start on the endpoints with the indexes @p places, by the predicted ends of what runs there; nothing if some of it has no predicted end.
std::optional<FutureStart> earliestStart(const WaitingUnit &unit, const std::vector<PlannedEndpoint> &endpoints, const std::vector<std::size_t> &places);

/// Reserves the endpoints for the unit: others are started there only if they end before, or if there is room for both.
void reserveAt(const WaitingUnit &unit, const FutureStart &start, std::vector<PlannedEndpoint> &endpoints);

/// Whether the reservations on the endpoint leave room for one more task of the unit.
bool isOpenTo(const WaitingUnit &unit, const PlannedEndpoint &endpoint);

/// Accounts for a task of the unit that is started on the endpoint.
void useReservedCapacity(const WaitingUnit &unit, PlannedEndpoint &endpoint);

} // namespace knapweed::cell
