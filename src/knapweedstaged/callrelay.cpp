// Repeats, deadlines, and answers.

#include "callrelay.h"

#include <utility>
#include <vector>

namespace knapweed
{

namespace
{

constexpr Milliseconds repeatInterval {700}; ///< a scheduler that has not answered by then may never have got the call

} // namespace

CallRelay::CallRelay(std::function<bool(const wire::JobCall &)> send)
    : send_(std::move(send))
{
}

void CallRelay::trySend(Open &open, MonotonicTime now)
{
    if (send_(open.call)) {
        open.isSent = true;
        open.sentAt = now;
    }
}

void CallRelay::call(wire::JobCall call, MonotonicTime now, MonotonicTime patience, MonotonicTime deadline, std::function<void(const RelayedAnswer &)> answer)
{
    const std::int64_t number = ++lastCall_;
    call.call = number;
    Open &open = open_[number];
    open.call = std::move(call);
    open.patience = patience;
    open.deadline = deadline;
    open.answer = std::move(answer);
    trySend(open, now);
}

void CallRelay::answered(const wire::JobAnswer &answer)
{
    const auto found = open_.find(answer.call);
    if (found == open_.end() || answer.outcome == wire::CallOutcome::NotScheduler) {
        return;
    }
    const std::function<void(const RelayedAnswer &)> callback = std::move(found->second.answer);
    open_.erase(found);
    callback({RelayedAnswer::Kind::Answered, answer});
}

void CallRelay::schedulerChanged(MonotonicTime now)
{
    for (auto &[number, open] : open_) {
        trySend(open, now);
    }
}

void CallRelay::tick(MonotonicTime now)
{
    std::vector<std::pair<std::function<void(const RelayedAnswer &)>, RelayedAnswer>> over;
    for (auto open = open_.begin(); open != open_.end();) {
        const bool isLate = now >= open->second.deadline;
        const bool isGivenUp = !open->second.isSent && now >= open->second.patience;
        if (isLate || isGivenUp) {
            RelayedAnswer answer;
            answer.kind = open->second.isSent ? RelayedAnswer::Kind::Unknown : RelayedAnswer::Kind::NotSent;
            over.emplace_back(std::move(open->second.answer), answer);
            open = open_.erase(open);
            continue;
        }
        if (!open->second.isSent || now - open->second.sentAt >= repeatInterval) {
            trySend(open->second, now);
        }
        ++open;
    }
    for (const auto &[callback, answer] : over) {
        callback(answer);
    }
}

std::size_t CallRelay::size() const
{
    return open_.size();
}

} // namespace knapweed
