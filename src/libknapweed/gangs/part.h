// The state of one part at the agent with authority over it.
#pragma once

#include "gangs/actions.h"
#include "gangs/attempt.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::gangs
{

/// Phases follow each other in this order; a part may skip to Stopping from any of them and never goes back.
enum class PartPhase {
    Held, ///< the accelerators are taken, nothing outside knows it
    Arming, ///< the worker lease and the endpoint slot are being taken
    Armed, ///< both are there; waits for go
    Starting, ///< go has come; the worker is starting its task
    Running, ///< the endpoint has been told to start
    Checkpointing, ///< runs on until the checkpoint is written or the grace is over
    Stopping, ///< has ended or is being stopped; accelerators stay taken until worker and endpoint confirm or their leases have lapsed
};

/// One kind of call for one part: at most one is under way.
struct CallState
{
    bool inFlight = false;
    MonotonicTime notBefore;
};

/// The part's lease at the worker.
struct WorkerLeaseState
{
    CallState grant, start, checkpoint, end;
    bool requested = false; ///< a grant was sent: the worker may hold a lease
    bool granted = false;
    bool started = false; ///< a start was sent
    bool ended = false;
    MonotonicTime requestedUntil; ///< the gang lease that the newest grant was sent for
    MonotonicTime mayRunUntil; ///< after this the worker's lease has certainly lapsed
    MonotonicTime lastContact; ///< when the newest answered call was sent
};

/// The part at the endpoint.
struct EndpointSlotState
{
    Address address;
    CallState reserve, start, watch, renew, stop;
    bool requested = false; ///< a reservation was sent: the endpoint may hold a slot
    bool reserved = false;
    bool startSent = false; ///< invariant: only after go, with the gang lease valid
    bool startAnswered = false;
    bool ended = false;
    bool everStarted = false;
    MonotonicTime requestedUntil;
    MonotonicTime mayRunUntil;
    MonotonicTime lastContact;
};

struct Part
{
    PartKey key;
    std::string lead; ///< empty in an adopted part until its lead renews
    wire::JobSpec spec;
    std::vector<std::int32_t> accelerators; ///< invariant: in no other part of this agent
    std::int64_t fence = 0; ///< invariant: above the fence of every earlier hold of this agent and of its worker
    bool borrowed = false;
    std::int32_t gangSize = 1;
    PartPhase phase = PartPhase::Held;
    Milliseconds lease {0}; ///< length of the gang lease
    MonotonicTime leaseUntil; ///< invariant: nothing is armed or started at or after this; never more than the lease after a reply that the lead has heard
    std::deque<std::pair<std::int64_t, MonotonicTime>> replies; ///< when the newest replies left, by sequence; 0 is the hold's
    MonotonicTime startedAt;
    MonotonicTime checkpointedAt;
    MonotonicTime graceUntil;
    WorkerLeaseState worker;
    EndpointSlotState endpoint;
    bool goReceived = false;
    bool stopRequested = false; ///< the lead waits for a StopReply
    bool armRequested = false;
    bool resultRecorded = false; ///< the end of the part has been recorded and reported
    wire::Reason::type stopReason = wire::Reason::None;
};

/// What is remembered of a part that has ended. It answers late and doubled messages.
struct EndedPart
{
    std::string lead;
    std::int64_t fence = 0;
    bool succeeded = false;
    wire::Reason::type reason = wire::Reason::None;
    std::string output; ///< dropped when the lead has acknowledged it
    bool everStarted = false;
    bool reportDue = false; ///< the lead has not acknowledged the PartReport
    MonotonicTime endedAt;
    MonotonicTime nextReport;
    MonotonicTime reportUntil; ///< then the report is given up; for an adopted part whose lead has not renewed, when its lease would have lapsed
};

} // namespace knapweed::gangs
