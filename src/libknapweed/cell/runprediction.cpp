// Weighs the pace that a run shows against the run time expected for its task. Both are uncertain by a factor, so that their logarithms are combined, each with
// the weight of its precision. The first few percent say little, because percentages are whole and reports come at intervals.

#include "cell/runprediction.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr double slowestSpeed = 0.05; ///< bounds the prediction for an endpoint that seems to stand still
constexpr double reportDelayMs = 500; ///< mean age of a percentage: reports come each 500 ms, and state what was read up to 500 ms before
constexpr double reportNoiseMs = 300; ///< standard deviation of that age
constexpr double restoreMs = 400; ///< mean time for which a run that resumes shows no progress, between the 250 and 600 ms of the deployments
constexpr double percentNoise = 0.5; ///< of a whole percentage, for each end of the observed interval
constexpr double paceNoise = 0.08; ///< of the logarithm: the pace of a run varies with the load of its endpoint
constexpr double overdueShare = 0.25; ///< of its age that a run without progress is taken to last at least
constexpr double longestAgeShare = 0.5; ///< at least this share of the age counts as work, so that delays do not exceed it

/// One possibility for the run time of the task: its weight, and the logarithm of the run time relative to the expected one.
struct Possibility
{
    double weight = 0;
    double logFactor = 0;
    double deviation = 0; ///< standard deviation of the logarithm
};

const double logTailFactor = std::log(7.0); ///< 3 of 100 tasks take 7 times as long

/// Usual tasks, the tail, and expected run times that are wrong by up to a factor of ten.
const std::array<Possibility, 3> possibilities = {{{0.92, 0, 0.3}, {0.03, logTailFactor, 0.3}, {0.05, 0, 1.5}}};

Milliseconds rounded(double time)
{
    return Milliseconds(static_cast<std::int64_t>(std::max(0.0, time)));
}

/// Logarithm of the run time, given that the pace shows @p observed with the standard deviation @p noise.
double combined(double expected, double observed, double noise)
{
    double sum = 0;
    double weights = 0;
    double largest = -1e300;
    std::array<double, possibilities.size()> likelihoods {};
    for (std::size_t i = 0; i < possibilities.size(); ++i) {
        const double variance = possibilities[i].deviation * possibilities[i].deviation + noise * noise;
        const double distance = observed - expected - possibilities[i].logFactor;
        likelihoods[i] = std::log(possibilities[i].weight) - distance * distance / (2 * variance) - std::log(variance) / 2;
        largest = std::max(largest, likelihoods[i]);
    }
    for (std::size_t i = 0; i < possibilities.size(); ++i) {
        const double prior = 1 / (possibilities[i].deviation * possibilities[i].deviation);
        const double precision = 1 / (noise * noise);
        const double mean = ((expected + possibilities[i].logFactor) * prior + observed * precision) / (prior + precision);
        const double weight = std::exp(likelihoods[i] - largest);
        sum += weight * mean;
        weights += weight;
    }
    return sum / weights;
}

/// Expected time that remains of @p whole for a run that has shown no progress: for each possibility a few run times, of which only those count that are
/// longer than the age.
double remainingUnseen(double whole, double left, double age)
{
    constexpr std::array<std::pair<double, double>, 7> quantiles = {
        {{-1.5, 0.13}, {-1, 0.24}, {-0.5, 0.35}, {0, 0.4}, {0.5, 0.35}, {1, 0.24}, {1.5, 0.13}}}; // deviation and density of the normal distribution
    double sum = 0;
    double weights = 0;
    for (const Possibility &possibility : possibilities) {
        for (const auto &[deviation, density] : quantiles) {
            const double time = whole * std::exp(possibility.logFactor + deviation * possibility.deviation) * left;
            if (time > age) {
                sum += possibility.weight * density * std::min(time - age, whole * std::exp(logTailFactor));
                weights += possibility.weight * density;
            }
        }
    }
    return weights > 0 ? sum / weights : age / 2; // longer than all that is expected: half as much again
}

} // namespace

Milliseconds remainingTime(const RunProgress &progress, Milliseconds expected, double speed)
{
    const double whole = std::max(1.0, double(expected.count())) / std::max(speed, slowestSpeed);
    const double age = std::max(0.0, double(progress.age.count()));
    const double left = std::max(0, 100 - progress.percent) / 100.0;
    if (left <= 0) {
        return Milliseconds(0);
    }
    const int shown = progress.percent - progress.startPercent;
    const double restore = progress.startPercent > 0 ? restoreMs : 0;
    if (shown <= 0) {
        const double remaining = age < whole * left + restore ? whole * left + restore - age : 0;
        return rounded(std::max({remaining, remainingUnseen(whole, left, age), age * overdueShare}));
    }
    // A run that starts from 0 has done half a percent more than the whole percentage on average; for one that resumes, both ends are rounded.
    const double done = shown + (progress.startPercent > 0 ? 0 : percentNoise);
    const double worked = std::max(age - reportDelayMs - restore, age * longestAgeShare);
    const double observed = std::log(std::max(1.0, worked) * 100 / done);
    const double noise = std::hypot(reportNoiseMs / std::max(1.0, worked), percentNoise / done, paceNoise);
    const double longest = age * 100 / std::max(percentNoise, shown - (progress.startPercent > 0 ? 1.0 : 0.0)); // the percentage was reached within the age
    const double runTime = std::min(longest, std::exp(combined(std::log(whole), observed, noise)));
    return rounded(runTime * left - std::min(age, reportDelayMs));
}

} // namespace knapweed::cell
