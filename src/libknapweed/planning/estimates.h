// Run time estimates learned from finished runs, by account and kind. Declared run times are used only until enough runs are recorded. Submitters err in both
// directions, so the median of what they declared for a kind is preferred to what one of them declared.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweed::planning
{

class RunEstimates
{
public:
    void record(const std::string &account, const std::string &kind, Milliseconds run);

    /// Adds the run time that a submitter declared. Ignores values of zero or less.
    void declare(const std::string &account, const std::string &kind, Milliseconds declared);

    /// The median of the recorded run times of the kind; none while too few are recorded.
    std::optional<Milliseconds> learned(const std::string &account, const std::string &kind) const;

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

    using Samples = std::unordered_map<std::string, Sample>; ///< keyed by account and kind, and also by kind alone

    static const Sample *find(const Samples &samples, const std::string &account, const std::string &kind);
    Milliseconds prior(const std::string &account, const std::string &kind, Milliseconds declared) const;
    static void add(Sample &sample, Milliseconds run);

    Samples samples_;
    Samples declared_;
};

} // namespace knapweed::planning
