// The calls to the placement adviser. It processes one call of this machine at a time, so that the scheduler sends one at a time and decides which step is
// next. How long a call may take follows from the times that the configuration states and from those that were measured.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "cell/advice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// A call to be sent to the adviser.
struct AdviceRequest
{
    std::int64_t number = 0; ///< identifies the call when it ends
    StepName step;
    std::vector<std::string> endpoints; ///< ids, at most maxAdviceEndpoints
    Milliseconds timeout {0}; ///< until when a reply is of use
    bool needsNewConnection = false; ///< an earlier call got no reply, perhaps because its connection has gone silent
};

enum class AdviceFailure {
    Refused, ///< the adviser has not taken the call
    Unanswered, ///< the adviser may still process the call
};

using AdviceResult = Result<AdviceReply, AdviceFailure>;

/// A call that has not ended.
struct AdviserCall
{
    std::int64_t number = 0;
    StepName step;
    std::string queue;
    std::vector<EndpointLife> endpoints;
    Milliseconds stated {0}; ///< time that the configuration states for it
    BootTime sentAt;
    BootTime overdueAt; ///< from then on it doesn't hold up the next call, but its reply still counts
};

struct AdviserCalls
{
    std::vector<AdviserCall> open; ///< in sending order; all but the last one are overdue
    std::int64_t lastNumber = 0;
    BootTime retryAt; ///< no call is sent before
    int refusals = 0; ///< in a row
    bool isReplyMissing = false; ///< the call that ended last got none
    BootTime repliedAt; ///< when the last reply arrived; the adviser processes the calls in turn
    double slowness = 1; ///< of the adviser, relative to the stated times; at least 1
    TicketClock ticketClock = TicketClock::FromReply;
    std::map<std::string, AllowedShare> shares; ///< by queue
};

/// Whether a call may be sent now. One that is overdue holds up no other, as long as there are few.
bool maySendAdviserCall(const AdviserCalls &calls, BootTime now);

/// Records a call, to be sent now.
AdviceRequest sendAdviserCall(
    AdviserCalls &calls, const StepName &step, const std::string &queue, const AdvicePolicy &policy, const std::vector<EndpointLife> &endpoints, BootTime now);

/// Records the end of a call and returns it; nothing if it isn't open.
std::optional<AdviserCall> endAdviserCall(AdviserCalls &calls, std::int64_t number, const AdviceResult &result, BootTime now);

/// How the validity of the queue's tickets is to be counted.
TicketClock ticketClockFor(const AdviserCalls &calls, const AdvicePolicy &policy);

} // namespace knapweed::cell
