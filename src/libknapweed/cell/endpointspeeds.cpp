// Alternates between the usual run time of each step, given the slowness of the endpoints, and the slowness of each endpoint, given the usual run times.

#include "cell/endpointspeeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace knapweed::cell
{

namespace
{

constexpr std::size_t maxPacedSteps = 128; ///< bounds memory and the time of a derivation
constexpr int derivationRounds = 4; ///< alternations; the factors change little after that
constexpr double priorWeight = 1.5; ///< observations of usual speed that each endpoint starts with, against chance differences between tasks
constexpr Seconds paceHalfLife {20}; ///< after which an observation counts half: longer than most slow phases, so that they fade
constexpr Milliseconds derivationInterval {1000}; ///< between derivations, which take milliseconds on a large fleet

double weightOf(const TaskPace &pace, BootTime now)
{
    return std::exp2(-std::chrono::duration<double>(now - pace.observedAt) / std::chrono::duration<double>(paceHalfLife));
}

double slownessOf(const std::map<std::string, double> &logSlowness, const std::string &agent)
{
    const auto found = logSlowness.find(agent);
    return found == logSlowness.end() ? 0 : found->second;
}

void dropOldestStep(EndpointSpeeds &speeds)
{
    const auto newest = [](const auto &step) {
        BootTime time;
        for (const auto &[index, pace] : step.second) {
            time = std::max(time, pace.observedAt);
        }
        return time;
    };
    speeds.steps.erase(std::min_element(speeds.steps.begin(), speeds.steps.end(), [&newest](const auto &left, const auto &right) {
        return newest(left) < newest(right);
    }));
}

} // namespace

void observePace(EndpointSpeeds &speeds, const StepName &step, int index, const std::string &agent, Milliseconds runTime, BootTime now)
{
    if (runTime <= Milliseconds::zero()) {
        return;
    }
    if (speeds.steps.count(step) == 0 && speeds.steps.size() >= maxPacedSteps) {
        dropOldestStep(speeds);
    }
    speeds.steps[step][index] = {agent, std::log(std::chrono::duration<double>(runTime).count()), now};
    speeds.isChanged = true;
}

void forgetPaces(EndpointSpeeds &speeds, const std::string &agent)
{
    for (auto &[step, paces] : speeds.steps) {
        std::erase_if(paces, [&agent](const auto &pace) {
            return pace.second.agent == agent;
        });
    }
    std::erase_if(speeds.steps, [](const auto &step) {
        return step.second.empty();
    });
    speeds.logSlowness.erase(agent);
}

void deriveSpeeds(EndpointSpeeds &speeds, BootTime now)
{
    if (!speeds.isChanged || now - speeds.derivedAt < derivationInterval) {
        return;
    }
    speeds.isChanged = false;
    speeds.derivedAt = now;
    std::map<std::string, double> logSlowness;
    for (int round = 0; round < derivationRounds; ++round) {
        std::map<std::string, std::pair<double, double>> sums; // by agent: weighted sum of deviations, and sum of weights
        for (const auto &[step, paces] : speeds.steps) {
            if (paces.size() < 2) {
                continue;
            }
            double usual = 0;
            for (const auto &[index, pace] : paces) {
                usual += (pace.logSeconds - slownessOf(logSlowness, pace.agent)) / double(paces.size());
            }
            for (const auto &[index, pace] : paces) {
                const double weight = weightOf(pace, now);
                auto &[sum, weights] = sums[pace.agent];
                sum += weight * (pace.logSeconds - usual);
                weights += weight;
            }
        }
        for (const auto &[agent, sum] : sums) {
            logSlowness[agent] = sum.first / (sum.second + priorWeight);
        }
    }
    speeds.logSlowness = std::move(logSlowness);
}

double relativeSpeed(const EndpointSpeeds &speeds, const std::string &agent)
{
    return std::exp(-slownessOf(speeds.logSlowness, agent));
}

} // namespace knapweed::cell
