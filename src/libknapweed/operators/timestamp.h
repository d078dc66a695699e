// Times that people write and read: UTC in whole seconds, as in RFC 3339.
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace knapweed
{

/// Parses "2026-12-31T00:00:00Z" exactly; years 2000 to 2199.
std::optional<WallTime> parseTimestamp(const std::string &text);

/// The same form; fractions of a second are cut off.
std::string formatTimestamp(WallTime time);

} // namespace knapweed
