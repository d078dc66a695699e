// An endpoint on a driven clock: runs, leases, fences, gangs and lists as the platform describes them, and the checks of what may never happen there.
#pragma once

#include "cell/endpointstatus.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweed::cell
{

/// Job, occurrence, step and run of a gang.
using GangName = std::tuple<std::string, int, int, std::int64_t>;

/// What all endpoints of a world share: which runs are where, for gangs and for the checks.
struct SharedState
{
    std::map<TaskId, int> runCounts; ///< runs of a task at this moment
    std::set<TaskId> acknowledged; ///< tasks whose successful end was acknowledged to an endpoint
    std::map<GangName, std::set<int>> runningMembers; ///< members that run
    std::set<GangName> completedGangs; ///< gangs of which a member has ended as done
    std::map<std::string, JobSpec> jobs; ///< what was submitted
    std::vector<std::string> violations; ///< what should never have happened
};

class FakeEndpoint
{
public:
    FakeEndpoint(SharedState &shared, std::string id, Resources capacity, double clockRate);

    /// Moves on to @p now: work, leases, ends.
    void advance(BootTime now);

    Result<RenewalResult, EndpointError> renewLease(const RenewalRequest &request);
    Result<Milliseconds, EndpointError> start(const StartRequest &request);
    Result<Milliseconds, EndpointError> stop(const StopRequest &request);

    /// Everything on it is gone, and it begins anew.
    void restart(std::int64_t incarnation);

    EndpointStatus status();
    std::size_t runs() const;

private:
    struct Running
    {
        BootTime startedAt;
        double workMs = 0; ///< done so far
        double neededMs = 0;
        bool isStopping = false;
        BootTime stopsAt;
    };

    Milliseconds clock() const;
    void extendLease(Milliseconds until);
    void finish(const RunId &run, RunOutcome outcome);
    GangName gangOf(const RunId &run) const;
    bool isGang(const RunId &run) const;
    void checkCapacity();

    SharedState &shared_;
    EndpointStatus status_;
    double clockRate_;
    BootTime startedAt_;
    BootTime now_;
    Milliseconds leaseUntil_ {0}; ///< on its own clock
    std::int64_t fence_ = 0;
    std::map<RunId, Running> running_;
    std::map<std::int64_t, ListedEnd> ended_;
    std::int64_t lastEnd_ = 0;
    std::int64_t expiredUpTo_ = 0; ///< ends up to this one were not acknowledged before the lease lapsed: by the platform's rules that never counts as noted
    std::map<TaskId, std::int64_t> highestFinished_; ///< the highest run that was stopped or has ended
};

} // namespace knapweed::cell
