// The planner's public functions. The planning rounds are implemented in round.cpp.

#include "planning/planner.h"

#include "planning/round.h"

namespace knapweed::planning
{

struct Planner::Private
{
    PlannerState state;
};

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
    for (const auto &[name, account] : state.policy.accounts) {
        state.accounts.emplace(name, static_cast<AccountIndex>(state.accounts.size()));
    }
    state.inventory.setAccounts(state.accounts);
    for (std::size_t worker = 0; worker < state.inventory.workers().size(); ++worker) {
        state.inventory.setUsable(static_cast<WorkerIndex>(worker), isUsable(state, state.inventory.workers()[worker].report));
    }
}

void Planner::updateWorker(MonotonicTime now, const Worker &worker)
{
    d_->state.inventory.updateWorker(now, worker);
    d_->state.health.update(now, worker.id, {worker.startedTasks, worker.failedTasks, static_cast<std::int64_t>(worker.parts.size())});
    d_->state.inventory.setUsable(d_->state.inventory.find(worker.id), isUsable(d_->state, worker));
}

void Planner::removeWorker(MonotonicTime now, const std::string &worker)
{
    d_->state.inventory.removeWorker(worker);
    d_->state.health.remove(worker);
}

void Planner::addJob(const WaitingJob &job)
{
    d_->state.inventory.removePlanned(job.id);
    d_->state.health.recordFailures(job.id, job.avoidWorkers);
    d_->state.queue.add(job);
}

void Planner::removeJob(const std::string &job)
{
    d_->state.health.removeJob(job);
    d_->state.queue.remove(job);
    d_->state.inventory.removePlanned(job);
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
