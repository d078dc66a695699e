// Decides where waiting units start and what is stopped for them. Pure: the tables in, starts and stops out.
#pragma once

#include "jobs/job.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// Who may displace whom: a unit may only have runs of a later rank stopped for it, and only the first two ranks may have any.
enum class Rank {
    Guaranteed, ///< first priority, within its account's guarantee
    First, ///< first priority, beyond the guarantee
    Second,
    Later,
};

struct WaitingUnit
{
    std::size_t number = 0; ///< the caller's own name for it
    Rank rank = Rank::Later;
    std::size_t tasks = 1;
    Resources needs; ///< of each task
    std::string service;
    std::string requiredLabel;
    std::string dataRack;
    bool prefersOneRack = false;
    bool mayLeaveRack = true; ///< it has waited long enough to run where it is slower
    bool mayLeaveTooSmallRacks = false; ///< as mayLeaveRack, if no rack could hold all of it even empty
    std::size_t tasksPerEndpoint = 0; ///< 0: no limit
    std::string stepName; ///< the same for all units of one step, where tasksPerEndpoint limits them
    std::map<std::string, std::size_t> stepTasks; ///< tasks of the step that take room already, by agent
    std::set<std::string> avoided; ///< agents to use only when no other has the label and the size
    bool mayUseSuspects = true; ///< whether it may run on endpoints whose last run failed; else it waits, or displaces later work elsewhere
    double preemptionBudget = 0; ///< core-seconds of later work that may be thrown away for a unit of rank First
    bool needsAdvice = false;
    std::set<std::string> advised; ///< agents that it may use, when needsAdvice
};

/// A running unit's part on one endpoint.
struct RunningPart
{
    std::size_t unit = 0; ///< the caller's own name for the unit; all its parts are stopped together
    Rank rank = Rank::Later;
    Resources needs;
    bool isStopping = false;
    double lostWork = 0; ///< core-seconds that a stop of the whole unit throws away
};

struct PlannedEndpoint
{
    std::string agent;
    std::string service;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    bool isSuspect = false; ///< its last run failed a short time ago: used when nothing else has room
    Resources freeCapacity; ///< what nothing takes; below zero where room is kept for a unit
    std::vector<RunningPart> parts;
};

struct PlannedStart
{
    std::size_t number = 0;
    std::vector<std::string> agents; ///< one for each task, in order
};

struct Plan
{
    std::vector<PlannedStart> starts;
    std::vector<std::size_t> stops; ///< units to stop, each once
    std::vector<std::size_t> blocked; ///< units without room now
};

/// Plans the units in their order. @p endpoints holds only those that may be given work.
Plan planUnits(const std::vector<WaitingUnit> &units, std::vector<PlannedEndpoint> endpoints);

} // namespace knapweed::cell
