// Order by share of a core, then by address: the same everywhere, without agreement.

#include "cell/election.h"

#include <algorithm>
#include <tuple>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds shortestTurn {120}; ///< for a join and the look that tells of it: twenty times a usual answer of the store
constexpr Milliseconds longestDelay {3000}; ///< twice the lifetime of a membership
constexpr int looksInATurn = 3; ///< where the store is slow: the first one's join, and a look that may have begun just before it was done
constexpr std::ptrdiff_t longestQueue = 6; ///< later ones wait no longer: when all before them are gone the place must not stay empty for seconds
constexpr Milliseconds shortestLearning {100}; ///< the first seed's roster may be as new as this process
constexpr Milliseconds learningSpan {700}; ///< for the connections to the seeds, their rosters, and the connections to those named there
constexpr int refusalsToLose = 3; ///< a join and a leave of another entry fall between two joins of the owner, seldom between three
constexpr std::int32_t handOverFactor = 2; ///< less of a difference isn't worth the pause of a hand-over

constexpr Seconds staleOwnerLimit {3}; ///< twice the lifetime of a membership: an owner that is gone has lapsed by then

bool isBefore(const LeaderCandidate &left, const LeaderCandidate &right)
{
    return std::tie(right.processorPermille, left.address) < std::tie(left.processorPermille, right.address);
}

} // namespace

Milliseconds electionDelay(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others, Milliseconds queryLatency)
{
    const std::ptrdiff_t before = std::count_if(others.begin(), others.end(), [&self](const LeaderCandidate &other) {
        return isBefore(other, self);
    });
    return std::min(longestDelay, std::max(shortestTurn, looksInATurn * queryLatency) * std::min(before, longestQueue));
}

Milliseconds discoveryDelay(Milliseconds age, std::size_t known, std::size_t connected)
{
    const bool knowsAll = known > 0 && connected == known && age >= shortestLearning;
    return knowsAll ? Milliseconds(0) : std::max(Milliseconds(0), learningSpan - age);
}

bool hasBetterCandidate(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others)
{
    return std::any_of(others.begin(), others.end(), [&self](const LeaderCandidate &other) {
        return other.processorPermille >= handOverFactor * self.processorPermille;
    });
}

bool LeadershipLossDetector::isLost(bool isLeader)
{
    consecutiveRefusals_ = isLeader ? 0 : consecutiveRefusals_ + 1;
    return consecutiveRefusals_ >= refusalsToLose;
}

void LeaderMonitor::leaderObserved(const std::string &leader, bool isSchedulerConnected, MonotonicTime now)
{
    if (leader != leader_ || isSchedulerConnected) {
        since_ = now;
    }
    leader_ = leader;
}

void LeaderMonitor::leaderUnknown(MonotonicTime now)
{
    since_ = now;
}

bool LeaderMonitor::isChallengeDue(MonotonicTime now) const
{
    return !leader_.empty() && now - since_ > staleOwnerLimit;
}

} // namespace knapweed::cell
