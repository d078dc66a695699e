// Relative speeds of endpoints, learned by comparing the tasks of one step with each other. Tasks of different steps are not compared, because their run times
// differ for reasons that are unknown.
#pragma once

#include "base/clock.h"
#include "jobs/job.h"

#include <map>
#include <string>

namespace knapweed::cell
{

/// The run time of one task, expected from its progress or measured at its end.
struct TaskPace
{
    std::string agent;
    double logSeconds = 0; ///< natural logarithm of the run time in seconds
    BootTime observedAt;
};

/// Observations of recent steps, and the factors derived from them.
struct EndpointSpeeds
{
    std::map<StepName, std::map<int, TaskPace>> steps; ///< by task index; limited in number
    std::map<std::string, double> logSlowness; ///< by agent: natural logarithm of its run times relative to the usual ones, as last derived
    BootTime derivedAt;
    bool isChanged = false; ///< there are observations that logSlowness does not reflect yet
};

/// Replaces the observation of the task. Ignores run times of zero or less.
void observePace(EndpointSpeeds &speeds, const StepName &step, int index, const std::string &agent, Milliseconds runTime, BootTime now);

/// Drops the observations of an agent, whose endpoint has been replaced.
void forgetPaces(EndpointSpeeds &speeds, const std::string &agent);

/// Derives the factors anew if there are new observations.
void deriveSpeeds(EndpointSpeeds &speeds, BootTime now);

/// Speed of the agent's endpoint relative to the usual one, which is 1; also 1 if nothing is known. Higher is faster.
double relativeSpeed(const EndpointSpeeds &speeds, const std::string &agent);

} // namespace knapweed::cell
