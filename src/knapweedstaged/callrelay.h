// Callers' calls on their way to the scheduler and back. A call is sent again after each change of the scheduler and each silent span, which is harmless
// because the scheduler knows a job by its id. What was never sent has certainly not run.
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
        Answered, ///< by the scheduler; answer holds it
        NotSent, ///< it reached nobody that could act on it
        Unknown, ///< sent, and not answered in time
    };
    Kind kind = Kind::NotSent;
    wire::JobAnswer answer;
};

class CallRelay
{
public:
    /// @p send takes a call to the scheduler; false when none is known or connected.
    explicit CallRelay(std::function<bool(const wire::JobCall &)> send);

    /// @p callback runs once, at @p deadline at the latest, or when @p sendDeadline has passed without a scheduler.
    void call(wire::JobCall call, MonotonicTime now, MonotonicTime sendDeadline, MonotonicTime deadline, std::function<void(const RelayedAnswer &)> callback);

    void handleAnswer(const wire::JobAnswer &answer);

    /// Another scheduler, or a new connection to it: everything open is sent again.
    void schedulerChanged(MonotonicTime now);

    void tick(MonotonicTime now);

    std::size_t size() const;

private:
    struct PendingCall
    {
        wire::JobCall call;
        MonotonicTime sentAt;
        MonotonicTime sendDeadline;
        MonotonicTime deadline;
        bool isSent = false; ///< to some scheduler, which may have acted on it
        std::function<void(const RelayedAnswer &)> callback;
    };

    void trySend(PendingCall &pending, MonotonicTime now);

    std::function<bool(const wire::JobCall &)> send_;
    std::map<std::int64_t, PendingCall> pendingCalls_; ///< by number of the call
    std::int64_t lastCall_ = 0;
};

} // namespace knapweed
