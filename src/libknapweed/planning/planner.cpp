// Joins the parts of the planner: each round walks the classes of waiting jobs in order and places what fits.

#include "planning/planner.h"

#include "planning/estimates.h"
#include "planning/inventory.h"
#include "planning/jobqueue.h"
#include "planning/placement.h"
#include "planning/roundorder.h"

#include <algorithm>

namespace knapweed::planning
{

namespace
{

constexpr Milliseconds plannedExpiry {3000}; ///< how long a placement is believed without a report
constexpr Milliseconds settleTime {2000}; ///< after a worker joined, shapes that don't fit are not refused yet
constexpr std::size_t decisionLimit = 2000; ///< of one round
constexpr double medianShare = 0.5;
constexpr double lateShare = 0.9; ///< of a kind's runs end by the time that backfill counts with

} // namespace

struct Planner::Private
{
    Policy policy;
    std::map<std::string, AccountIndex> accounts;
    Inventory inventory;
    JobQueue queue;
    RunEstimates estimates;
    double totalWeight = 0;
    int fleetAccelerators = 0;
    std::uint64_t countedMembership = 0; ///< Inventory::membership() for which fleetAccelerators holds

    AccountIndex account(const std::string &name) const;
    bool isUsable(const Worker &worker) const;
    std::vector<RankedClass> rank(MonotonicTime now);
    double overuse(const std::string &name) const;
    void countFleet();
    bool refuseWhatNeverFits(MonotonicTime now, JobClass &jobClass, std::vector<Decision> &decisions);
    void placeClass(MonotonicTime now, const std::string &key, std::vector<Decision> &decisions);
    bool placeFront(MonotonicTime now, JobClass &jobClass, std::vector<Decision> &decisions);
    std::vector<WorkerIndex> avoided(const WaitingJob &job) const;
    Place makePlace(const WaitingJob &job, const std::vector<PlannedPart> &parts) const;
};

AccountIndex Planner::Private::account(const std::string &name) const
{
    const auto found = accounts.find(name);
    return found == accounts.end() ? noIndex : found->second;
}

bool Planner::Private::isUsable(const Worker &worker) const
{
    return worker.available && std::find(policy.excludedWorkers.begin(), policy.excludedWorkers.end(), worker.id) == policy.excludedWorkers.end();
}

void Planner::Private::countFleet()
{
    if (countedMembership == inventory.membership()) {
        return;
    }
    countedMembership = inventory.membership();
    fleetAccelerators = 0;
    for (const WorkerState &worker : inventory.workers()) {
        fleetAccelerators += worker.usable ? countOf(worker.all) : 0;
    }
}

double Planner::Private::overuse(const std::string &name) const
{
    const auto found = policy.accounts.find(name);
    if (found == policy.accounts.end() || found->second.weight <= 0 || fleetAccelerators == 0) {
        return 0;
    }
    const double fairShare = found->second.weight / totalWeight * fleetAccelerators;
    return std::max(0.0, inventory.acceleratorsOf(account(name)) / fairShare - 1);
}

std::vector<RankedClass> Planner::Private::rank(MonotonicTime now)
{
    countFleet();
    std::vector<RankedClass> ranked;
    ranked.reserve(queue.classes().size());
    for (const std::unique_ptr<JobClass> &jobClass : queue.classes()) {
        const WaitingJob &job = jobClass->front();
        const Milliseconds run = estimates.quantile(job.account, job.kind, job.declaredRun, medianShare);
        ranked.push_back({jobClass->key, job.urgent, false, priorityOf(job, now, run, overuse(job.account)), job.enqueuedAt});
    }
    sortByRank(ranked);
    return ranked;
}

bool Planner::Private::refuseWhatNeverFits(MonotonicTime now, JobClass &jobClass, std::vector<Decision> &decisions)
{
    const bool isSettled = inventory.membership() > 0 && now >= inventory.lastJoin() + settleTime;
    if (!isSettled || jobClass.fitCheckedAt == inventory.membership()) {
        return false;
    }
    jobClass.fitCheckedAt = inventory.membership();
    if (fleetCanHold(inventory, jobClass.front().shape)) {
        return false;
    }
    std::vector<std::string> jobs;
    for (const auto &[time, job] : jobClass.jobs) {
        jobs.push_back(job.id);
    }
    for (const std::string &job : jobs) {
        decisions.push_back(Refuse {job, "no worker, rack or fleet of this size could ever hold the shape"});
        queue.remove(job);
    }
    return true;
}

std::vector<WorkerIndex> Planner::Private::avoided(const WaitingJob &job) const
{
    std::vector<WorkerIndex> workers;
    for (const std::string &worker : job.avoidWorkers) {
        workers.push_back(inventory.find(worker));
    }
    return workers;
}

Place Planner::Private::makePlace(const WaitingJob &job, const std::vector<PlannedPart> &parts) const
{
    Place place {job.id, {}, false};
    const AccountIndex owner = account(job.account);
    for (const PlannedPart &part : parts) {
        const WorkerState &worker = inventory.workers()[part.worker];
        place.members.push_back({worker.report.id, worker.report.agent, toList(part.accelerators)});
        place.borrowed = place.borrowed || (part.accelerators & reservedForOthers(worker, owner)) != 0;
    }
    return place;
}

bool Planner::Private::placeFront(MonotonicTime now, JobClass &jobClass, std::vector<Decision> &decisions)
{
    const WaitingJob &job = jobClass.front();
    Search search;
    search.job = &job;
    search.ground.account = account(job.account);
    search.ground.mayBorrow = isPreemptible(job);
    search.estimatedEnd = now + estimates.quantile(job.account, job.kind, job.declaredRun, lateShare);
    search.avoid = avoided(job);
    const std::vector<PlannedPart> parts = findPlace(inventory, search);
    if (parts.empty()) {
        return false;
    }
    decisions.push_back(makePlace(job, parts));
    inventory.plan(now, now + plannedExpiry, job, search.ground.account, parts);
    const std::string id = job.id;
    queue.remove(id);
    return true;
}

void Planner::Private::placeClass(MonotonicTime now, const std::string &key, std::vector<Decision> &decisions)
{
    while (decisions.size() < decisionLimit) {
        JobClass *jobClass = queue.classByKey(key);
        if (jobClass == nullptr || (jobClass->hasBeenTried && jobClass->triedAt == inventory.releases())) {
            return;
        }
        if (!placeFront(now, *jobClass, decisions)) {
            jobClass->hasBeenTried = true;
            jobClass->triedAt = inventory.releases();
            jobClass->waitReason = "no free accelerators that fit the shape";
            return;
        }
    }
}

Planner::Planner()
    : d_(std::make_unique<Private>())
{
}

Planner::~Planner() = default;

void Planner::setPolicy(Policy policy)
{
    d_->policy = std::move(policy);
    d_->accounts.clear();
    d_->totalWeight = 0;
    for (const auto &[name, account] : d_->policy.accounts) {
        d_->totalWeight += account.weight;
        d_->accounts.emplace(name, static_cast<AccountIndex>(d_->accounts.size()));
    }
    d_->inventory.setAccounts(d_->accounts);
    for (std::size_t worker = 0; worker < d_->inventory.workers().size(); ++worker) {
        const WorkerState &state = d_->inventory.workers()[worker];
        d_->inventory.setUsable(static_cast<WorkerIndex>(worker), d_->isUsable(state.report));
    }
}

void Planner::updateWorker(MonotonicTime now, const Worker &worker)
{
    d_->inventory.updateWorker(now, worker);
    d_->inventory.setUsable(d_->inventory.find(worker.id), d_->isUsable(worker));
}

void Planner::removeWorker(MonotonicTime now, const std::string &worker)
{
    d_->inventory.removeWorker(worker);
}

void Planner::addJob(const WaitingJob &job)
{
    d_->inventory.dropPlanned(job.id);
    d_->queue.add(job);
}

void Planner::removeJob(const std::string &job)
{
    d_->queue.remove(job);
    d_->inventory.dropPlanned(job);
}

std::size_t Planner::waitingJobs() const
{
    return d_->queue.size();
}

void Planner::recordRun(const std::string &account, const std::string &kind, Milliseconds run)
{
    d_->estimates.record(account, kind, run);
}

std::vector<Decision> Planner::decide(MonotonicTime now)
{
    std::vector<Decision> decisions;
    d_->inventory.expirePlanned(now);
    for (const RankedClass &ranked : d_->rank(now)) {
        JobClass *jobClass = d_->queue.classByKey(ranked.key);
        if (jobClass != nullptr && !d_->refuseWhatNeverFits(now, *jobClass, decisions)) {
            d_->placeClass(now, ranked.key, decisions);
        }
    }
    return decisions;
}

bool Planner::canEverHold(const Shape &shape) const
{
    return fleetCanHold(d_->inventory, shape);
}

std::string Planner::waitReason(const std::string &job) const
{
    const JobClass *jobClass = d_->queue.classOf(job);
    return jobClass == nullptr ? std::string {} : jobClass->waitReason;
}

} // namespace knapweed::planning
