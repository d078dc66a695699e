// Rejects configurations whose guarantees exceed the fleet: the workers must have capacity for all guarantees at the same time.
#pragma once

#include "operators/configuration.h"
#include "peers/gen/peers_types.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed
{

/// Returns one error line for the first guarantee of @p next that can't be placed on the workers of @p reports together with the others. Returns no line when
/// all fit, when no worker is known, or when @p next adds or changes no guarantee of @p current: a fleet that has shrunk must not block unrelated changes.
std::vector<std::string> checkGuarantees(const Configuration &current, const Configuration &next, const std::map<std::string, wire::AgentReport> &reports);

} // namespace knapweed
