// One planning round over the planner's state.
#pragma once

#include "planning/blocks.h"
#include "planning/estimates.h"
#include "planning/inventory.h"
#include "planning/jobqueue.h"
#include "planning/pendingreclaims.h"
#include "planning/placement.h"
#include "planning/preemption.h"
#include "planning/reservationmap.h"
#include "planning/roundorder.h"
#include "planning/startreservations.h"
#include "planning/workerhealth.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace knapweed::planning
{

struct PlannerState
{
    Policy policy;
    std::map<std::string, AccountIndex> accounts;
    Inventory inventory;
    JobQueue queue;
    RunEstimates estimates;
    ReservationLayout layout;
    std::vector<Block> blocks; ///< the current layout on the inventory's workers, grouped by account
    std::vector<std::pair<std::size_t, std::size_t>> accountBlocks; ///< by account: the index of its first block and of the one after its last
    PendingReclaims pendingReclaims;
    StartReservations startReservations;
    WorkerHealth health;
    int fleetAccelerators = 0; ///< of all usable workers
    std::uint64_t layoutMembership = 0; ///< Inventory::membershipVersion() for which layout and fleetAccelerators are valid
    bool isLayoutStale = true;
};

/// Whether the worker may be given work: it is available, not excluded and not quarantined.
bool isUsable(const PlannerState &state, const Worker &worker);

AccountIndex accountIndex(const PlannerState &state, const std::string &account);

class Round
{
public:
    Round(PlannerState &state, MonotonicTime now);

    std::vector<Decision> run();

private:
    void updateHealth();
    void updateLayout();
    std::vector<RankedClass> rank() const;
    double weightOf(const std::string &account) const;
    bool refuseInfeasibleClass(JobClass &jobClass);
    void updatePendingReclaims();
    bool updatePendingReclaim(PendingReclaim &reclaim);
    bool mayUse(const WaitingJob &job, const std::vector<PlannedPart> &parts) const;
    void updateStartReservations();
    void reserveStart(const WaitingJob &job);
    StartContext startContext() const;
    void placeClass(JobClass &jobClass);
    void recordUnplaced(JobClass &jobClass, const WaitingJob &job);
    bool placeOrReclaim(const WaitingJob &job);
    bool tryPlace(const WaitingJob &job, const SearchScope &scope);
    bool hasFreeCapacity(const Block &block, const Shape &shape) const;
    bool placeInOwnBlock(const WaitingJob &job);
    bool reclaimOwnBlock(const WaitingJob &job);
    bool reclaimAnywhere(const WaitingJob &job);
    void startReclaim(const WaitingJob &job, const PreemptionPlan &plan);
    void requestPreemptions(const PendingReclaim &reclaim);
    void place(const WaitingJob &job, const std::vector<PlannedPart> &parts);
    Search searchFor(const WaitingJob &job, const SearchScope &scope) const;
    bool isGuaranteed(const WaitingJob &job) const;
    std::span<const Block> blocksOf(const std::string &account) const;

    PlannerState &state_;
    MonotonicTime now_;
    std::vector<Decision> decisions_;
    int startSearches_ = 0; ///< done in this round
};

} // namespace knapweed::planning
