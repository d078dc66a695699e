// The planner's public functions; a round's work is in round.cpp.

#include "planning/planner.h"

#include "planning/round.h"

#include <algorithm>

namespace knapweed::planning
{

struct Planner::Private
{
    PlannerState state;

    bool isUsable(const Worker &worker) const;
};

bool Planner::Private::isUsable(const Worker &worker) const
{
    const std::vector<std::string> &excluded = state.policy.excludedWorkers;
    return worker.available && std::find(excluded.begin(), excluded.end(), worker.id) == excluded.end();
}

Planner::Planner()
    : d_(std::make_unique<Private>())
{
}

Planner::~Planner() = default;

void Planner::setPolicy(Policy policy)
{
    PlannerState &state = d_->state;
    state.policy = std::move(policy);
    state.isLayoutStale = true;
    state.accounts.clear();
    state.totalWeight = 0;
    for (const auto &[name, account] : state.policy.accounts) {
        state.accounts.emplace(name, static_cast<AccountIndex>(state.accounts.size()));
        state.totalWeight += account.weight;
    }
    state.inventory.setAccounts(state.accounts);
    for (std::size_t worker = 0; worker < state.inventory.workers().size(); ++worker) {
        state.inventory.setUsable(static_cast<WorkerIndex>(worker), d_->isUsable(state.inventory.workers()[worker].report));
    }
}

void Planner::updateWorker(MonotonicTime now, const Worker &worker)
{
    d_->state.inventory.updateWorker(now, worker);
    d_->state.inventory.setUsable(d_->state.inventory.find(worker.id), d_->isUsable(worker));
}

void Planner::removeWorker(MonotonicTime now, const std::string &worker)
{
    d_->state.inventory.removeWorker(worker);
}

void Planner::addJob(const WaitingJob &job)
{
    d_->state.inventory.dropPlanned(job.id);
    d_->state.queue.add(job);
}

void Planner::removeJob(const std::string &job)
{
    d_->state.queue.remove(job);
    d_->state.inventory.dropPlanned(job);
}

std::size_t Planner::waitingJobs() const
{
    return d_->state.queue.size();
}

void Planner::recordRun(const std::string &account, const std::string &kind, Milliseconds run)
{
    d_->state.estimates.record(account, kind, run);
}

std::vector<Decision> Planner::decide(MonotonicTime now)
{
    return Round(d_->state, now).run();
}

bool Planner::canEverHold(const Shape &shape) const
{
    return fleetCanHold(d_->state.inventory, shape);
}

std::string Planner::waitReason(const std::string &job) const
{
    const JobClass *jobClass = d_->state.queue.classOf(job);
    return jobClass == nullptr ? std::string {} : jobClass->waitReason;
}

} // namespace knapweed::planning
