// Time stamps in configurations: UTC in whole seconds, in the format of RFC 3339.
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace knapweed
{

/// Parses exactly the form "2026-12-31T00:00:00Z", for the years 2000 to 2199.
std::optional<WallTime> parseTimestamp(const std::string &text);

/// Formats in the form that parseTimestamp() reads. Fractions of a second are truncated.
std::string formatTimestamp(WallTime time);

} // namespace knapweed
