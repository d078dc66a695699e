// One decision round over the planner's state.
#pragma once

#include "planning/blocks.h"
#include "planning/claims.h"
#include "planning/estimates.h"
#include "planning/inventory.h"
#include "planning/jobqueue.h"
#include "planning/placement.h"
#include "planning/preemption.h"
#include "planning/reservationmap.h"
#include "planning/roundorder.h"
#include "planning/starts.h"
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
    std::vector<Block> blocks; ///< the current layout on the inventory, each account's together
    std::vector<std::pair<std::size_t, std::size_t>> accountBlocks; ///< the first of an account's blocks and the one after its last
    ClaimBook claims;
    StartBook starts;
    WorkerHealth health;
    int fleetAccelerators = 0; ///< of usable workers
    std::uint64_t laidMembership = 0; ///< Inventory::membership() for which layout and fleetAccelerators hold
    bool isLayoutStale = true;
};

/// Whether the worker may be given work: available, not excluded, not quarantined.
bool isUsable(const PlannerState &state, const Worker &worker);

AccountIndex accountIndex(const PlannerState &state, const std::string &account);

class Round
{
public:
    Round(PlannerState &state, MonotonicTime now);

    std::vector<Decision> run();

private:
    void reviewHealth();
    void layGround();
    std::vector<RankedClass> rank() const;
    double weightOf(const std::string &account) const;
    bool refuseWhatNeverFits(JobClass &jobClass);
    void tendClaims();
    bool tendClaim(Claim &claim);
    bool mayUse(const WaitingJob &job, const std::vector<PlannedPart> &parts) const;
    void tendStarts();
    void keepStart(const WaitingJob &job);
    StartContext startContext() const;
    void placeClass(JobClass &jobClass);
    void noteUnplaced(JobClass &jobClass, const WaitingJob &job);
    bool placeOrClaim(const WaitingJob &job);
    bool tryPlace(const WaitingJob &job, const Ground &ground);
    bool hasOpenRoom(const Block &block, const Shape &shape) const;
    bool placeInOwnBlock(const WaitingJob &job);
    bool claimOwnBlock(const WaitingJob &job);
    bool claimAnywhere(const WaitingJob &job);
    void makeClaim(const WaitingJob &job, const PreemptionPlan &plan);
    void askVictims(const Claim &claim);
    void place(const WaitingJob &job, const std::vector<PlannedPart> &parts);
    Search searchFor(const WaitingJob &job, const Ground &ground) const;
    bool isOwed(const WaitingJob &job) const;
    std::span<const Block> blocksOf(const std::string &account) const;

    PlannerState &state_;
    MonotonicTime now_;
    std::vector<Decision> decisions_;
    int newStarts_ = 0; ///< made in this round
};

} // namespace knapweed::planning
