// Run time estimates learned from finished runs, by account and kind. A declared run time is used only until enough runs are recorded.
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

    /// The @p share quantile of the kind's run times.
    Milliseconds quantile(const std::string &account, const std::string &kind, Milliseconds declared, double share) const;

    /// The median remaining time of the runs that take longer than @p elapsed.
    Milliseconds remaining(const std::string &account, const std::string &kind, Milliseconds declared, Milliseconds elapsed) const;

private:
    struct Sample
    {
        std::deque<Milliseconds> newest; ///< in order of arrival, limited in number
        std::vector<Milliseconds> sorted; ///< invariant: the same values, sorted
    };

    const Sample *find(const std::string &account, const std::string &kind) const;
    static void add(Sample &sample, Milliseconds run);

    std::unordered_map<std::string, Sample> samples_; ///< keyed by account and kind, and also by kind alone
};

} // namespace knapweed::planning
