// What the planner knows of the fleet: workers, racks, the gangs on them, and which accelerators are open. Parts come from reports; the parts of a
// placement are kept as planned until a report shows them or they expire.
#pragma once

#include "planning/acceleratorset.h"
#include "planning/planner.h"

#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweed::planning
{

using WorkerIndex = int;
using GangIndex = int;
using AccountIndex = int;

constexpr int noIndex = -1;

/// All accelerators of a gang.
int acceleratorsOf(const Part &description);

/// One part on a worker, reported or planned.
struct PlacedPart
{
    GangIndex gang = noIndex;
    AcceleratorSet accelerators = 0;
    int processors = 0;
    std::int64_t memoryMib = 0;
    bool reported = false;
};

/// Accelerators of a worker that the reservation map keeps for an account.
struct ReservedAccelerators
{
    int block = noIndex;
    AccountIndex account = noIndex;
    AcceleratorSet accelerators = 0;
};

/// Accelerators of a worker that are kept for a waiting job's start.
struct HeldAccelerators
{
    std::string job;
    AcceleratorSet accelerators = 0;
    MonotonicTime until; ///< another job that ends before then may use them
    bool isPendingReclaim = false; ///< what runs there is being preempted for the job; nobody else may use them
};

struct WorkerState
{
    bool present = false;
    bool usable = false; ///< available, not excluded and not quarantined
    bool isProbing = false; ///< takes one task of a job that can be run again, to see whether it still fails
    Worker report; ///< without its parts
    int rack = noIndex;
    std::vector<PlacedPart> parts;
    std::vector<ReservedAccelerators> reserved; ///< invariant: the sets are disjoint
    std::vector<HeldAccelerators> held;
    AcceleratorSet all = 0;
    AcceleratorSet free = 0; ///< neither in use nor planned; empty when not usable
    AcceleratorSet reservedSet = 0; ///< union of reserved
    int freeProcessors = 0;
    std::int64_t freeMemoryMib = 0;
    int freeSlots = 0;
};

/// A gang that runs or is planned.
struct Gang
{
    std::string job;
    Part description; ///< of the newest report, or of the placement
    AccountIndex account = noIndex;
    std::vector<WorkerIndex> workers; ///< one entry for each worker that holds a part; no doubles
    bool isUrgent = false;
    MonotonicTime placedAt;
    MonotonicTime plannedUntil; ///< parts that no report has shown are dropped then
    MonotonicTime preemptedAt; ///< the last time that it was asked to go; zero when never
};

/// A gang's part in the making.
struct PlannedPart
{
    WorkerIndex worker = noIndex;
    AcceleratorSet accelerators = 0;
};

class Inventory
{
public:
    /// Invariant: no accelerator is planned for two gangs.
    void updateWorker(MonotonicTime now, const Worker &worker);
    void removeWorker(const std::string &worker);

    /// Plans @p job on @p parts, all open. They stay taken until @p expiry unless a report shows them before.
    void plan(MonotonicTime now, MonotonicTime expiry, const WaitingJob &job, AccountIndex account, const std::vector<PlannedPart> &parts);
    /// Drops the parts of @p job that no report has shown.
    void removePlanned(const std::string &job);
    void expirePlanned(MonotonicTime now);

    void setUsable(WorkerIndex worker, bool isUsable);
    void setProbing(WorkerIndex worker, bool isProbing);
    std::size_t presentWorkers() const;
    void setReserved(WorkerIndex worker, std::vector<ReservedAccelerators> reserved);
    void hold(WorkerIndex worker, HeldAccelerators held);
    void releaseHeld(WorkerIndex worker, const std::string &job);
    void setHeldUntil(WorkerIndex worker, const std::string &job, MonotonicTime until);

    const std::vector<WorkerState> &workers() const;
    const std::vector<std::vector<WorkerIndex>> &racks() const;
    WorkerIndex find(const std::string &worker) const;
    const Gang *gang(const std::string &job) const;
    const Gang &gang(GangIndex index) const;
    Gang &gang(GangIndex index);
    GangIndex gangIndex(const std::string &job) const;

    /// Workers with exactly @p count open accelerators, reserved ones included.
    const std::set<WorkerIndex> &workersWithFree(int count) const;
    int freeInRack(int rack) const;

    /// Rises when accelerators, processors, memory or slots become open.
    std::uint64_t releaseCount() const;
    /// Rises when a worker joins, leaves or changes its size or usability.
    std::uint64_t membershipVersion() const;
    /// The last time that a worker joined.
    MonotonicTime lastJoinedAt() const;

    /// Accelerators that @p account runs on or has planned.
    int acceleratorsOf(AccountIndex account) const;
    /// Sets how reports' account names become indices.
    void setAccounts(std::map<std::string, AccountIndex> accounts);

    bool isReported(GangIndex gang) const;

private:
    void updateFreeCapacity(WorkerIndex worker);
    void removePart(WorkerIndex worker, std::size_t place);
    GangIndex obtainGang(const std::string &job);
    void removeWorkerFromGang(GangIndex gang, WorkerIndex worker);
    void joinWorker(MonotonicTime now, WorkerIndex worker, const Worker &report);
    bool replaceReportedParts(WorkerIndex worker, const std::vector<Part> &parts);
    void addReportedPart(WorkerIndex worker, const Part &part);
    int obtainRack(const Worker &report);
    void addUse(AccountIndex account, int accelerators);

    struct Expiry
    {
        MonotonicTime at;
        std::string job;
    };

    std::vector<WorkerState> workers_;
    std::unordered_map<std::string, WorkerIndex> workerIndex_;
    std::vector<std::vector<WorkerIndex>> racks_;
    std::unordered_map<std::string, int> rackIndex_;
    std::vector<int> rackFree_; ///< open accelerators of each rack
    std::vector<int> indexedFree_; ///< the count under which a worker stands in byOpen_
    std::vector<std::set<WorkerIndex>> byFree_ = std::vector<std::set<WorkerIndex>>(maximumAccelerators + 1);
    std::vector<Gang> gangs_;
    std::vector<GangIndex> freeGangs_;
    std::unordered_map<std::string, GangIndex> gangIndex_;
    std::deque<Expiry> expiries_; ///< in order of time
    std::map<std::string, AccountIndex> accounts_;
    std::vector<int> used_;
    std::size_t present_ = 0;
    std::uint64_t releaseCount_ = 0;
    std::uint64_t membershipVersion_ = 0;
    MonotonicTime lastJoinedAt_;
};

/// Accelerators of @p state that are claimed for jobs other than @p job.
AcceleratorSet reclaimedForOthers(const WorkerState &state, const std::string &job);

/// Those, and the ones that are kept for the start of other jobs and may not be used by a job that ends at @p end.
AcceleratorSet heldForOthers(const WorkerState &state, const std::string &job, MonotonicTime end);

/// Accelerators of @p state reserved for @p account, or for others.
AcceleratorSet reservedFor(const WorkerState &state, AccountIndex account);
AcceleratorSet reservedForOthers(const WorkerState &state, AccountIndex account);

} // namespace knapweed::planning
