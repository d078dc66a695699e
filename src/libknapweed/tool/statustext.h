// Formats the answer of GET /v1/status as a text overview for operators.
#pragma once

#include "base/clock.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace knapweed
{

/// Formats @p status. Absent members are shown as "-". The ages of exceptions are relative to @p now.
std::string formatStatus(const nlohmann::json &status, WallTime now);

/// Formats an age as "45s", "12m", "3h" or "5d".
std::string formatAge(Seconds age);

} // namespace knapweed
