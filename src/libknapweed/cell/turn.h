// In which order entries try for the scheduler's place when it is free, and to whom it is handed over. Each try has the place dealt anew, so they mustn't all
// try at once; and the scheduler's work grows with the cell, so the place belongs to a process with much of a core.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// An entry that may become the scheduler.
struct TurnCandidate
{
    std::string address;
    std::int32_t processorPermille = 0; ///< thousandths of a core that it may use
};

/// How long @p self waits before it takes a place that it sees free, given the entries that it is connected to. The first in order waits not at all; each
/// later one leaves those before it the time to have taken it.
Milliseconds turnDelay(const TurnCandidate &self, const std::vector<TurnCandidate> &others);

/// Whether one of @p others has so much more of a core than @p self that a hand-over pays.
bool hasBetterCandidate(const TurnCandidate &self, const std::vector<TurnCandidate> &others);

} // namespace knapweed::cell
