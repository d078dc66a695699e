// The budgets that the servers of one process share.
#pragma once

#include "base/connectionbudget.h"
#include "base/httpserver.h"
#include "base/metrics.h"
#include "cell/settings.h"

#include <memory>
#include <string>

namespace knapweed
{

struct ProcessBudgets
{
    std::shared_ptr<ConnectionBudget> strangers; ///< of all ports but the peers'
    std::shared_ptr<ConnectionBudget> peers;
    BudgetCounts recordedStrangers; ///< in the metrics
    BudgetCounts recordedPeers;
};

/// @p strangers is the name of their budget in logs and metrics.
ProcessBudgets makeBudgets(const cell::CellSettings &settings, const std::string &strangers);

/// Options of a server that keeps no bodies, unless the caller sets keepsBody.
HttpServerOptions serverOptions(const std::shared_ptr<ConnectionBudget> &budget);

/// Brings the metrics up to date.
void recordBudgets(ProcessBudgets &budgets, Metrics &metrics);

} // namespace knapweed
