// The forecast is an average with exponential decay, so that it needs no history and forgets a burst within its time constant.

#include "cell/loadpolicy.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

namespace knapweed::cell
{

namespace
{

constexpr double acceleratorCores = 8; ///< cores that one accelerator counts as in the cost of lost work
constexpr double forgetSeconds = 10; ///< time constant of the forecast: longer than a burst of arrivals (3 to 6 s), shorter than a swing of demand
constexpr Milliseconds forecastMargin {600}; ///< a report interval and the store's acknowledgement, in addition to the time of a stop
constexpr double maxReservedShare = 0.25; ///< of the endpoints of a service
constexpr Milliseconds reclaimMargin {500}; ///< from the planned start of a task to the report of its start
constexpr Milliseconds reservationMargin {2000}; ///< lets reports arrive late, and short waits be predicted wrongly
constexpr double repeatedStopFactor = 1; ///< each earlier stop of a unit adds its lost work once more
constexpr double missedObjectiveFactor = 0.25; ///< share of the cost that remains for a unit that misses its objective anyway

double secondsOf(Milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

double decayed(const ArrivalForecast &forecast, BootTime now)
{
    return forecast.rate * std::exp(-std::max(0.0, secondsOf(now - forecast.updatedAt)) / forgetSeconds);
}

/// The switch of each mechanism, by its name in the settings.
const std::map<std::string, bool LoadPolicyOptions::*> mechanisms = {{"reserve", &LoadPolicyOptions::reservesForUrgentWork},
    {"backfill", &LoadPolicyOptions::reservesByPredictedEnds},
    {"victims", &LoadPolicyOptions::weighsVictims},
    {"rack", &LoadPolicyOptions::waitsForRack},
    {"speeds", &LoadPolicyOptions::placesBySpeed},
    {"order", &LoadPolicyOptions::ordersByWorth},
    {"all", &LoadPolicyOptions::plansAllUnits},
    {"leaving", &LoadPolicyOptions::movesGangsOfLeavingEndpoints}};

} // namespace

std::optional<LoadPolicyOptions> parseLoadPolicy(const std::string &text)
{
    LoadPolicyOptions options;
    if (text == "off") {
        return options;
    }
    std::istringstream words(text);
    std::string word;
    if (!std::getline(words, word, ',') || word != "worth") {
        return std::nullopt;
    }
    for (const auto &[name, isOn] : mechanisms) {
        options.*isOn = true;
    }
    while (std::getline(words, word, ',')) {
        const bool isOff = !word.empty() && word.front() == '-';
        const auto mechanism = mechanisms.find(isOff ? word.substr(1) : word);
        if (mechanism == mechanisms.end()) {
            return std::nullopt;
        }
        options.*mechanism->second = !isOff;
    }
    return options;
}

bool usesLoadPolicy(const LoadPolicyOptions &options)
{
    return std::any_of(mechanisms.begin(), mechanisms.end(), [&options](const auto &mechanism) {
        return options.*mechanism.second;
    });
}

double coreEquivalents(const Resources &needs)
{
    return double(needs.milliCores) / 1000 + acceleratorCores * double(needs.accelerators);
}

double dominantShare(const Resources &needs, const Resources &capacity)
{
    const auto share = [](std::int64_t needed, std::int64_t available) {
        return available > 0 ? double(needed) / double(available) : 0;
    };
    return std::max(
        {share(needs.milliCores, capacity.milliCores), share(needs.memoryMib, capacity.memoryMib), share(needs.accelerators, capacity.accelerators)});
}

std::size_t tasksWithin(const Resources &needs, const Resources &capacity)
{
    std::int64_t tasks = std::numeric_limits<std::int32_t>::max();
    for (const auto &[needed, available] : {std::pair(needs.milliCores, capacity.milliCores),
             std::pair(needs.memoryMib, capacity.memoryMib),
             std::pair(needs.accelerators, capacity.accelerators)}) {
        if (needed > 0) {
            tasks = std::min(tasks, std::max<std::int64_t>(0, available) / needed);
        }
    }
    return static_cast<std::size_t>(tasks);
}

void observeArrival(ArrivalForecast &forecast, double size, BootTime now)
{
    forecast.rate = decayed(forecast, now) + size / forgetSeconds;
    forecast.updatedAt = now;
    if (size >= forecast.largest || secondsOf(now - forecast.largestAt) > forgetSeconds) {
        forecast.largest = size;
        forecast.largestAt = now;
    }
}

double reservedEndpoints(const ArrivalForecast &forecast, std::size_t endpoints, const LoadPolicyOptions &options, BootTime now)
{
    if (!options.reservesForUrgentWork || forecast.rate <= 0) {
        return 0;
    }
    const double expected = decayed(forecast, now) * secondsOf(options.stopTime + forecastMargin);
    const double largest = secondsOf(now - forecast.largestAt) > forgetSeconds ? 0 : forecast.largest;
    return std::min(std::max(expected, largest), maxReservedShare * double(endpoints));
}

Milliseconds guaranteedRackWait(Milliseconds runTime, int offRackFactor, const LoadPolicyOptions &options)
{
    const Milliseconds longest = std::max(Milliseconds::zero(), options.reclaimTime - options.stopTime - reclaimMargin);
    return std::min(longest, runTime * (offRackFactor - 1));
}

Milliseconds reservationPeriod(Milliseconds predicted)
{
    return predicted * 2 + reservationMargin;
}

double victimCost(const VictimWork &victim, const LoadPolicyOptions &options)
{
    if (victim.untilDue < victim.remaining) {
        return victim.lost * missedObjectiveFactor;
    }
    const double repeated = victim.lost * (1 + repeatedStopFactor * victim.stops);
    const bool missesObjective = victim.untilDue < victim.remaining + victim.repeated + options.stopTime;
    return missesObjective ? repeated + victim.whole : repeated;
}

} // namespace knapweed::cell
