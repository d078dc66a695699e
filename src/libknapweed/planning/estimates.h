// Run times learned from what happened, for each account and kind. A declared run time is only believed while nothing has been learned.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweed::planning
{

class RunEstimates
{
public:
    void record(const std::string &account, const std::string &kind, Milliseconds run);

    /// The @p share quantile of the kind's runs.
    Milliseconds quantile(const std::string &account, const std::string &kind, Milliseconds declared, double share) const;

    /// How much longer half of the runs take that have taken @p elapsed.
    Milliseconds remaining(const std::string &account, const std::string &kind, Milliseconds declared, Milliseconds elapsed) const;

private:
    struct Sample
    {
        std::deque<Milliseconds> newest; ///< in order of arrival, at most a fixed number
        std::vector<Milliseconds> sorted; ///< invariant: the same values, sorted
    };

    const Sample *find(const std::string &account, const std::string &kind) const;
    static void add(Sample &sample, Milliseconds run);

    std::unordered_map<std::string, Sample> samples_; ///< by account and kind, and by kind alone
};

} // namespace knapweed::planning
