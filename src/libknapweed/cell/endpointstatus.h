// The state of an endpoint as its agent sees it, and the calls that the agent makes to it. The driver for these calls belongs to the platform adapter.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "jobs/job.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// An endpoint's report about itself.
struct EndpointStatus
{
    std::string id; ///< may be used again by a later incarnation
    std::int64_t incarnation = 0; ///< wall-clock time of its start in milliseconds
    std::int64_t sequence = 0; ///< increases with each report of an incarnation
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    Milliseconds remaining {0}; ///< while draining: minimum time until the endpoint leaves
};

struct ListedRun
{
    RunId run;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0; ///< serving tasks: tail latency in milliseconds; other tasks: thousandths of a core
};

struct ListedEnd
{
    std::int64_t number = 0; ///< increases by one with each end of an incarnation
    RunId run;
    RunOutcome outcome = RunOutcome::LeaseExpired;
    std::string checkpoint;
};

/// Renews the lease of all runs on an endpoint, lets the endpoint discard ends that are stored durably, and reads its lists.
struct RenewalRequest
{
    std::string endpoint;
    std::int64_t fence = 0;
    std::int64_t endsStored = 0; ///< the endpoint discards ends up to this number; 0: none
    std::optional<Milliseconds> leaseUntil; ///< on the endpoint's clock; without a value the lease stays unchanged
    Milliseconds wait {0}; ///< how long to wait for an end; at most two seconds
};

constexpr std::size_t maxListedEnds = 500; ///< an endpoint lists no more ends at a time; the others follow once these are stored durably

struct RenewalResult
{
    Milliseconds clock {0}; ///< the endpoint's clock
    std::int64_t incarnation = 0; ///< 0: not stated
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

struct StartRequest
{
    std::string endpoint;
    std::int64_t fence = 0;
    RunId run;
    std::string input;
    std::string checkpoint;
    std::string ticket;
    Milliseconds leaseUntil {0}; ///< on the endpoint's clock
};

struct StopRequest
{
    std::string endpoint;
    std::int64_t fence = 0;
    RunId run;
};

struct EndpointError
{
    enum class Kind {
        Refused, ///< the call has had no effect and will have none
        ConnectionFailed, ///< as Refused: nothing accepts connections at the endpoint's address
        DifferentIncarnation, ///< another incarnation answers at the endpoint's address
        Unanswered, ///< outcome unknown: the call may have been carried out, or may be later
        InsufficientCapacity,
        BadTicket,
        Evacuated, ///< as Refused: the agent did not make the call, because the failure domain is evacuated
        Fenced, ///< the endpoint has seen a higher fence
    };
    Kind kind = Kind::Unanswered;
    std::string detail;
    bool isTimeout = false; ///< the connection stayed open without an answer
};

using RenewalCallback = std::function<void(Result<RenewalResult, EndpointError>)>;
using OrderCallback = std::function<void(Result<Milliseconds, EndpointError>)>; ///< receives the endpoint's clock

/// Calls to an endpoint. Callbacks are invoked asynchronously, never from within the call.
struct EndpointDriver
{
    std::function<void(const RenewalRequest &, RenewalCallback)> renewLease;
    std::function<void(const StartRequest &, OrderCallback)> start;
    std::function<void(const StopRequest &, OrderCallback)> stop;
};

} // namespace knapweed::cell
