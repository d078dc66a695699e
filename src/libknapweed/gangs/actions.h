// What the agent's core asks of the outside and what the outside answers. Plain data; the core itself has no sockets and no clock.
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

/// A lease as the worker lists it.
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
    MonotonicTime sentAt; ///< when the call left
    std::vector<WorkerLease> leases; ///< answer to List
    std::int64_t highestFence = 0; ///< answer to List
};

/// A request to the endpoint at @p target. Every kind is idempotent; a part that was started is never run again by a second Start.
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

/// A part as the endpoint lists it.
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
    MonotonicTime sentAt; ///< when the call left
    EndpointPartState state = EndpointPartState::Reserved; ///< answer to Start and Watch
    std::string output; ///< answer to Start and Watch
    bool everStarted = false; ///< answer to Stop
    std::vector<EndpointPart> parts; ///< answer to List
};

/// What the endpoint beside this agent says of itself, at once and every second.
struct EndpointAnnouncement
{
    Address address;
    int slots = 0;
    bool ready = false; ///< false when it is leaving
};

struct AppendStart
{
    StartRecord record;
};

/// What the log says of a start record that this lead appended, once that is certain.
enum class StartVerdict {
    Valid, ///< it is the job's valid start: go
    Abandoned, ///< an abandon record stands before it
    OtherAttempt, ///< another attempt of the job has the valid start
    NotOwner, ///< the attempt is not one of the job's owner at that place of the log, or the job had its outcome
    OtherIncarnation, ///< an earlier process of this lead has started this attempt
    NotAppended, ///< the record was refused on this side and never will be appended
};

struct StartDecision
{
    wire::AttemptId attempt;
    std::int64_t leadNonce = 0;
    StartVerdict verdict = StartVerdict::Valid;
};

using Action = std::variant<SendMessage, WorkerCall, EndpointCall, AppendStart>;
using Actions = std::vector<Action>;

/// The spans of time that the core uses. None of them comes from a message.
struct CoreOptions
{
    std::string self; ///< the address by which peers call this agent
    std::int64_t incarnation = 0; ///< differs after each start of the process
    Milliseconds holdTimeout {2000}; ///< how long all members may take to grant their holds
    Milliseconds retryInterval {100}; ///< a message without its answer is sent again after this time
    Milliseconds callRetryInterval {200}; ///< a call to worker or endpoint that failed is made again after this time
    Milliseconds callTimeout {1000}; ///< a call may take effect up to this long after it was made
    Milliseconds watchWait {1000}; ///< how long the endpoint may hold a question for the end of a part
    Milliseconds endpointExpiry {3000}; ///< an announcement older than this has lapsed
    Milliseconds outcomeRetention {600000}; ///< an outcome that nobody acknowledges is kept this long
    Milliseconds tombstoneRetention {600000}; ///< what has ended is remembered this long
    Milliseconds resultRetention {60000}; ///< a part's result that its lead does not acknowledge is kept this long
    Milliseconds defaultStartWithin {600000}; ///< for requests that name no limit
};

/// Renewals for each gang lease: the lease outlives several lost ones.
constexpr int renewalsPerLease = 6;

/// A member says that its part is alive only while the endpoint and the worker have answered within the lease divided by this.
constexpr int contactDivisor = 2;

} // namespace knapweed::gangs
