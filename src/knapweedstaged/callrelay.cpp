// Resends, deadlines and answers of relayed calls.

#include "callrelay.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace knapweed
{

namespace
{

constexpr Milliseconds resendInterval {700}; ///< a scheduler that has not answered by then may not have received the call

/// A process that starts again at the address of its predecessor must not take the answers to the predecessor's calls for those to its own.
std::int64_t randomCallNumber()
{
    std::random_device device;
    return std::uniform_int_distribution<std::int64_t>(1, std::int64_t(1) << 62)(device);
}

} // namespace

CallRelay::CallRelay(std::function<bool(const wire::JobCall &)> send)
    : send_(std::move(send))
    , lastCall_(randomCallNumber())
{
}

void CallRelay::trySend(PendingCall &pending, MonotonicTime now)
{
    if (pending.awaitedVersion == 0 && send_(pending.call)) {
        pending.isSent = true;
        pending.sentAt = now;
    }
}

void CallRelay::call(
    wire::JobCall call, MonotonicTime now, MonotonicTime sendDeadline, MonotonicTime deadline, std::function<void(const RelayedAnswer &)> callback)
{
    const std::int64_t number = ++lastCall_;
    call.call = number;
    PendingCall &pending = pendingCalls_[number];
    pending.call = std::move(call);
    pending.sendDeadline = sendDeadline;
    pending.deadline = std::min(deadline, end_);
    pending.callback = std::move(callback);
    trySend(pending, now);
}

void CallRelay::handleAnswer(const wire::JobAnswer &answer)
{
    const auto found = pendingCalls_.find(answer.call);
    const bool isSuperseded = answer.generation != 0 && answer.generation < generation_ && answer.basis == wire::AnswerBasis::Memory;
    if (found == pendingCalls_.end() || answer.outcome == wire::CallOutcome::NotScheduler || isSuperseded) {
        return;
    }
    PendingCall &pending = found->second;
    const bool isOutdated = answer.outcome == wire::CallOutcome::Outdated;
    if (isOutdated && answer.configurationVersion > configurationVersion_) {
        pending.awaitedVersion = answer.configurationVersion;
        pending.isSent = false; // an earlier sending was not executed either: the scheduler would have known the job
        return;
    }
    const std::function<void(const RelayedAnswer &)> callback = std::move(pending.callback);
    pendingCalls_.erase(found);
    callback({isOutdated ? RelayedAnswer::Kind::Outdated : RelayedAnswer::Kind::Answered, answer});
}

void CallRelay::configurationChanged(std::int64_t version)
{
    configurationVersion_ = version;
    std::vector<std::function<void(const RelayedAnswer &)>> returned;
    for (auto pending = pendingCalls_.begin(); pending != pendingCalls_.end();) {
        const std::int64_t awaited = pending->second.awaitedVersion;
        if (awaited == 0 ? pending->second.isSent : awaited > version) {
            ++pending;
            continue;
        }
        returned.push_back(std::move(pending->second.callback));
        pending = pendingCalls_.erase(pending);
    }
    for (const std::function<void(const RelayedAnswer &)> &callback : returned) {
        callback({RelayedAnswer::Kind::Outdated, {}});
    }
}

void CallRelay::schedulerChanged(std::int64_t generation, MonotonicTime now)
{
    generation_ = generation;
    for (auto &[number, pending] : pendingCalls_) {
        trySend(pending, now);
    }
}

void CallRelay::endBy(MonotonicTime end)
{
    end_ = end;
    for (auto &[number, pending] : pendingCalls_) {
        pending.deadline = std::min(pending.deadline, end_);
    }
}

void CallRelay::tick(MonotonicTime now)
{
    std::vector<std::pair<std::function<void(const RelayedAnswer &)>, RelayedAnswer>> expired;
    for (auto pending = pendingCalls_.begin(); pending != pendingCalls_.end();) {
        const bool hasDeadlinePassed = now >= pending->second.deadline;
        const bool hasSendDeadlinePassed = !pending->second.isSent && now >= pending->second.sendDeadline;
        if (hasDeadlinePassed || hasSendDeadlinePassed) {
            RelayedAnswer answer;
            answer.kind = pending->second.isSent ? RelayedAnswer::Kind::Unknown : RelayedAnswer::Kind::NotSent;
            expired.emplace_back(std::move(pending->second.callback), answer);
            pending = pendingCalls_.erase(pending);
            continue;
        }
        if (!pending->second.isSent || now - pending->second.sentAt >= resendInterval) {
            trySend(pending->second, now);
        }
        ++pending;
    }
    for (const auto &[callback, answer] : expired) {
        callback(answer);
    }
}

std::size_t CallRelay::size() const
{
    return pendingCalls_.size();
}

} // namespace knapweed
