// In which order entries try for the scheduler's place when it is free, and to whom it is handed over. Each try has the place dealt anew, so they mustn't all
// try at once; and the scheduler's work grows with the cell, so the place belongs to a process with much of a core.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// An entry that may become the scheduler.
struct LeaderCandidate
{
    std::string address;
    std::int32_t processorPermille = 0; ///< thousandths of a core that it may use
};

/// How long @p self waits before it takes a place that it sees free, given the entries that it is connected to and how long the store took to answer. The first
/// in order waits not at all; each later one leaves those before it the time to have taken it.
Milliseconds electionDelay(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others, Milliseconds queryLatency);

/// How long a process of @p age that knows of @p known other entries, and is connected to @p connected of them, holds back from a free place: after a loss of
/// all entries none of them knows yet who comes before it.
Milliseconds discoveryDelay(Milliseconds age, std::size_t known, std::size_t connected);

/// Whether one of @p others has so much more of a core than @p self that a hand-over pays.
bool hasBetterCandidate(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others);

/// Whether a scheduler that is told that it doesn't hold the place gives it up. An entry that joins the group and leaves it at once has the place dealt anew
/// twice; a real successor makes itself known by its fence, whatever this says.
class LeadershipLossDetector
{
public:
    /// The store's answer to a join. True when the place is surely lost.
    bool isLost(bool isLeader);

private:
    int consecutiveRefusals_ = 0; ///< in a row
};

/// Whether the place's owner is to be challenged: an entry that could not be reached for long, while the store could. Each owner is judged from when it was
/// first seen, so that the successor of one that was challenged has time to make itself known.
class LeaderMonitor
{
public:
    /// The store named @p owner at @p now; empty when the place is free.
    void leaderObserved(const std::string &leader, bool isSchedulerConnected, MonotonicTime now);
    /// The store gave no answer at @p now, so nothing counts against the owner.
    void leaderUnknown(MonotonicTime now);
    bool isChallengeDue(MonotonicTime now) const;

private:
    std::string leader_;
    MonotonicTime since_; ///< meaningful while owner_ is not empty
};

} // namespace knapweed::cell
