// Alternates between the usual run time of each step, given the slowness of the endpoints, and the slowness of each endpoint, given the usual run times. Both
// are robust means, because a few tasks in a hundred take several times as long as their siblings.

#include "cell/endpointspeeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace knapweed::cell
{

namespace
{

constexpr std::size_t maxPacedSteps = 128; ///< bounds memory and the time of a derivation
constexpr int derivationRounds = 5; ///< alternations; the factors change little after that
constexpr double usualPriorWeight = 1.5; ///< observations of usual speed that each endpoint starts with, against chance differences between tasks
constexpr double minPriorWeight = 0.4; ///< on a fleet with a deviation of the logarithm of speeds of 0.4
constexpr double maxPriorWeight = 4; ///< on a fleet of nearly equal endpoints
constexpr std::size_t minComparedAgents = 6; ///< fewer don't show how much the speeds of the fleet differ
constexpr double taskVariance = 0.0625; ///< of the logarithm of run times within one step on one endpoint: a standard deviation of 0.25
constexpr double outlierDistance = 1.4; ///< difference of logarithms from which an observation counts nothing: a task that takes 7 times as long has 1.9
constexpr double minComparedWeight = 0.5; ///< observations of an endpoint; fewer don't show its speed
constexpr double medianOfSquares = 0.455; ///< median of the squares of normally distributed values of variance 1
constexpr int reweightingRounds = 2; ///< of a robust mean
constexpr double carriedWeight = 6; ///< observations that the speed learned by an earlier scheduler counts as
constexpr double boundMargin = 0.3; ///< by which the pace of a gang may be higher by chance; a logarithm
constexpr Seconds paceHalfLife {20}; ///< after which an observation counts half: longer than most slow phases, so that they fade
constexpr Seconds hintHalfLife {60}; ///< the same for carried speeds and bounds
constexpr Milliseconds derivationInterval {1000}; ///< between derivations, which take milliseconds on a large fleet

struct Sample
{
    double value = 0;
    double weight = 0;
};

/// An endpoint's prior: its slowness before any observation, and the number of observations that it counts as.
struct Prior
{
    double slowness = 0;
    double weight = usualPriorWeight;
};

using Slowness = std::map<std::string, double>;

double fadedWeight(BootTime observedAt, Seconds halfLife, BootTime now)
{
    return std::exp2(-std::chrono::duration<double>(now - observedAt) / std::chrono::duration<double>(halfLife));
}

double slownessOf(const Slowness &logSlowness, const std::string &agent)
{
    const auto found = logSlowness.find(agent);
    return found == logSlowness.end() ? 0 : found->second;
}

double weightedMedian(std::vector<Sample> &samples)
{
    std::sort(samples.begin(), samples.end(), [](const Sample &left, const Sample &right) {
        return left.value < right.value;
    });
    double total = 0;
    for (const Sample &sample : samples) {
        total += sample.weight;
    }
    double sum = 0;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        sum += samples[i].weight;
        if (sum * 2 > total) {
            return samples[i].value;
        }
        if (sum * 2 == total && i + 1 < samples.size()) {
            return (samples[i].value + samples[i + 1].value) / 2;
        }
    }
    return samples.empty() ? 0 : samples.back().value;
}

/// Mean in which samples far from the rest count little (Tukey's biweight). @p prior always counts in full.
double robustMean(const std::vector<Sample> &samples, const Prior &prior)
{
    std::vector<Sample> all = samples; // with the prior
    if (prior.weight > 0) {
        all.push_back({prior.slowness, std::max(prior.weight, usualPriorWeight)}); // so that a single sample is not the center
    }
    double center = weightedMedian(all);
    for (int round = 0; round < reweightingRounds; ++round) {
        double sum = prior.slowness * prior.weight;
        double weights = prior.weight;
        for (const Sample &sample : samples) {
            const double distance = (sample.value - center) / outlierDistance;
            const double factor = std::max(0.0, 1 - distance * distance);
            sum += sample.value * sample.weight * factor * factor;
            weights += sample.weight * factor * factor;
        }
        center = weights > 0 ? sum / weights : center;
    }
    return center;
}

/// The weight of usual speed as a prior, from how much the endpoints differ beyond what their tasks differ by chance. Rests on the median endpoint, because a
/// few have run tasks of the tail.
double priorWeightOf(const std::map<std::string, std::vector<Sample>> &deviations)
{
    std::vector<double> ratios; // of squared deviations to those expected by chance
    double weights = 0;
    for (const auto &[agent, samples] : deviations) {
        double weight = 0;
        for (const Sample &sample : samples) {
            weight += sample.weight;
        }
        if (weight >= minComparedWeight) {
            const double mean = robustMean(samples, {0, 0});
            ratios.push_back(mean * mean * weight / taskVariance);
            weights += weight;
        }
    }
    if (ratios.size() < minComparedAgents) {
        return usualPriorWeight;
    }
    const std::vector<double>::iterator middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    const double excess = *middle / medianOfSquares - 1;
    return excess > 0 ? std::clamp(weights / double(ratios.size()) / excess, minPriorWeight, maxPriorWeight) : maxPriorWeight;
}

/// The deviations of each agent's observations from the usual run times of their steps.
std::map<std::string, std::vector<Sample>> deviationsOf(const EndpointSpeeds &speeds, const Slowness &logSlowness, BootTime now)
{
    std::map<std::string, std::vector<Sample>> deviations;
    for (const auto &[step, paces] : speeds.steps) {
        if (paces.size() < 2) {
            continue;
        }
        std::vector<Sample> usual;
        usual.reserve(paces.size());
        for (const auto &[index, pace] : paces) {
            usual.push_back({pace.logSeconds - slownessOf(logSlowness, pace.agent), pace.weight});
        }
        const double level = robustMean(usual, {0, 0});
        const double share = double(paces.size() - 1) / double(paces.size()); // the task is itself part of what it is compared with
        for (const auto &[index, pace] : paces) {
            const double weight = share * pace.weight * fadedWeight(pace.observedAt, paceHalfLife, now);
            deviations[pace.agent].push_back({pace.logSeconds - level, weight});
        }
    }
    return deviations;
}

/// No member of a gang is slower than its pace shows, compared with the slowest endpoints, which usually determine the pace of a gang.
void applyBounds(const EndpointSpeeds &speeds, Slowness &logSlowness, BootTime now)
{
    double slowest = 0;
    for (const auto &[agent, slowness] : logSlowness) {
        slowest = std::max(slowest, slowness);
    }
    for (const auto &[agent, bound] : speeds.bounds) {
        const auto found = logSlowness.find(agent);
        if (found != logSlowness.end() && now - bound.observedAt < hintHalfLife) {
            found->second = std::min(found->second, std::max(bound.logSlowness + slowest + boundMargin, 0.0));
        }
    }
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

void observePace(EndpointSpeeds &speeds, const StepName &step, int index, const std::string &agent, Milliseconds runTime, BootTime now, double weight)
{
    if (runTime <= Milliseconds::zero()) {
        return;
    }
    if (speeds.steps.count(step) == 0 && speeds.steps.size() >= maxPacedSteps) {
        dropOldestStep(speeds);
    }
    speeds.steps[step][index] = {agent, std::log(std::chrono::duration<double>(runTime).count()), weight, now};
    speeds.isChanged = true;
}

void observeGangPace(EndpointSpeeds &speeds, const std::string &agent, Milliseconds runTime, Milliseconds expected, BootTime now)
{
    if (runTime <= Milliseconds::zero() || expected <= Milliseconds::zero()) {
        return;
    }
    const double bound = std::log(double(runTime.count()) / double(expected.count()));
    const auto found = speeds.bounds.find(agent);
    if (found == speeds.bounds.end() || bound < found->second.logSlowness || now - found->second.observedAt >= hintHalfLife) {
        speeds.bounds[agent] = {bound, now};
        speeds.isChanged = true;
    }
}

void carrySpeed(EndpointSpeeds &speeds, const std::string &agent, double speed, BootTime now)
{
    if (speed > 0) {
        speeds.carried[agent] = {-std::log(speed), now};
        speeds.logSlowness[agent] = -std::log(speed);
    }
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
    speeds.carried.erase(agent);
    speeds.bounds.erase(agent);
}

void deriveSpeeds(EndpointSpeeds &speeds, BootTime now)
{
    if (!speeds.isChanged || now - speeds.derivedAt < derivationInterval) {
        return;
    }
    speeds.isChanged = false;
    speeds.derivedAt = now;
    Slowness logSlowness;
    for (const auto &[agent, carried] : speeds.carried) {
        logSlowness[agent] = carried.logSlowness;
    }
    for (int round = 0; round < derivationRounds; ++round) {
        const std::map<std::string, std::vector<Sample>> deviations = deviationsOf(speeds, logSlowness, now);
        const double priorWeight = priorWeightOf(deviations);
        for (const auto &[agent, samples] : deviations) {
            Prior prior {0, priorWeight};
            const auto carried = speeds.carried.find(agent);
            if (carried != speeds.carried.end()) {
                const double faded = fadedWeight(carried->second.observedAt, hintHalfLife, now);
                prior.weight = priorWeight + carriedWeight * faded;
                prior.slowness = carried->second.logSlowness * carriedWeight * faded / prior.weight;
            }
            logSlowness[agent] = robustMean(samples, prior);
        }
    }
    applyBounds(speeds, logSlowness, now);
    speeds.logSlowness = std::move(logSlowness);
}

double relativeSpeed(const EndpointSpeeds &speeds, const std::string &agent)
{
    return std::exp(-slownessOf(speeds.logSlowness, agent));
}

} // namespace knapweed::cell
