// Checks with the planning code whether the guarantees fit the known workers.

#include "operators/guaranteecheck.h"

#include "planning/reservationmap.h"

namespace knapweed
{

namespace
{

planning::Shape shapeOf(const GuaranteedShape &guaranteed)
{
    static const std::map<wire::Adjacency::type, planning::Adjacency> adjacencies {
        {wire::Adjacency::None, planning::Adjacency::None},
        {wire::Adjacency::Worker, planning::Adjacency::Worker},
        {wire::Adjacency::Rack, planning::Adjacency::Rack},
    };
    planning::Shape shape;
    shape.tasks = guaranteed.tasks;
    shape.acceleratorsPerTask = guaranteed.acceleratorsPerTask;
    shape.adjacency = adjacencies.at(guaranteed.adjacency);
    return shape;
}

planning::Policy policyOf(const Configuration &configuration)
{
    planning::Policy policy;
    for (const auto &[name, account] : configuration.accounts) {
        planning::AccountPolicy &accountPolicy = policy.accounts[name];
        for (const GuaranteedShape &guaranteed : account.guarantee) {
            accountPolicy.guarantee.push_back(shapeOf(guaranteed));
        }
    }
    return policy;
}

std::vector<planning::Worker> workersOf(const std::map<std::string, wire::AgentReport> &reports)
{
    std::vector<planning::Worker> workers;
    for (const auto &[agent, report] : reports) {
        planning::Worker &worker = workers.emplace_back();
        worker.id = report.worker;
        worker.rack = report.rack;
        worker.failureDomain = report.failureDomain;
        worker.region = report.region;
        worker.accelerators = report.accelerators;
    }
    return workers;
}

/// Whether @p next adds or changes no guarantee of @p current. Removing an account's guarantees always fits.
bool keepsGuarantees(const Configuration &current, const Configuration &next)
{
    for (const auto &[name, account] : next.accounts) {
        const std::map<std::string, ClientAccount>::const_iterator previous = current.accounts.find(name);
        const std::vector<GuaranteedShape> before = previous == current.accounts.end() ? std::vector<GuaranteedShape>() : previous->second.guarantee;
        if (account.guarantee != before && !account.guarantee.empty()) {
            return false;
        }
    }
    return true;
}

} // namespace

std::vector<std::string> checkGuarantees(const Configuration &current, const Configuration &next, const std::map<std::string, wire::AgentReport> &reports)
{
    if (reports.empty() || keepsGuarantees(current, next)) {
        return {};
    }
    const std::string fault = planning::unplaceableGuarantee(policyOf(next), workersOf(reports));
    return fault.empty() ? std::vector<std::string>() : std::vector<std::string> {fault};
}

} // namespace knapweed
