// The state of one part, kept by the member that runs it.
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

/// A part only advances in this order. It can skip to Stopping from any earlier phase.
enum class PartPhase {
    Held, ///< the accelerators are held; worker and endpoint have not been called yet
    Arming, ///< the worker lease and the endpoint slot are being acquired
    Armed, ///< worker lease and endpoint slot are acquired; waits for go
    Starting, ///< go has been received; the worker is starting its task
    Running, ///< the worker has started its task; the endpoint starts and runs the part
    Checkpointing, ///< keeps running until the checkpoint is written or the grace period ends
    Stopping, ///< has ended or is being stopped; the accelerators stay in use until worker and endpoint confirm the end or their leases have expired
};

/// The state of one kind of call for one part. At most one such call is in flight.
struct CallState
{
    bool inFlight = false;
    MonotonicTime notBefore;
};

/// The part's lease at the worker.
struct WorkerLeaseState
{
    CallState grant, start, checkpoint, end;
    bool requested = false; ///< a Grant was sent, so the worker may hold a lease
    bool granted = false;
    bool started = false; ///< a Start was sent
    bool ended = false;
    MonotonicTime requestedUntil; ///< end of the gang lease when the newest Grant was sent
    MonotonicTime mayRunUntil; ///< after this time the worker's lease has certainly expired
    MonotonicTime lastContact; ///< send time of the newest answered call
};

/// The part's slot at the endpoint.
struct EndpointSlotState
{
    Address address;
    CallState reserve, start, watch, renew, stop;
    bool requested = false; ///< a Reserve was sent, so the endpoint may hold a slot
    bool reserved = false;
    bool startSent = false; ///< invariant: set only after go, under a valid gang lease
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
    std::string lead; ///< address of the lead; empty in an adopted part until its lead renews the lease
    wire::JobSpec spec;
    std::vector<std::int32_t> accelerators; ///< invariant: none of them belongs to another part of this agent
    std::int64_t fence = 0; ///< invariant: greater than the fence of every earlier hold of this agent and of its worker
    bool borrowed = false;
    std::int32_t gangSize = 1;
    PartPhase phase = PartPhase::Held;
    Milliseconds lease {0}; ///< length of the gang lease
    MonotonicTime leaseUntil; ///< invariant: nothing is armed or started at or after this; at most one lease after a reply that the lead has received
    std::deque<std::pair<std::int64_t, MonotonicTime>> replies; ///< sequence and send time of the newest replies; sequence 0 is the HoldReply
    MonotonicTime startedAt;
    MonotonicTime checkpointedAt;
    MonotonicTime graceUntil;
    WorkerLeaseState worker;
    EndpointSlotState endpoint;
    bool goReceived = false;
    bool stopRequested = false; ///< the lead waits for a StopReply
    bool armRequested = false;
    bool resultRecorded = false; ///< the end of the part has been recorded in an EndedPart
    wire::Reason::type stopReason = wire::Reason::None;
};

/// The record of an ended part, kept to answer late and duplicated messages.
struct EndedPart
{
    std::string lead;
    std::int64_t fence = 0;
    bool succeeded = false;
    wire::Reason::type reason = wire::Reason::None;
    std::string output; ///< cleared when the lead has acknowledged the report
    bool everStarted = false;
    bool reportDue = false; ///< the lead has not acknowledged the PartReport
    MonotonicTime endedAt;
    MonotonicTime nextReport;
    MonotonicTime reportUntil; ///< when reporting is given up; for an adopted part whose lead has not renewed the lease, the end of that lease
};

} // namespace knapweed::gangs
