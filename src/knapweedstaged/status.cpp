// Sums up the newest reports of the agents.

#include "status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace knapweed
{

namespace
{

using nlohmann::json;

int guaranteedAccelerators(const ClientAccount &account)
{
    int sum = 0;
    for (const GuaranteedShape &shape : account.guarantee) {
        sum += shape.tasks * shape.acceleratorsPerTask;
    }
    return sum;
}

json accountsOf(const StatusSources &sources)
{
    std::map<std::string, int> inUse;
    for (const auto &[agent, report] : sources.planner.reports()) {
        for (const wire::RunningPart &part : report.parts) {
            inUse[part.account] += static_cast<int>(part.accelerators.size());
        }
    }
    json accounts = json::array();
    for (const auto &[name, account] : sources.configuration.configuration().accounts) {
        const int guaranteed = guaranteedAccelerators(account);
        const int used = inUse[name];
        accounts.push_back({{"account", name},
            {"guaranteed", guaranteed},
            {"in_use", used},
            {"beyond_guarantee", std::max(0, used - guaranteed)},
            {"unused_guarantee", std::max(0, guaranteed - used)},
            {"unfinished_jobs", sources.jobRegistry.unfinishedJobs(name)}});
    }
    return accounts;
}

json workersOf(const StatusSources &sources)
{
    json workers = json::array();
    for (const auto &[agent, report] : sources.planner.reports()) {
        std::size_t busy = 0;
        for (const wire::RunningPart &part : report.parts) {
            busy += part.accelerators.size();
        }
        workers.push_back({{"worker", report.worker},
            {"agent", agent},
            {"rack", report.rack},
            {"failure_domain", report.failureDomain},
            {"available", report.available},
            {"endpoint_state", report.endpointState},
            {"accelerators", report.accelerators},
            {"accelerators_in_use", busy},
            {"parts", report.parts.size()},
            {"started_tasks", report.startedTasks},
            {"failed_tasks", report.failedTasks}});
    }
    return workers;
}

json processesOf(const StatusSources &sources)
{
    json processes = json::array();
    for (const wire::RosterEntry &process : sources.roster) {
        processes.push_back({{"address", process.address},
            {"role", process.role == wire::Role::Entry ? "entry" : "agent"},
            {"region", process.region},
            {"failure_domain", process.failureDomain},
            {"planner", process.address == sources.plannerAddress}});
    }
    return processes;
}

json exceptionsOf(const StatusSources &sources, WallTime now)
{
    json exceptions = json::array();
    for (const ConfigurationException &exception : sources.configuration.configuration().exceptions) {
        exceptions.push_back({{"id", exception.id},
            {"subject", exception.subject},
            {"setting", exception.setting},
            {"reason", exception.reason},
            {"author", exception.author},
            {"in_force", isInForce(exception, now)}});
    }
    return exceptions;
}

} // namespace

HttpResponse statusResponse(const StatusSources &sources, WallTime now)
{
    const ConfigurationVersion &version = sources.configuration.current();
    const json document = {{"configuration", {{"version", version.version}, {"author", version.author}}},
        {"accounts", accountsOf(sources)},
        {"workers", workersOf(sources)},
        {"processes", processesOf(sources)},
        {"exceptions", exceptionsOf(sources, now)},
        {"queue", {{"waiting_here", sources.planner.waitingJobs()}, {"unfinished_here", sources.jobRegistry.unfinishedJobs()}}},
        {"log", {{"reachable", sources.isLogReachable}, {"pending_appends", sources.pendingAppends}, {"next_offset", sources.nextOffset}}}};
    return jsonResponse(200, document.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace knapweed
