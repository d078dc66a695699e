// Steps refer to earlier steps only, so the chains are computed from the last step to the first.

#include "cell/objective.h"

#include <algorithm>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr std::chrono::duration<double, std::milli> maxDuration = std::chrono::hours(24); ///< keeps sums in range whatever a submitter declares
constexpr double fairShare = 0.25; ///< part of the capacity that one step may use at the same time, according to the platform's objective

double shareOf(std::int64_t needed, std::int64_t available)
{
    return available > 0 ? double(needed) / double(available) : 0;
}

} // namespace

Milliseconds stepDuration(const Step &step, const Resources &needs, Milliseconds runTime, const Resources &capacity)
{
    const double share = std::max(
        {shareOf(needs.milliCores, capacity.milliCores), shareOf(needs.memoryMib, capacity.memoryMib), shareOf(needs.accelerators, capacity.accelerators)});
    const double waves = std::max(1.0, double(step.tasks) * share / fairShare);
    return std::chrono::duration_cast<Milliseconds>(std::min(std::chrono::duration<double, std::milli>(runTime) * waves, maxDuration));
}

std::vector<Milliseconds> chainDurations(const std::vector<Step> &steps, const std::vector<Milliseconds> &durations)
{
    std::vector<Milliseconds> chains = durations;
    for (std::size_t step = steps.size(); step-- > 0;) {
        for (const int earlier : steps[step].after) {
            if (earlier >= 0 && std::size_t(earlier) < step) {
                chains[earlier] = std::max(chains[earlier], durations[earlier] + chains[step]);
            }
        }
    }
    return chains;
}

std::vector<BootTime> latestStarts(const std::vector<Milliseconds> &chains, double stretch, Milliseconds slack, BootTime since)
{
    Milliseconds longest {0};
    for (const Milliseconds chain : chains) {
        longest = std::max(longest, chain);
    }
    const std::chrono::duration<double, std::milli> allowed = std::min(std::chrono::duration<double, std::milli>(longest) * stretch, maxDuration);
    const BootTime due = since + slack + std::chrono::duration_cast<Milliseconds>(allowed);
    std::vector<BootTime> starts;
    starts.reserve(chains.size());
    for (const Milliseconds chain : chains) {
        starts.push_back(due - chain);
    }
    return starts;
}

} // namespace knapweed::cell
