// The election order is by share of a core, then by address. All entries compute the same order without coordination.

#include "cell/election.h"

#include <algorithm>
#include <tuple>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds minCandidateDelay {120}; ///< for a join and the query that shows it: twenty times the store's usual response time
constexpr Milliseconds maxElectionDelay {3000}; ///< twice the lifetime of a group membership
constexpr int queriesPerCandidate = 3; ///< with a slow store: the first candidate's join, and a query that may have begun just before the join completed
constexpr std::ptrdiff_t maxCandidatesBefore = 6; ///< later ones wait no longer: if all before them are gone, leadership must not stay free for seconds
constexpr Milliseconds minDiscoveryTime {100}; ///< before this age, the roster from the first seed may be as incomplete as this process's own
constexpr Milliseconds discoveryTimeout {700}; ///< time to connect to the seeds, receive their rosters and connect to the entries named there
constexpr int refusalsUntilLost = 3; ///< another entry's join and leave may both fall between two joins of the leader, but seldom between three
constexpr std::int32_t minHandOverRatio = 2; ///< a smaller ratio is not worth the pause of a hand-over

constexpr Seconds unreachableLeaderTimeout {3}; ///< twice the lifetime of a group membership: that of a failed leader has expired by then

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
    return std::min(maxElectionDelay, std::max(minCandidateDelay, queriesPerCandidate * queryLatency) * std::min(before, maxCandidatesBefore));
}

Milliseconds discoveryDelay(Milliseconds age, std::size_t known, std::size_t connected)
{
    const bool isComplete = known > 0 && connected == known && age >= minDiscoveryTime;
    return isComplete ? Milliseconds(0) : std::max(Milliseconds(0), discoveryTimeout - age);
}

bool hasBetterCandidate(const LeaderCandidate &self, const std::vector<LeaderCandidate> &others)
{
    return std::any_of(others.begin(), others.end(), [&self](const LeaderCandidate &other) {
        return other.processorPermille >= minHandOverRatio * self.processorPermille;
    });
}

bool LeadershipLossDetector::isLost(bool isLeader)
{
    consecutiveRefusals_ = isLeader ? 0 : consecutiveRefusals_ + 1;
    return consecutiveRefusals_ >= refusalsUntilLost;
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
    return !leader_.empty() && now - since_ > unreachableLeaderTimeout;
}

} // namespace knapweed::cell
