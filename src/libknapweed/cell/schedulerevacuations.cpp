// The scheduler's part in the evacuation of failure domains: nothing is planned there, and it is observed when nothing runs there any more.

#include "cell/scheduler.h"

#include "base/logging.h"

namespace knapweed::cell
{

void Scheduler::applyEvacuations(const Evacuations &evacuations, BootTime now)
{
    const Evacuations before = evacuations_;
    evacuations_ = merged(before, evacuations);
    if (!options_.servesEvacuations || evacuations_ == before) {
        return;
    }
    isPlanDue_ = true;
    std::erase_if(emptiedDomains_, [this](const std::string &domain) {
        return !isEvacuated(evacuations_, domain);
    });
    std::vector<RunId> withdrawn;
    for (const auto &[agent, endpoint] : endpoints_) {
        for (const auto &[run, allocation] : endpoint.runs) {
            if (allocation.state == Allocation::State::Planned && isInEvacuatedDomain(endpoint)) {
                withdrawn.push_back(run);
            }
        }
    }
    for (const RunId &run : withdrawn) {
        const auto job = jobs_.find(run.task.job);
        Unit *unit = job == jobs_.end() ? nullptr : unitOf(job->second, run.task);
        if (unit != nullptr && unit->run == run.run && !unit->members.empty() && !unit->isStopping) {
            logEvent(LogLevel::Info, "unit.withdrawn", {{"job", run.task.job}, {"step", std::to_string(run.task.step)}, {"run", std::to_string(run.run)}});
            stopUnit(*unit, now);
        }
    }
}

bool Scheduler::isInEvacuatedDomain(const Endpoint &endpoint) const
{
    return options_.servesEvacuations && isEvacuated(evacuations_, endpoint.failureDomain);
}

bool Scheduler::mayPlan() const
{
    return !options_.servesEvacuations || isKnown(evacuations_);
}

std::map<std::string, std::size_t> Scheduler::evacuationRuns() const
{
    std::map<std::string, std::size_t> runs;
    if (!options_.servesEvacuations) {
        return runs;
    }
    for (const auto &[domain, offset] : evacuations_.domains) {
        runs[domain] = 0;
    }
    for (const auto &[agent, endpoint] : endpoints_) {
        const auto found = runs.find(endpoint.failureDomain);
        if (found != runs.end()) {
            found->second += endpoint.runs.size();
        }
    }
    return runs;
}

/// Whether it is still to be observed in some failure domain that nothing runs there any more.
bool Scheduler::isEmptyingDomain() const
{
    return options_.servesEvacuations && emptiedDomains_.size() < evacuations_.domains.size();
}

/// During the recovery, endpoints that have not reported yet may have runs.
void Scheduler::checkEvacuations()
{
    if (isRecovering_) {
        return;
    }
    std::set<std::string> emptied;
    for (const auto &[domain, runs] : evacuationRuns()) {
        if (runs == 0) {
            emptied.insert(domain);
            if (emptiedDomains_.count(domain) == 0) {
                logEvent(LogLevel::Info, "evacuation.empty", {{"domain", domain}, {"offset", std::to_string(evacuations_.domains.at(domain))}});
            }
        }
    }
    emptiedDomains_ = std::move(emptied);
}

} // namespace knapweed::cell
