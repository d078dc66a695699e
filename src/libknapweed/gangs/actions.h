// Actions that the agent core requests and events that it receives. Plain data: the core itself uses neither sockets nor clocks.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "logservice/records.h"
#include "peers/codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweed::gangs
{

struct SendMessage
{
    std::string peer;
    PeerMessage message;
};

/// A request to the worker. Every kind is idempotent.
struct WorkerCall
{
    enum class Kind { List, Grant, Start, Checkpoint, End };
    Kind kind = Kind::List;
    std::string lease;
    std::int64_t fence = 0;
    std::vector<std::int32_t> accelerators;
    std::int32_t processors = 0;
    std::int64_t memoryMib = 0;
    Milliseconds duration {0};
};

/// A lease as listed by the worker.
struct WorkerLease
{
    std::string lease;
    std::int64_t fence = 0;
    std::vector<std::int32_t> accelerators;
    bool started = false;
    Milliseconds remaining {0};
};

struct WorkerAnswer
{
    enum class Status { Ok, StaleFence, Taken, NoCapacity, LeaseExpired, TaskFailed, Unreachable };
    WorkerCall::Kind kind = WorkerCall::Kind::List;
    std::string lease;
    Status status = Status::Unreachable;
    MonotonicTime sentAt; ///< when the call was sent
    std::vector<WorkerLease> leases; ///< set in the answer to List
    std::int64_t highestFence = 0; ///< set in the answer to List
};

/// A request to the endpoint at the address in target. Every kind is idempotent: a second Start never runs a part again.
struct EndpointCall
{
    enum class Kind { List, Reserve, Start, Watch, Renew, Stop };
    Kind kind = Kind::List;
    Address target;
    std::string part;
    std::string job;
    std::string jobKind;
    std::string input;
    Milliseconds lease {0};
    Milliseconds wait {0};
};

enum class EndpointPartState { Reserved, Running, Completed, Failed, Stopped };

/// A part as listed by the endpoint.
struct EndpointPart
{
    std::string part;
    EndpointPartState state = EndpointPartState::Reserved;
};

struct EndpointAnswer
{
    enum class Status { Ok, NoSlot, LeaseExpired, Unreachable };
    EndpointCall::Kind kind = EndpointCall::Kind::List;
    Address target;
    std::string part;
    Status status = Status::Unreachable;
    MonotonicTime sentAt; ///< when the call was sent
    EndpointPartState state = EndpointPartState::Reserved; ///< set in answers to Start and Watch
    std::string output; ///< set in answers to Start and Watch
    bool everStarted = false; ///< set in the answer to Stop
    std::vector<EndpointPart> parts; ///< set in the answer to List
};

/// The state that the co-located endpoint announces to this agent, on each change and once per second.
struct EndpointAnnouncement
{
    Address address;
    int slots = 0;
    bool ready = false; ///< false while the endpoint is leaving
};

struct AppendStart
{
    StartRecord record;
};

/// The final result of a start record that this lead appended. The order of the log decides it.
enum class StartVerdict {
    Valid, ///< the record is the job's valid start, so the gang may go
    Abandoned, ///< an abandon record for the attempt precedes it in the log
    OtherAttempt, ///< another attempt of the job has the valid start record
    NotOwner, ///< the attempt does not belong to the job's owner at that position of the log, or the job already had an outcome
    OtherIncarnation, ///< an earlier incarnation of this lead has started this attempt
    NotAppended, ///< the local log client rejected the record, so it is never appended
};

struct StartDecision
{
    wire::AttemptId attempt;
    std::int64_t leadNonce = 0;
    StartVerdict verdict = StartVerdict::Valid;
};

using Action = std::variant<SendMessage, WorkerCall, EndpointCall, AppendStart>;
using Actions = std::vector<Action>;

/// Identity and time limits of the core. Messages do not change them.
struct CoreOptions
{
    std::string self; ///< the address at which peers reach this agent
    std::int64_t incarnation = 0; ///< different for each start of the process
    Milliseconds holdTimeout {2000}; ///< limit for all members to grant their holds
    Milliseconds retryInterval {100}; ///< interval at which unanswered messages are sent again
    Milliseconds callRetryInterval {200}; ///< delay before a failed call to the worker or endpoint is repeated
    Milliseconds callTimeout {1000}; ///< a call may take effect up to this long after it was sent
    Milliseconds watchWait {1000}; ///< how long the endpoint may delay its answer to Start or Watch until the part ends
    Milliseconds endpointExpiry {3000}; ///< age at which an announcement of the endpoint expires
    Milliseconds outcomeRetention {600000}; ///< how long an unacknowledged outcome is kept
    Milliseconds tombstoneRetention {600000}; ///< how long finished attempts and ended parts are remembered
    Milliseconds resultRetention {60000}; ///< how long a part's result is reported without an acknowledgement by the lead
    Milliseconds defaultStartWithin {600000}; ///< start limit for requests without one
};

/// Renewals sent per gang lease, so that the lease survives several lost renewals.
constexpr int renewalsPerLease = 6;

/// A member reports its part as alive only if both its worker and its endpoint have answered within the lease divided by this.
constexpr int contactDivisor = 2;

} // namespace knapweed::gangs
