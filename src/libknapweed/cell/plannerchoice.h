// The planner's working table, and the placement of one unit in it. Used by planner.cpp only.
#pragma once

#include "cell/planner.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweed::cell
{

/// Tasks of each step that were placed in this round, by agent.
using PlacedTasks = std::map<std::string, std::map<std::string, std::size_t>>;

/// Endpoints with one service and one label, as indexes into the table.
struct Eligible
{
    std::vector<std::size_t> all;
    std::map<std::string, std::vector<std::size_t>> byRack;
};

/// The properties that determine whether a unit finds free capacity.
using Shape = std::tuple<std::string, std::string, std::string, std::int64_t, std::int64_t, std::int64_t, bool, bool, bool, bool, bool, int, std::int64_t>;

struct Table
{
    std::vector<PlannedEndpoint> endpoints;
    PlacedTasks placed;
    bool hasReservations = false; ///< capacity may be reserved beyond freeCapacity
    std::map<std::pair<std::string, std::string>, Eligible> eligible; ///< by service and label
    std::map<Shape, std::size_t> blocked; ///< smallest number of tasks of each shape that found no free capacity, which only shrinks within a round
};

/// A possible placement of the tasks of a unit, and its cost.
struct Choice
{
    std::vector<std::size_t> places; ///< indexes into the table, one for each task
    std::set<std::size_t> victims;
    double cost = 0;
    bool isFree = true; ///< nothing has to end before
};

/// The endpoints with the service and the label that the unit requires.
const Eligible &eligibleFor(const WaitingUnit &unit, Table &table);

/// Whether the endpoints with the indexes @p places could hold the whole unit if they were empty; otherwise it is pointless to wait for them.
bool couldHold(const WaitingUnit &unit, const Table &table, const std::vector<std::size_t> &places);

/// The best placement within one rack if the unit prefers that, otherwise over all eligible endpoints. With @p mayPreempt it may stop later work.
std::optional<Choice> chooseAnywhere(const WaitingUnit &unit, Table &table, bool mayPreempt);

} // namespace knapweed::cell
