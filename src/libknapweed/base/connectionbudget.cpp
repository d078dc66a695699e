// Shares of a machine's limits, and the choice of the connections to close.

#include "base/connectionbudget.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace knapweed
{

namespace
{

constexpr std::size_t mebibyte = std::size_t(1) << 20;
constexpr std::int64_t ownMemoryMib = 24; ///< an idle entry uses 9 MiB; the rest is for its jobs and for building one document
/// Of what remains: bytes of strangers, bytes of peers, the connections of each, and two for what the handlers make of requests.
constexpr std::size_t shareOfBytes = 6;
constexpr std::size_t bytesPerConnection = 16384; ///< of libwebsockets, with a header table of 10 KiB
constexpr std::int64_t strangersShareOfDescriptors = 2;
constexpr std::int64_t peersShareOfDescriptors = 4;
constexpr std::size_t progressBytes = 4096;
constexpr Seconds reportInterval {5};

} // namespace

ProcessLimits limitsOf(std::int64_t memoryMib, std::int64_t descriptors)
{
    const std::int64_t memory = memoryMib > 0 ? memoryMib : defaultMemoryMib;
    const std::size_t bytes = static_cast<std::size_t>(std::max<std::int64_t>(memory - ownMemoryMib, 1)) * mebibyte / shareOfBytes;
    const std::int64_t usable = descriptors > 0 ? descriptors : defaultDescriptors;
    const std::size_t fitting = bytes / bytesPerConnection;
    ProcessLimits limits;
    limits.strangers = {bytes, std::min(fitting, static_cast<std::size_t>(usable / strangersShareOfDescriptors))};
    limits.peers = {bytes, std::min(fitting, static_cast<std::size_t>(usable / peersShareOfDescriptors))};
    return limits;
}

ConnectionBudget::ConnectionBudget(std::string name, const ConnectionLimits &limits)
    : name_(std::move(name))
    , limits_(limits)
{
}

bool ConnectionBudget::evictOne(MemberId except, bool needsBytes)
{
    auto victim = members_.end();
    for (auto member = members_.begin(); member != members_.end(); ++member) {
        const bool isCandidate = member->first != except && !member->second.isProtected && (!needsBytes || member->second.bytes > 0);
        if (isCandidate && (victim == members_.end() || member->second.progressAt < victim->second.progressAt)) {
            victim = member;
        }
    }
    if (victim == members_.end()) {
        return false;
    }
    const std::function<void()> close = std::move(victim->second.close);
    leave(victim->first);
    ++counts_.evictedConnections;
    close();
    return true;
}

bool ConnectionBudget::makeRoomForConnection()
{
    while (members_.size() >= limits_.connections) {
        if (!evictOne(0, false)) {
            ++counts_.refusedConnections;
            return false;
        }
    }
    return true;
}

ConnectionBudget::MemberId ConnectionBudget::join(MonotonicTime now, std::function<void()> close)
{
    Member &member = members_[++lastMember_];
    member.progressAt = now;
    member.close = std::move(close);
    return lastMember_;
}

void ConnectionBudget::leave(MemberId member)
{
    releaseAll(member);
    members_.erase(member);
}

bool ConnectionBudget::reserve(MemberId member, std::size_t bytes)
{
    if (members_.count(member) == 0) {
        return false;
    }
    while (usedBytes_ + bytes > limits_.bytes) {
        if (bytes > limits_.bytes || !evictOne(member, true)) {
            ++counts_.refusedRequests;
            return false;
        }
    }
    members_.at(member).bytes += bytes;
    usedBytes_ += bytes;
    return true;
}

void ConnectionBudget::releaseAll(MemberId member)
{
    const auto found = members_.find(member);
    if (found != members_.end()) {
        assertInvariant(usedBytes_ >= found->second.bytes, "a member's bytes are counted as used");
        usedBytes_ -= found->second.bytes;
        found->second.bytes = 0;
    }
}

std::shared_ptr<void> ConnectionBudget::takeBytes(MemberId member)
{
    const auto found = members_.find(member);
    const std::size_t bytes = found == members_.end() ? 0 : std::exchange(found->second.bytes, 0);
    const std::shared_ptr<ConnectionBudget> budget = shared_from_this();
    return {nullptr, [budget, bytes](void *) {
                assertInvariant(budget->usedBytes_ >= bytes, "bytes taken over are counted as used");
                budget->usedBytes_ -= bytes;
            }};
}

void ConnectionBudget::moved(MemberId member, std::size_t bytes, MonotonicTime now)
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return;
    }
    found->second.movedBytes += bytes;
    if (found->second.movedBytes >= progressBytes) {
        progressed(member, now);
    }
}

void ConnectionBudget::progressed(MemberId member, MonotonicTime now)
{
    const auto found = members_.find(member);
    if (found != members_.end()) {
        found->second.movedBytes = 0;
        found->second.progressAt = now;
    }
}

void ConnectionBudget::setProtected(MemberId member, bool isProtected)
{
    const auto found = members_.find(member);
    if (found != members_.end()) {
        found->second.isProtected = isProtected;
    }
}

MonotonicTime ConnectionBudget::progressAt(MemberId member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? MonotonicTime::max() : found->second.progressAt;
}

void ConnectionBudget::countExpired()
{
    ++counts_.expiredConnections;
}

BudgetCounts ConnectionBudget::dueReport(MonotonicTime now)
{
    BudgetCounts due;
    if (counts_ == reported_ || (reportedAt_ != MonotonicTime() && now - reportedAt_ < reportInterval)) {
        return due;
    }
    due.refusedConnections = counts_.refusedConnections - reported_.refusedConnections;
    due.refusedRequests = counts_.refusedRequests - reported_.refusedRequests;
    due.evictedConnections = counts_.evictedConnections - reported_.evictedConnections;
    due.expiredConnections = counts_.expiredConnections - reported_.expiredConnections;
    reported_ = counts_;
    reportedAt_ = now;
    return due;
}

const std::string &ConnectionBudget::name() const
{
    return name_;
}

const ConnectionLimits &ConnectionBudget::limits() const
{
    return limits_;
}

const BudgetCounts &ConnectionBudget::counts() const
{
    return counts_;
}

std::size_t ConnectionBudget::usedBytes() const
{
    return usedBytes_;
}

std::size_t ConnectionBudget::connections() const
{
    return members_.size();
}

} // namespace knapweed
