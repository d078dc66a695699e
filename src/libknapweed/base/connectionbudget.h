// The bytes and connections that a group of servers may hold for others. Pure bookkeeping: the caller passes the time, and closing is a function of the member.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace knapweed
{

constexpr std::int64_t defaultMemoryMib = 512; ///< of the largest entries; smaller machines name their memory
constexpr std::int64_t defaultDescriptors = 4096;

/// Input that libwebsockets may hold for a connection whose request is not answered yet: one read from its socket.
constexpr std::size_t pendingInputBytes = 65536;

struct ConnectionLimits
{
    std::size_t bytes = 0; ///< of bodies and messages that have arrived and are not used up, and of responses that have not been read
    std::size_t connections = 0;
};

/// The limits that the memory and the descriptors of a machine give; 0 stands for one that is not known.
struct ProcessLimits
{
    ConnectionLimits strangers; ///< callers, probes and everyone else who is not a peer
    ConnectionLimits peers;
};
ProcessLimits limitsOf(std::int64_t memoryMib, std::int64_t descriptors);

struct BudgetCounts
{
    std::uint64_t refusedConnections = 0; ///< closed when they were accepted
    std::uint64_t refusedRequests = 0; ///< whose bytes did not fit
    std::uint64_t evictedConnections = 0; ///< closed to make room for others
    std::uint64_t expiredConnections = 0; ///< closed for lack of progress

    bool operator==(const BudgetCounts &) const = default;
};

/// When bytes or connections run out, the members that have made no progress for the longest time are closed. Members that wait for this process are not
/// closed. Used on one thread.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget>
{
public:
    using MemberId = std::uint64_t; ///< never 0

    ConnectionBudget(std::string name, const ConnectionLimits &limits);

    /// Whether one more connection may be accepted; closes another one if needed.
    bool makeRoomForConnection();

    /// @p close ends the member's connection. It is called at most once, after the member and its bytes have been forgotten.
    MemberId join(MonotonicTime now, std::function<void()> close);
    /// Forgets a member and its bytes; unknown ids are ignored.
    void leave(MemberId member);

    /// Adds bytes that the member holds, closing others if needed. Returns false, and adds nothing, when they do not fit.
    bool reserve(MemberId member, std::size_t bytes);
    void releaseAll(MemberId member);
    /// Takes over the member's bytes; they are counted until the result is destroyed, also after the member has left.
    std::shared_ptr<void> takeBytes(MemberId member);

    /// Bytes have been moved. Only progressBytes and more together count as progress, so that single bytes do not keep a connection.
    void moved(MemberId member, std::size_t bytes, MonotonicTime now);
    /// A request or response has begun or ended.
    void progressed(MemberId member, MonotonicTime now);
    /// Whether the member waits for this process, or is a known peer.
    void setProtected(MemberId member, bool isProtected);

    /// When the member last made progress; MonotonicTime::max() for unknown ids.
    MonotonicTime progressAt(MemberId member) const;

    void countExpired();
    /// The counts since the last report, if there are any and the last report is long enough ago; else all are 0.
    BudgetCounts dueReport(MonotonicTime now);

    const std::string &name() const;
    const ConnectionLimits &limits() const;
    const BudgetCounts &counts() const;
    std::size_t usedBytes() const;
    std::size_t connections() const;

private:
    struct Member
    {
        std::size_t bytes = 0;
        std::size_t movedBytes = 0; ///< since the last progress
        MonotonicTime progressAt;
        bool isProtected = false;
        std::function<void()> close;
    };

    bool evictOne(MemberId except, bool needsBytes);

    std::string name_;
    ConnectionLimits limits_;
    /// Invariant: usedBytes_ is the sum of the members' bytes and of those taken over.
    std::map<MemberId, Member> members_;
    std::size_t usedBytes_ = 0;
    MemberId lastMember_ = 0;
    BudgetCounts counts_;
    BudgetCounts reported_;
    MonotonicTime reportedAt_;
};

} // namespace knapweed
