// In which order entries try for the scheduler's place when it is free. Each try has the place dealt anew, so they mustn't all try at once.
#pragma once

#include "base/clock.h"

#include <string>
#include <vector>

namespace knapweed::cell
{

/// How long @p self waits before it takes a place that it sees free, given the entries that it is connected to. The first in order waits not at all; each
/// later one leaves those before it the time to have taken it.
Milliseconds turnDelay(const std::string &self, const std::vector<std::string> &others);

} // namespace knapweed::cell
