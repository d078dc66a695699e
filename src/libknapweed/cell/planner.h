// Decides where waiting units are started and which running units are preempted for them. Depends on nothing but the tables passed in.
#pragma once

#include "cell/loadpolicy.h"
#include "jobs/job.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// Order of preemption: a unit may preempt only runs of a later rank, and only units of the first two ranks may preempt at all.
enum class Rank {
    Guaranteed, ///< first priority, within the guarantee of its client account
    First, ///< first priority, beyond the guarantee
    Second,
    Later,
};

struct WaitingUnit
{
    std::size_t number = 0; ///< identifies the unit to the caller
    Rank rank = Rank::Later;
    std::size_t tasks = 1;
    Resources needs; ///< per task
    std::string service;
    std::string requiredLabel;
    std::string dataRack;
    bool prefersOneRack = false;
    bool mayLeaveRack = true; ///< the unit has waited long enough to be placed off its rack, where it runs slower
    bool mayLeaveTooSmallRacks = false; ///< like mayLeaveRack, but only if no rack could hold the whole unit even when empty
    std::size_t tasksPerEndpoint = 0; ///< 0: no limit
    std::string stepName; ///< the same for all units of one step; set if tasksPerEndpoint limits them
    std::map<std::string, std::size_t> stepTasks; ///< tasks of the step that are already placed, by agent
    std::set<std::string> avoided; ///< agents to use only if no other endpoint has the label and enough capacity
    bool mayUseSuspects = true; ///< the unit may run on endpoints whose last run failed; otherwise it waits or preempts later work elsewhere
    /// Endpoints have crashed under the unit: it is started only where no other run is still starting, and none is started beside it while it is. If the
    /// endpoint crashes then, the cause is known.
    bool startsAlone = false;
    /// Core-seconds of later work that may be lost for a unit of rank First, or for one of the first two ranks that could start at once on slower endpoints.
    double preemptionBudget = 0;
    bool mayPreempt = true; ///< stopping other work would still let it end in time
    Milliseconds runTime {0}; ///< on an endpoint of the usual speed
    double minSpeed = 0; ///< of the slowest endpoint on which it meets its objective if it starts now; 0: none does, or it does not matter
    bool needsSpeed = false; ///< it is not placed on slower endpoints than that
    double minSpeedAfterStop = 0; ///< the same if it starts after other work has been stopped for it
    bool mayUseReserved = false; ///< reservations do not apply, because the fleet is mostly idle and the unit has waited for a while
    bool mayReserve = true; ///< its earlier reservation has not been in vain
    bool isOverdue = false; ///< it has waited so long that the capacity kept for urgent work is open to it
    bool needsAdvice = false;
    std::set<std::string> advised; ///< agents that the unit may use, if needsAdvice is set

    /// The run time on an endpoint of the speed @p speed.
    Milliseconds runTimeOn(double speed) const
    {
        return Milliseconds(static_cast<std::int64_t>(double(runTime.count()) / speed));
    }
};

/// The part of a running unit on one endpoint.
struct RunningPart
{
    std::size_t unit = 0; ///< identifies the unit to the caller; all its parts are stopped together
    Rank rank = Rank::Later;
    Resources needs;
    bool isStopping = false;
    bool isLasting = false; ///< it does not end by itself
    double lostWork = 0; ///< core-seconds lost if the whole unit is stopped, or the cost of that by victimCost()
    int stops = 0; ///< how often the unit has been preempted before
    Milliseconds remaining = Milliseconds::max(); ///< predicted time until the unit ends; the maximum if it does not end by itself
};

struct PlannedEndpoint
{
    std::string agent;
    std::string service;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    double speed = 1; ///< of its runs, relative to the usual speed; higher is faster
    bool hasStartingRuns = false; ///< it has not shown yet that it survived the start of all its runs
    bool isReserved = false; ///< one of these is of a unit that starts alone
    bool isSuspect = false; ///< its last run failed recently, so it is used only if no other endpoint has enough free capacity
    Resources freeCapacity; ///< negative where capacity that is still in use is reserved for a unit
    std::vector<RunningPart> parts;
    Rank openTo = Rank::Later; ///< units of later ranks are not started on it
    std::optional<Milliseconds> reservedAfter; ///< from now, when a blocked unit is to be started on it
    Resources spareThen; ///< meaningful with reservedAfter: free at that time beside that unit
};

struct PlannedStart
{
    std::size_t number = 0;
    std::vector<std::string> agents; ///< one per task, in order
};

struct Plan
{
    std::vector<PlannedStart> starts;
    std::vector<std::size_t> stops; ///< units to stop, without duplicates
    std::vector<std::size_t> preempting; ///< blocked units whose capacity is being freed by stopping others
    std::map<std::size_t, Milliseconds> reservations; ///< by blocked unit with reserved endpoints: predicted time until its start
    std::map<std::size_t, double> costs; ///< of the units to stop
    std::map<std::size_t, std::size_t> preemptors; ///< by unit to stop: the number of the waiting unit that it gives way to
    std::vector<std::size_t> blocked; ///< units that found no free capacity
};

/// How a planning round treats overload.
struct PlannerPolicy
{
    LoadPolicyOptions options;
    std::map<std::string, double> reserved; ///< endpoints kept for urgent work, by service
};

/// Plans the units in the given order; with a policy, all units of the first two ranks come first. @p endpoints contains only endpoints that can be given work.
Plan planUnits(const std::vector<WaitingUnit> &units, std::vector<PlannedEndpoint> endpoints, const PlannerPolicy &policy = {});

} // namespace knapweed::cell
