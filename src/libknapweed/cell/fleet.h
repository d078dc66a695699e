// The scheduler's view of the endpoints: their identity and capacity, and all runs that are active or may still be started there.
#pragma once

#include "cell/runpace.h"
#include "cell/runprediction.h"
#include "jobs/job.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::cell
{

constexpr Milliseconds reportTimeout {1500}; ///< three report intervals; the runs of an endpoint without a report for longer are not checked
constexpr Milliseconds leaseMargin {300}; ///< allowance for messages in transit when the expiry of a lease is computed

/// A run that uses capacity of an endpoint, from planning until its end is listed.
struct Allocation
{
    enum class State {
        Planned, ///< its start order is sent once its record is durable
        Ordered, ///< its start order is in transit, or the outcome of the order is unknown
        Listed, ///< the endpoint lists it
        Stopping, ///< a stop was ordered; the capacity is released only when its end is listed
        /// The incarnation of the endpoint has ended. A delayed copy of the start order may still arrive until the next incarnation with the same id has
        /// reported its lists.
        Orphaned,
    };
    State state = State::Ordered;
    Resources needs;
    BootTime orderedAt; ///< when the newest order for it was sent
    BootTime firstOrderedAt;
    std::int64_t startedSequence = 0; ///< reports up to this sequence number may lack the run although it has started
    bool isAdopted = false; ///< not started by this scheduler, so that its start time is unknown
    bool isWhole = false; ///< started without a checkpoint, so that its run time is that of the whole task
    int percent = 0;
    BootTime progressAt; ///< when percent last changed, or a lack of progress began to count
    RunPace pace;
    BootTime checkpointAt; ///< when checkpoint last changed; the epoch if it has not
    std::string checkpoint; ///< the newest one reported by the endpoint
};

/// One incarnation of an endpoint, as reported by its agent.
struct Endpoint
{
    std::string agent; ///< peer address of the endpoint's agent
    std::string id;
    std::int64_t incarnation = 0; ///< wall-clock time of its start in milliseconds; higher for each later incarnation
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    BootTime leavesAt; ///< meaningful while draining
    bool isListed = false; ///< its lists have been read under this scheduler's generation, and it has refused no start since then
    std::int64_t agentIncarnation = 0; ///< incarnation of the agent process that reports
    std::int64_t sequence = 0; ///< sequence number of its newest report; older reports that arrive late are ignored
    BootTime lastReport;
    BootTime lastReportSentAt; ///< on the agent's clock
    BootTime leaseExpiresAt; ///< no run on the endpoint continues beyond this time without a new grant
    std::map<RunId, Allocation> runs;
    std::int64_t endsApplied = 0; ///< ends up to this number have been applied to the jobs
    std::int64_t endsStored = 0; ///< ends up to this number are durable; never above endsApplied
    std::deque<std::pair<std::int64_t, std::uint64_t>> endsPending; ///< number of an end and the write that makes it durable, both ascending
    int failuresInRow = 0; ///< failed runs since the last success, without those of jobs that fail on all endpoints
    BootTime lastFailure; ///< meaningful while failuresInRow is not 0
    BootTime avoidUntil; ///< no starts before this time, because runs have failed or stalled on it
    /// When tasks were last stopped for standing still here: by task if it had shown its pace, else by job, because all tasks of a job may be slower than
    /// expected.
    std::map<std::string, BootTime> stalls;
};

/// Whether an endpoint has shown that it survived the start of a run @p age ago: by the run's progress, or by going on for longer than its agent would report
/// for an endpoint that does not answer.
bool hasSettled(bool isListed, int percent, Milliseconds age);
bool hasSettled(const Allocation &allocation, BootTime now);

/// Input of remainingTime().
RunProgress progressOf(const Allocation &allocation, BootTime now);

/// Capacity that no run uses or may still use.
Resources freeCapacity(const Endpoint &endpoint);

} // namespace knapweed::cell
