// What an agent knows of the endpoint beside it, and the calls that it makes there. The driver that carries them out belongs to the platform.
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

/// What an endpoint says of itself.
struct EndpointStatus
{
    std::string id; ///< may be used again by a later boot
    std::int64_t incarnation = 0; ///< wall milliseconds of its start
    std::int64_t sequence = 0; ///< rises with each report of one boot
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    Milliseconds remaining {0}; ///< at least this long until it leaves, while draining
};

struct ListedRun
{
    RunId run;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0; ///< milliseconds of tail latency of a task that serves; thousandths of a core of any other
};

struct ListedEnd
{
    std::int64_t number = 0; ///< rises by one within a boot
    RunId run;
    RunOutcome outcome = RunOutcome::LeaseExpired;
    std::string checkpoint;
};

/// Renews the lease of everything on an endpoint, forgets ends that are durable, and lists what is there.
struct RenewalRequest
{
    std::string endpoint;
    std::int64_t fence = 0;
    std::int64_t endsStored = 0; ///< ends up to this number are forgotten; 0: none
    std::optional<Milliseconds> leaseUntil; ///< on the endpoint's clock; none: as it is
    Milliseconds wait {0}; ///< for an end, at most two seconds
};

struct RenewalResult
{
    Milliseconds clock {0}; ///< the endpoint's own
    std::int64_t incarnation = 0; ///< 0: not said
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
        Refused, ///< it was not done and won't be
        ConnectionFailed, ///< as Refused: nothing accepts connections at the endpoint's address
        DifferentIncarnation, ///< another boot answers at that address
        Unanswered, ///< it may have been done or may be done later
        InsufficientCapacity,
        BadTicket,
        Fenced, ///< the endpoint has seen a higher fence
    };
    Kind kind = Kind::Unanswered;
    std::string detail;
};

using RenewalCallback = std::function<void(Result<RenewalResult, EndpointError>)>;
using OrderCallback = std::function<void(Result<Milliseconds, EndpointError>)>; ///< the endpoint's clock

/// The calls to the endpoint. Callbacks run later, never inside the call.
struct EndpointDriver
{
    std::function<void(const RenewalRequest &, RenewalCallback)> renewLease;
    std::function<void(const StartRequest &, OrderCallback)> start;
    std::function<void(const StopRequest &, OrderCallback)> stop;
};

} // namespace knapweed::cell
