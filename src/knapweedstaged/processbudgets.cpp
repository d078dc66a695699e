// Budgets from the settings and the limits of the process, and their metrics.

#include "processbudgets.h"

#include <algorithm>
#include <sys/resource.h>

namespace knapweed
{

namespace
{

/// The descriptors that the process may really open, whatever its settings say; 0 if neither is known.
std::int64_t usableDescriptors(std::int64_t configured)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return configured;
    }
    const std::int64_t allowed = static_cast<std::int64_t>(limit.rlim_cur);
    return configured > 0 ? std::min(configured, allowed) : std::min(defaultDescriptors, allowed);
}

void record(const ConnectionBudget &budget, BudgetCounts &recorded, Metrics &metrics)
{
    const MetricLabels labels {{"budget", budget.name()}};
    const BudgetCounts &counts = budget.counts();
    metrics.set("connections_open", double(budget.connections()), labels);
    metrics.set("connections_limit", double(budget.limits().connections), labels);
    metrics.set("connection_bytes_used", double(budget.usedBytes()), labels);
    metrics.set("connection_bytes_limit", double(budget.limits().bytes), labels);
    metrics.increment("connections_refused_total", labels, double(counts.refusedConnections - recorded.refusedConnections));
    metrics.increment("requests_over_budget_total", labels, double(counts.refusedRequests - recorded.refusedRequests));
    metrics.increment("connections_evicted_total", labels, double(counts.evictedConnections - recorded.evictedConnections));
    metrics.increment("connections_expired_total", labels, double(counts.expiredConnections - recorded.expiredConnections));
    recorded = counts;
}

} // namespace

ProcessBudgets makeBudgets(const cell::CellSettings &settings, const std::string &strangers)
{
    const ProcessLimits limits = limitsOf(settings.memoryMib, usableDescriptors(settings.maximumDescriptors));
    ProcessBudgets budgets;
    budgets.strangers = std::make_shared<ConnectionBudget>(strangers, limits.strangers);
    budgets.peers = std::make_shared<ConnectionBudget>("peers", limits.peers);
    return budgets;
}

HttpServerOptions serverOptions(const std::shared_ptr<ConnectionBudget> &budget)
{
    HttpServerOptions options;
    options.budget = budget;
    options.peerBudget = budget;
    options.keepsBody = [](const HttpRequest &) {
        return false;
    };
    return options;
}

void recordBudgets(ProcessBudgets &budgets, Metrics &metrics)
{
    record(*budgets.strangers, budgets.recordedStrangers, metrics);
    record(*budgets.peers, budgets.recordedPeers, metrics);
}

} // namespace knapweed
