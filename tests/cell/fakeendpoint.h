// A fake endpoint on a simulated clock, with runs, leases, fences, gangs and lists as the platform documents them, and with checks of the invariants.
#pragma once

#include "cell/endpointstatus.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweed::cell
{

/// Job, occurrence, step and run of a gang.
using GangName = std::tuple<std::string, int, int, std::int64_t>;

constexpr const char *crashingInput = "crash"; ///< input of jobs whose tasks crash each endpoint that starts them

/// State that all endpoints of a simulation share, for gangs and for the checks.
struct SharedState
{
    std::map<TaskId, int> runCounts; ///< current number of runs of each task
    std::set<TaskId> acknowledged; ///< tasks whose successful end was acknowledged to an endpoint
    std::map<GangName, std::set<int>> runningMembers; ///< members of each gang that are running
    std::set<GangName> completedGangs; ///< gangs of which at least one member has ended with the outcome done
    std::map<std::string, JobSpec> jobs; ///< submitted jobs
    std::map<TaskId, int> crashes; ///< of endpoints, by the task that caused them
    std::map<TaskId, std::set<std::int64_t>>
        crashedRuns; ///< runs that were at work, or had just ended unread, when their endpoint crashed or restarted; by task
    std::map<TaskId, int> startsAfterCrashes; ///< of tasks that have caused three
    std::function<Milliseconds()> gangEndDelay; ///< from the end of a member of a gang to the end of another one; unset: none
    std::vector<std::string> violations; ///< violations of the invariants
};

class FakeEndpoint
{
public:
    FakeEndpoint(SharedState &shared, std::string id, Resources capacity, double clockRate);

    /// Advances work, leases and ends to @p now.
    void advance(BootTime now);

    Result<RenewalResult, EndpointError> renewLease(const RenewalRequest &request);
    Result<Milliseconds, EndpointError> start(const StartRequest &request);
    Result<Milliseconds, EndpointError> stop(const StopRequest &request);

    /// The capacity shrinks or grows while the endpoint runs. A start may use what it had before until the news can have spread.
    void resize(Resources capacity);

    /// Starts a new incarnation: all runs, ends and fences are lost.
    void restart(std::int64_t incarnation);
    /// The same under another id.
    void restart(std::int64_t incarnation, const std::string &id);

    /// Whether a task has crashed the endpoint; it answers nothing until it is restarted.
    bool hasCrashed() const;

    EndpointStatus status();
    /// The status of the newest report.
    const EndpointStatus &lastStatus() const;
    std::size_t runs() const;

private:
    struct Running
    {
        BootTime startedAt;
        double workMs = 0; ///< work done so far
        double neededMs = 0;
        bool isStopping = false;
        BootTime stopsAt;
        std::optional<BootTime> breaksAt; ///< another member of its gang has ended
    };

    Milliseconds clock() const;
    void extendLease(Milliseconds until);
    bool isBroken(Running &state, BootTime now) const;
    void finish(const RunId &run, RunOutcome outcome);
    void crash();
    GangName gangOf(const RunId &run) const;
    bool isGang(const RunId &run) const;
    void checkCapacity();

    SharedState &shared_;
    EndpointStatus status_;
    double clockRate_;
    BootTime startedAt_;
    BootTime now_;
    Milliseconds leaseUntil_ {0}; ///< on the endpoint's clock
    std::optional<BootTime> crashesAt_; ///< a task that it has started crashes it then
    bool hasCrashed_ = false;
    Resources earlierCapacity_; ///< before the last resize
    BootTime resizedAt_;
    std::int64_t fence_ = 0;
    std::map<RunId, Running> running_;
    std::map<RunId, BootTime> endedAt_; ///< of the runs that this incarnation has ended
    std::map<std::int64_t, ListedEnd> ended_;
    std::int64_t lastEnd_ = 0;
    std::int64_t expiredUpTo_ = 0; ///< ends up to this number were not acknowledged before the lease expired; the platform never counts them as acknowledged
    std::map<TaskId, std::int64_t> highestFinished_; ///< the highest run of each task that was stopped or has ended
};

} // namespace knapweed::cell
