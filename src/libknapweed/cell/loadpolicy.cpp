// The forecast is an average with exponential decay, so that it needs no history and forgets a burst within its time constant.

#include "cell/loadpolicy.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>

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

bool *mechanismNamed(LoadPolicyOptions &options, const std::string &name)
{
    const std::pair<const char *, bool *> mechanisms[] = {{"reserve", &options.reservesForUrgentWork},
        {"backfill", &options.reservesByPredictedEnds},
        {"victims", &options.weighsVictims},
        {"rack", &options.waitsForRack},
        {"speeds", &options.placesBySpeed},
        {"order", &options.ordersByWorth},
        {"all", &options.plansAllUnits},
        {"leaving", &options.movesGangsOfLeavingEndpoints}};
    for (const auto &[known, field] : mechanisms) {
        if (name == known) {
            return field;
        }
    }
    return nullptr;
}

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
    options.reservesForUrgentWork = true;
    options.reservesByPredictedEnds = true;
    options.weighsVictims = true;
    options.waitsForRack = true;
    options.placesBySpeed = true;
    options.ordersByWorth = true;
    options.plansAllUnits = true;
    options.movesGangsOfLeavingEndpoints = true;
    while (std::getline(words, word, ',')) {
        const bool isOff = !word.empty() && word.front() == '-';
        bool *mechanism = mechanismNamed(options, isOff ? word.substr(1) : word);
        if (mechanism == nullptr) {
            return std::nullopt;
        }
        *mechanism = !isOff;
    }
    return options;
}

bool usesLoadPolicy(const LoadPolicyOptions &options)
{
    LoadPolicyOptions off;
    off.stopTime = options.stopTime;
    off.reclaimTime = options.reclaimTime;
    return !(options == off);
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
