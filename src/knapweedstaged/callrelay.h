// Relays callers' calls to the scheduler and returns its answers. A call is sent again after each change of the scheduler and whenever no answer has arrived
// within the resend interval. Repeats are harmless, because the scheduler identifies a job by its id. A call that was never sent is confirmed not executed.
#pragma once

#include "base/clock.h"
#include "peers/codec.h"

#include <functional>
#include <map>
#include <string>

namespace knapweed
{

struct RelayedAnswer
{
    enum class Kind {
        Answered, ///< the scheduler answered; see answer
        NotSent, ///< not sent to any scheduler, so confirmed not executed
        Unknown, ///< sent and not answered in time; the outcome is unknown
        Outdated, ///< not executed, and the configuration has changed since the call was admitted: it has to be admitted anew
    };
    Kind kind = Kind::NotSent;
    wire::JobAnswer answer;
};

class CallRelay
{
public:
    /// @p send sends a call to the scheduler. It returns false when no scheduler is known or connected.
    explicit CallRelay(std::function<bool(const wire::JobCall &)> send);

    /// Runs @p callback once: with the scheduler's answer, at @p deadline, or at @p sendDeadline if the call could not be sent by then.
    void call(wire::JobCall call, MonotonicTime now, MonotonicTime sendDeadline, MonotonicTime deadline, std::function<void(const RelayedAnswer &)> callback);

    void handleAnswer(const wire::JobAnswer &answer);

    /// To be called when @p version has come into force. Returns the calls that have not been sent, and those that the scheduler refused as outdated.
    void configurationChanged(std::int64_t version);

    /// To be called after a change of the scheduler and for each new connection to it, with the generation of its term. Sends all pending calls again. Answers
    /// that an earlier scheduler gives from memory are ignored from then on.
    void schedulerChanged(std::int64_t generation, MonotonicTime now);

    /// No call waits longer than until @p end, also none that comes later: the process ends soon after.
    void endBy(MonotonicTime end);

    void tick(MonotonicTime now);

    std::size_t size() const;

private:
    struct PendingCall
    {
        wire::JobCall call;
        MonotonicTime sentAt;
        MonotonicTime sendDeadline;
        MonotonicTime deadline;
        bool isSent = false; ///< to some scheduler, which may have executed it
        std::int64_t awaitedVersion = 0; ///< of the configuration; not 0 while the call waits for it
        std::function<void(const RelayedAnswer &)> callback;
    };

    void trySend(PendingCall &pending, MonotonicTime now);

    std::function<bool(const wire::JobCall &)> send_;
    std::map<std::int64_t, PendingCall> pendingCalls_; ///< by call number
    std::int64_t lastCall_; ///< number of the newest call; begins at random, so that no two processes number their calls alike
    std::int64_t generation_ = 0; ///< of the scheduler's term, as far as this process knows
    std::int64_t configurationVersion_ = 0; ///< in force at this process
    MonotonicTime end_ = MonotonicTime::max(); ///< no deadline is later
};

} // namespace knapweed
