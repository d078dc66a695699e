// The limit is a multiple of the time that one percent takes. Without progress it rests on the expected run time, which may be wrong by a large factor.

#include "cell/runpace.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr int stalledPercents = 3; ///< time for so many percent without a change: room for slow phases of the endpoint and for the interval of the reports
constexpr int tailFactor = 7; ///< some tasks take so many times the usual run time, and only their progress shows which
constexpr int declarationError = 10; ///< a declared run time may be too long by this factor; a larger part of it is no reason to wait
constexpr int maxDoublings = 10; ///< bounds the growth of the limit to about 1,000 times

} // namespace

RunPace paceFromStart(BootTime now)
{
    RunPace pace;
    pace.hasStart = true;
    pace.hasBase = true;
    pace.baseAt = now;
    pace.changedAt = now;
    return pace;
}

void observePercent(RunPace &pace, int percent, BootTime now)
{
    if (percent == pace.percent) {
        return;
    }
    if (!pace.hasStart) {
        pace.hasStart = true; // an agent states 0 for a run that its endpoint does not list yet, so that only a higher one is that of the checkpoint
        pace.startPercent = percent;
    } else if (!pace.hasBase || percent < pace.percent) {
        pace.hasBase = true;
        pace.basePercent = percent;
        pace.baseAt = now;
    }
    pace.percent = percent;
    pace.changedAt = now;
}

std::optional<Milliseconds> timePerPercent(const RunPace &pace)
{
    if (!pace.hasBase || pace.percent <= pace.basePercent) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(pace.changedAt - pace.baseAt) / (pace.percent - pace.basePercent);
}

Milliseconds stallLimit(const RunPace &pace, const RunExpectation &expectation, int stalls)
{
    const std::optional<Milliseconds> observed = timePerPercent(pace);
    const Milliseconds expected = std::max(expectation.learned, expectation.declared / declarationError) * tailFactor / 100;
    const Milliseconds limit = std::max(shortestStallLimit, observed.value_or(expected) * stalledPercents);
    return limit * (1 << std::clamp(stalls, 0, maxDoublings));
}

} // namespace knapweed::cell
