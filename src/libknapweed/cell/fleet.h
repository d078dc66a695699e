// What the scheduler knows of the endpoints: who they are, what they have, and everything that runs or may still start there.
#pragma once

#include "jobs/job.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::cell
{

constexpr Milliseconds leaseMargin {300}; ///< for messages under way when the end of a lease is computed

/// A run that takes room on an endpoint.
struct Allocation
{
    enum class State {
        Planned, ///< its start waits until its record is durable
        Ordered, ///< its start is on the way or its fate is unknown
        Listed, ///< the endpoint lists it
        Stopping, ///< told to stop; its room is free only when its end is listed
        Orphaned, ///< its boot is over; a copy of its start may come late until the next boot under the same id has reported its lists
    };
    State state = State::Ordered;
    Resources needs;
    BootTime orderedAt; ///< of the last order about it
    BootTime firstOrderedAt;
    std::int64_t startedSequence = 0; ///< reports up to this one may not hold it yet, though it has started
    bool isAdopted = false; ///< not started by this scheduler: its start isn't known
    int percent = 0;
    BootTime progressAt; ///< when percent last changed
    std::string checkpoint; ///< the newest that the endpoint named
};

/// One boot of an endpoint, as its agent reports it.
struct Endpoint
{
    std::string agent; ///< peer address of the agent beside it
    std::string id;
    std::int64_t incarnation = 0; ///< wall milliseconds of its start; a later boot has a higher one
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    BootTime leavesAt; ///< meaningful while draining
    bool isListed = false; ///< its lists were read under this scheduler's generation
    std::int64_t agentIncarnation = 0; ///< of the agent's process that reports
    std::int64_t sequence = 0; ///< of its newest report; earlier ones that arrive late say nothing of what runs
    BootTime lastReport;
    BootTime leaseExpiresAt; ///< nothing that runs there outlives this without a new grant
    std::map<RunId, Allocation> runs;
    std::int64_t endsApplied = 0; ///< ends up to this number have been taken into the jobs
    std::int64_t endsStored = 0; ///< and these are durable; never above endsApplied
    std::deque<std::pair<std::int64_t, std::uint64_t>> endsPending; ///< number of an end and the write that makes it durable, both rising
    int failuresInRow = 0; ///< runs that failed since one succeeded, but for those of jobs that fail everywhere
    BootTime lastFailure; ///< meaningful while failuresInRow isn't 0
    BootTime avoidUntil; ///< no starts before then, because it fails or stalls what it runs
};

/// Room that nothing takes or may still take.
Resources freeCapacity(const Endpoint &endpoint);

} // namespace knapweed::cell
