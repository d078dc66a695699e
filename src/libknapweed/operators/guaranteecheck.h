// Refuses configurations whose guarantees can't all be given: the fleet must hold them together.
#pragma once

#include "operators/configuration.h"
#include "peers/gen/peers_types.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed
{

/// One line for the first guarantee of @p next that the workers of @p reports can't hold beside the others. Empty when all fit, when no worker is known, and
/// when the guarantees are those of @p current: a fleet that has shrunk must not keep operators from changing something else.
std::vector<std::string> checkGuarantees(const Configuration &current, const Configuration &next, const std::map<std::string, wire::AgentReport> &reports);

} // namespace knapweed
