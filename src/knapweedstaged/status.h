// Response to GET /v1/status, the operators' overview of accounts, workers and processes. docs/interfaces/operators.md describes the document.
#pragma once

#include "base/clock.h"
#include "base/http.h"
#include "callers/jobregistry.h"
#include "operators/configurationfold.h"
#include "placement/plannerhost.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed
{

struct StatusSources
{
    const ConfigurationFold &configuration;
    const PlannerHost &planner;
    const JobRegistry &jobRegistry;
    std::vector<wire::RosterEntry> roster;
    std::string plannerAddress;
    bool isLogReachable = false;
    std::size_t pendingAppends = 0;
    std::int64_t nextOffset = 0;
};

HttpResponse statusResponse(const StatusSources &sources, WallTime now);

} // namespace knapweed
