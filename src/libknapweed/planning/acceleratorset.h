// Sets of accelerators of one worker as bit masks.
#pragma once

#include <bit>
#include <cstdint>
#include <vector>

namespace knapweed::planning
{

/// Bit n stands for the worker's accelerator n.
using AcceleratorSet = std::uint64_t;

constexpr int maximumAccelerators = 64; ///< per worker, one for each bit of an AcceleratorSet; further ones are not used

inline int countOf(AcceleratorSet set)
{
    return std::popcount(set);
}

/// The accelerators 0 to @p count - 1.
inline AcceleratorSet firstAccelerators(int count)
{
    return count >= maximumAccelerators ? ~AcceleratorSet {0} : (AcceleratorSet {1} << count) - 1;
}

/// The @p count lowest accelerators of @p set, or all of them if it has fewer.
inline AcceleratorSet lowestOf(AcceleratorSet set, int count)
{
    AcceleratorSet lowest = 0;
    for (int taken = 0; taken < count && set != 0; ++taken) {
        lowest |= set & (~set + 1);
        set &= set - 1;
    }
    return lowest;
}

inline AcceleratorSet toSet(const std::vector<int> &accelerators)
{
    AcceleratorSet set = 0;
    for (const int accelerator : accelerators) {
        if (accelerator >= 0 && accelerator < maximumAccelerators) {
            set |= AcceleratorSet {1} << accelerator;
        }
    }
    return set;
}

inline std::vector<int> toList(AcceleratorSet set)
{
    std::vector<int> accelerators;
    for (; set != 0; set &= set - 1) {
        accelerators.push_back(std::countr_zero(set));
    }
    return accelerators;
}

} // namespace knapweed::planning
