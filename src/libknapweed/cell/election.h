// The order in which entries try to acquire free leadership, and the choice of the entry to which it is handed over. Each attempt causes a rebalance of the
// partition, so entries must not all try at once. The scheduler's work grows with the cell, so entries with a larger share of a core come first.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// An entry that can become the scheduler.
struct LeaderCandidate
{
    std::string address;
    std::int32_t processorPermille = 0; ///< thousandths of a core that the process may use
};

/// How long @p self waits before it acquires free leadership, given the other entries it is connected to and the time the store took to answer the query. The
/// first entry in election order does not wait; each later one gives the entries before it enough time to acquire leadership.
Milliseconds electionDelay(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others, Milliseconds queryLatency);

/// How long a process of @p age, which has discovered @p known other entries and is connected to @p connected of them, waits before it takes part in an
/// election. When all entries have failed and restart together, none of them has discovered yet which entries come first.
Milliseconds discoveryDelay(Milliseconds age, std::size_t known, std::size_t connected);

/// Whether one of @p others has so much larger a share of a core than @p self that a hand-over is worthwhile.
bool hasBetterCandidate(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others);

/// Decides whether a scheduler has lost leadership when the store no longer assigns it the partition. An entry that joins the group and leaves at once causes
/// two rebalances, so a single refusal is not sufficient. A real successor is detected by its higher fence, independently of this class.
class LeadershipLossDetector
{
public:
    /// Processes the store's answer to a join. Returns true once the loss is confirmed.
    bool isLost(bool isLeader);

private:
    int consecutiveRefusals_ = 0;
};

/// Decides when to challenge a leader that has been unreachable for too long while the store was reachable. The time counts from when the leader was first
/// observed, so the successor of a challenged leader has time to announce itself.
class LeaderMonitor
{
public:
    /// The store named @p leader at @p now; empty when leadership is free.
    void leaderObserved(const std::string &leader, bool isSchedulerConnected, MonotonicTime now);
    /// The store gave no answer at @p now. The time until then is not counted against the leader.
    void leaderUnknown(MonotonicTime now);
    bool isChallengeDue(MonotonicTime now) const;

private:
    std::string leader_;
    MonotonicTime since_; ///< start of the time without contact; meaningful while leader_ is not empty
};

} // namespace knapweed::cell
