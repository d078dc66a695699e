// The planner's view of the fleet: workers, racks, the gangs on them and their free accelerators. Running parts come from the agents' reports. The parts of a
// new placement are kept as planned until a report shows them or they expire.
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

/// The number of accelerators of the whole gang.
int acceleratorsOf(const Part &description);

/// A part of a gang on a worker, either reported by the agent or planned.
struct PlacedPart
{
    GangIndex gang = noIndex;
    AcceleratorSet accelerators = 0;
    int processors = 0;
    std::int64_t memoryMib = 0;
    bool reported = false;
};

/// Accelerators of a worker that the reservation map reserves for a block of an account.
struct ReservedAccelerators
{
    int block = noIndex;
    AccountIndex account = noIndex;
    AcceleratorSet accelerators = 0;
};

/// Accelerators of a worker that are held for the start of a waiting job.
struct HeldAccelerators
{
    std::string job;
    AcceleratorSet accelerators = 0;
    MonotonicTime until; ///< other jobs that are expected to end by then may use them
    bool isPendingReclaim = false; ///< the gangs there are being preempted for the job, and no other job may use the accelerators
};

struct WorkerState
{
    bool present = false;
    bool usable = false; ///< available, not excluded and not quarantined
    bool isProbing = false; ///< may run one repeatable single-task job at a time, to test whether its tasks still fail
    Worker report; ///< the newest one, without its parts
    int rack = noIndex;
    std::vector<PlacedPart> parts;
    std::vector<ReservedAccelerators> reserved; ///< invariant: the sets are disjoint
    std::vector<HeldAccelerators> held;
    AcceleratorSet all = 0;
    AcceleratorSet free = 0; ///< neither in use nor planned; empty if the worker is not usable
    AcceleratorSet reservedSet = 0; ///< union of reserved
    int freeProcessors = 0;
    std::int64_t freeMemoryMib = 0;
    int freeSlots = 0;
};

/// A gang that is running or planned.
struct Gang
{
    std::string job;
    Part description; ///< from the newest report, or from the placement if there is none yet
    AccountIndex account = noIndex;
    std::vector<WorkerIndex> workers; ///< those with a part of the gang, without duplicates
    bool isUrgent = false;
    MonotonicTime placedAt;
    MonotonicTime plannedUntil; ///< when parts that no report has shown are removed
    MonotonicTime preemptedAt; ///< when the gang was first asked to stop; zero if it was not
};

/// Accelerators of a worker that are chosen for a task of a gang or belong to a block.
struct PlannedPart
{
    WorkerIndex worker = noIndex;
    AcceleratorSet accelerators = 0;
};

class Inventory
{
public:
    /// Applies the worker's report. Invariant: no accelerator is planned for two gangs.
    void updateWorker(MonotonicTime now, const Worker &worker);
    void removeWorker(const std::string &worker);

    /// Plans @p job on @p parts, whose accelerators must be free. The parts are removed at @p expiry unless a report has shown them before.
    void plan(MonotonicTime now, MonotonicTime expiry, const WaitingJob &job, AccountIndex account, const std::vector<PlannedPart> &parts);
    /// Removes the parts of @p job that no report has shown.
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

    /// Workers with exactly @p count free accelerators, including reserved ones.
    const std::set<WorkerIndex> &workersWithFree(int count) const;
    int freeInRack(int rack) const;

    /// Increases when accelerators, processors, memory or slots become free.
    std::uint64_t releaseCount() const;
    /// Increases when a worker joins or leaves, or when its capacity, usability or probing state changes.
    std::uint64_t membershipVersion() const;
    /// When a worker last joined.
    MonotonicTime lastJoinedAt() const;

    /// The number of accelerators that gangs of @p account use or are planned on.
    int acceleratorsOf(AccountIndex account) const;
    /// Sets the index of each account name that reports use, and recomputes what each account uses.
    void setAccounts(std::map<std::string, AccountIndex> accounts);

    bool isReported(GangIndex gang) const;

private:
    void updateFreeCapacity(WorkerIndex worker);
    void removePart(WorkerIndex worker, std::size_t partIndex);
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
    std::vector<int> rackFree_; ///< free accelerators of each rack
    std::vector<int> indexedFree_; ///< by worker: the number of free accelerators under which byFree_ lists it
    std::vector<std::set<WorkerIndex>> byFree_ = std::vector<std::set<WorkerIndex>>(maximumAccelerators + 1);
    std::vector<Gang> gangs_;
    std::vector<GangIndex> freeGangs_;
    std::unordered_map<std::string, GangIndex> gangIndex_;
    std::deque<Expiry> expiries_; ///< ordered by time
    std::map<std::string, AccountIndex> accounts_;
    std::vector<int> used_;
    std::size_t present_ = 0;
    std::uint64_t releaseCount_ = 0;
    std::uint64_t membershipVersion_ = 0;
    MonotonicTime lastJoinedAt_;
};

/// Accelerators of @p state that pending reclaims hold for jobs other than @p job.
AcceleratorSet reclaimedForOthers(const WorkerState &state, const std::string &job);

/// The same, and also those that start reservations hold for other jobs from a time before @p end, when @p job is expected to end.
AcceleratorSet heldForOthers(const WorkerState &state, const std::string &job, MonotonicTime end);

/// Accelerators of @p state that are reserved for @p account, or for other accounts.
AcceleratorSet reservedFor(const WorkerState &state, AccountIndex account);
AcceleratorSet reservedForOthers(const WorkerState &state, AccountIndex account);

} // namespace knapweed::planning
