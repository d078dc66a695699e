// Keeps the newest runs of each account and kind; a kind that is new to an account borrows what other accounts have seen.

#include "planning/estimates.h"

#include <algorithm>
#include <cmath>

namespace knapweed::planning
{

namespace
{

constexpr std::size_t sampleLimit = 64;
constexpr std::size_t enoughSamples = 5;
constexpr Milliseconds unknownRun {30000};
constexpr Milliseconds shortestRun {100};
constexpr double declaredSpread = 3; ///< the high quantile of a run known only by its declaration, as a multiple

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
    if (sample.newest.size() == sampleLimit) {
        sample.sorted.erase(std::lower_bound(sample.sorted.begin(), sample.sorted.end(), sample.newest.front()));
        sample.newest.pop_front();
    }
    sample.newest.push_back(run);
    sample.sorted.insert(std::upper_bound(sample.sorted.begin(), sample.sorted.end(), run), run);
}

void RunEstimates::record(const std::string &account, const std::string &kind, Milliseconds run)
{
    const Milliseconds counted = std::max(run, shortestRun);
    add(samples_[sampleKey(account, kind)], counted);
    add(samples_[sampleKey({}, kind)], counted);
}

const RunEstimates::Sample *RunEstimates::find(const std::string &account, const std::string &kind) const
{
    for (const std::string &key : {sampleKey(account, kind), sampleKey({}, kind)}) {
        const auto found = samples_.find(key);
        if (found != samples_.end() && found->second.sorted.size() >= enoughSamples) {
            return &found->second;
        }
    }
    return nullptr;
}

Milliseconds RunEstimates::quantile(const std::string &account, const std::string &kind, Milliseconds declared, double share) const
{
    const Sample *sample = find(account, kind);
    if (sample != nullptr) {
        const std::size_t rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sample->sorted.size())));
        return sample->sorted[std::clamp<std::size_t>(rank, 1, sample->sorted.size()) - 1];
    }
    const Milliseconds prior = declared > Milliseconds::zero() ? std::max(declared, shortestRun) : unknownRun;
    return share > 0.5 ? scaled(prior, declaredSpread) : prior;
}

Milliseconds RunEstimates::remaining(const std::string &account, const std::string &kind, Milliseconds declared, Milliseconds elapsed) const
{
    const Sample *sample = find(account, kind);
    if (sample == nullptr) {
        const Milliseconds prior = declared > Milliseconds::zero() ? declared : unknownRun;
        return elapsed < prior ? prior - elapsed : std::max(elapsed / 2, shortestRun);
    }
    const auto longer = std::upper_bound(sample->sorted.begin(), sample->sorted.end(), elapsed);
    if (longer == sample->sorted.end()) {
        return std::max(elapsed / 2, shortestRun); // longer than any known run: expect half as much again
    }
    return *(longer + (sample->sorted.end() - longer) / 2) - elapsed;
}

} // namespace knapweed::planning
