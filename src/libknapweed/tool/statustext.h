// The answer of GET /v1/status as text that a person on shift reads at a glance.
#pragma once

#include "base/clock.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace knapweed
{

/// Members that are absent are shown as "-". @p now gives the age of exceptions.
std::string formatStatus(const nlohmann::json &status, WallTime now);

/// "45s", "12m", "3h" or "5d".
std::string formatAge(Seconds age);

} // namespace knapweed
