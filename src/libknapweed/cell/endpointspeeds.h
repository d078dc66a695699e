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
    double weight = 1; ///< relative to a measured run time; lower for one that is derived from little progress
    BootTime observedAt;
};

/// What an earlier scheduler has learned, or the pace of a gang has shown, about an agent's endpoint.
struct SlownessHint
{
    double logSlowness = 0;
    BootTime observedAt;
};

/// Observations of recent steps, and the factors derived from them.
struct EndpointSpeeds
{
    std::map<StepName, std::map<int, TaskPace>> steps; ///< by task index; limited in number
    std::map<std::string, double> logSlowness; ///< by agent: natural logarithm of its run times relative to the usual ones, as last derived
    std::map<std::string, SlownessHint> carried; ///< by agent: learned by an earlier scheduler
    std::map<std::string, SlownessHint> bounds; ///< by agent: upper bounds, relative to the endpoint that usually is the slowest of a gang
    BootTime derivedAt;
    bool isChanged = false; ///< there are observations that logSlowness does not reflect yet
};

/// Replaces the observation of the task. Ignores run times of zero or less.
void observePace(EndpointSpeeds &speeds, const StepName &step, int index, const std::string &agent, Milliseconds runTime, BootTime now, double weight = 1);

/// Notes that a gang with a member on the agent's endpoint runs at the pace of @p runTime for all of its work, where @p expected is usual. The members show
/// the pace of the slowest one, so that none of them is slower than that.
void observeGangPace(EndpointSpeeds &speeds, const std::string &agent, Milliseconds runTime, Milliseconds expected, BootTime now);

/// Takes over the relative speed that an earlier scheduler has learned. New observations outweigh it in time.
void carrySpeed(EndpointSpeeds &speeds, const std::string &agent, double speed, BootTime now);

/// Drops the observations of an agent, whose endpoint has been replaced.
void forgetPaces(EndpointSpeeds &speeds, const std::string &agent);

/// Derives the factors anew if there are new observations.
void deriveSpeeds(EndpointSpeeds &speeds, BootTime now);

/// Speed of the agent's endpoint relative to the usual one, which is 1; also 1 if nothing is known. Higher is faster.
double relativeSpeed(const EndpointSpeeds &speeds, const std::string &agent);

} // namespace knapweed::cell
