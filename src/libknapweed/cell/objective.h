// The time by which a job should be completed. Its callers expect a multiple of the time that its longest chain of steps takes on an idle fleet.
#pragma once

#include "jobs/job.h"

#include <vector>

namespace knapweed::cell
{

/// Expected duration of a step on an idle fleet: the run time of one task, or of several in turn if the step is wider than its fair share of the capacity.
Milliseconds stepDuration(const Step &step, const Resources &needs, Milliseconds runTime, const Resources &capacity);

/// For each step, the duration of the longest chain of steps that begins with it. @p durations holds one value for each step.
std::vector<Milliseconds> chainDurations(const std::vector<Step> &steps, const std::vector<Milliseconds> &durations);

/// The time by which each step must be started to meet the objective: @p stretch times the longest chain of the job, and @p slack, after @p since.
std::vector<BootTime> latestStarts(const std::vector<Milliseconds> &chains, double stretch, Milliseconds slack, BootTime since);

} // namespace knapweed::cell
