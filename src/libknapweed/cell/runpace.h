// The pace of a run, from the whole percentages that its endpoint states, and how long it may show no progress before it counts as stalled.
#pragma once

#include "base/clock.h"

#include <optional>

namespace knapweed::cell
{

constexpr Milliseconds shortestStallLimit {2500}; ///< five report intervals; runs of up to 83 s change their percentage several times within it

struct RunPace
{
    bool hasStart = false; ///< startPercent is known
    int startPercent = 0; ///< at its start, if it resumed from a checkpoint
    int percent = 0; ///< as last stated
    BootTime changedAt; ///< when percent last changed
    bool hasBase = false; ///< the time at which basePercent was reached is known
    int basePercent = 0;
    BootTime baseAt;
};

/// What is known about the duration of a task before it runs.
struct RunExpectation
{
    Milliseconds learned {0}; ///< usual run time of its queue
    Milliseconds declared {0}; ///< by its submitter; 0 if not declared
};

/// The pace of a run that starts now with nothing done.
RunPace paceFromStart(BootTime now);

/// Records a stated percentage. A run that resumes, or that another scheduler started, shows its pace only after the first change, because its first
/// percentage may have been reached long before.
void observePercent(RunPace &pace, int percent, BootTime now);

/// The time that one percent takes, if progress has been observed.
std::optional<Milliseconds> timePerPercent(const RunPace &pace);

/// How long the run may show no progress. @p stalls: how often its unit was stopped for showing none.
Milliseconds stallLimit(const RunPace &pace, const RunExpectation &expectation, int stalls);

} // namespace knapweed::cell
