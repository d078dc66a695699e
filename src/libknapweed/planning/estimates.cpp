// Keeps the newest runs of each account and kind. If an account has too few runs of a kind, the runs of all accounts are used.

#include "planning/estimates.h"

#include <algorithm>
#include <cmath>

namespace knapweed::planning
{

namespace
{

constexpr std::size_t maximumSamples = 64; ///< newest runs kept for each account and kind
constexpr std::size_t minimumSamples = 5; ///< with fewer recorded runs the declared run time is used
constexpr Milliseconds defaultRunTime {30000}; ///< of a job without enough recorded runs and without a declared run time
constexpr Milliseconds minimumRunTime {100};
constexpr double highQuantileFactor = 3; ///< from a declared or default run time to its estimated high quantile

std::string sampleKey(const std::string &account, const std::string &kind)
{
    return account + '\n' + kind;
}

Milliseconds scaled(Milliseconds time, double factor)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

void RunEstimates::add(Sample &sample, Milliseconds run)
{
    if (sample.newest.size() == maximumSamples) {
        sample.sorted.erase(std::lower_bound(sample.sorted.begin(), sample.sorted.end(), sample.newest.front()));
        sample.newest.pop_front();
    }
    sample.newest.push_back(run);
    sample.sorted.insert(std::upper_bound(sample.sorted.begin(), sample.sorted.end(), run), run);
}

void RunEstimates::record(const std::string &account, const std::string &kind, Milliseconds run)
{
    const Milliseconds recorded = std::max(run, minimumRunTime);
    add(samples_[sampleKey(account, kind)], recorded);
    add(samples_[sampleKey({}, kind)], recorded);
}

void RunEstimates::declare(const std::string &account, const std::string &kind, Milliseconds declared)
{
    if (declared > Milliseconds::zero()) {
        add(declared_[sampleKey(account, kind)], std::max(declared, minimumRunTime));
        add(declared_[sampleKey({}, kind)], std::max(declared, minimumRunTime));
    }
}

const RunEstimates::Sample *RunEstimates::find(const Samples &samples, const std::string &account, const std::string &kind)
{
    for (const std::string &key : {sampleKey(account, kind), sampleKey({}, kind)}) {
        const auto found = samples.find(key);
        if (found != samples.end() && found->second.sorted.size() >= minimumSamples) {
            return &found->second;
        }
    }
    return nullptr;
}

/// The run time expected without recorded runs.
Milliseconds RunEstimates::prior(const std::string &account, const std::string &kind, Milliseconds declared) const
{
    const Sample *sample = find(declared_, account, kind);
    if (sample != nullptr) {
        return sample->sorted[sample->sorted.size() / 2];
    }
    return declared > Milliseconds::zero() ? std::max(declared, minimumRunTime) : defaultRunTime;
}

std::optional<Milliseconds> RunEstimates::learned(const std::string &account, const std::string &kind) const
{
    const Sample *sample = find(samples_, account, kind);
    return sample == nullptr ? std::nullopt : std::make_optional(sample->sorted[sample->sorted.size() / 2]);
}

Milliseconds RunEstimates::quantile(const std::string &account, const std::string &kind, Milliseconds declared, double share) const
{
    const Sample *sample = find(samples_, account, kind);
    if (sample != nullptr) {
        const std::size_t rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sample->sorted.size())));
        return sample->sorted[std::clamp<std::size_t>(rank, 1, sample->sorted.size()) - 1];
    }
    const Milliseconds expected = prior(account, kind, declared);
    return share > 0.5 ? scaled(expected, highQuantileFactor) : expected;
}

Milliseconds RunEstimates::remaining(const std::string &account, const std::string &kind, Milliseconds declared, Milliseconds elapsed) const
{
    const Sample *sample = find(samples_, account, kind);
    if (sample == nullptr) {
        const Milliseconds expected = prior(account, kind, declared);
        return elapsed < expected ? expected - elapsed : std::max(elapsed / 2, minimumRunTime);
    }
    const auto longer = std::upper_bound(sample->sorted.begin(), sample->sorted.end(), elapsed);
    if (longer == sample->sorted.end()) {
        return std::max(elapsed / 2, minimumRunTime); // longer than any recorded run: expect half as much again
    }
    return *(longer + (sample->sorted.end() - longer) / 2) - elapsed;
}

} // namespace knapweed::planning
