// Claims whose ground is clear are placed first. Then each class of waiting jobs, in order of rank, is placed until its next job finds no ground: first in
// a block that its account has free, then on unreserved ground, then by reclaiming a block that is owed, then as a borrower.

#include "planning/round.h"

#include "planning/preemption.h"

#include <algorithm>
#include <cstdlib>

namespace knapweed::planning
{

namespace
{

constexpr Milliseconds plannedExpiry {3000}; ///< how long a placement is believed without a report
constexpr Milliseconds settleTime {2000}; ///< after a worker joined, shapes that don't fit are not refused yet
constexpr Milliseconds askInterval {500}; ///< between requests to the same victims
constexpr Milliseconds claimSlack {2000}; ///< beyond the preemption grace, after which other ground is sought
constexpr Milliseconds retryInterval {1000}; ///< a class without a place is looked at again even when nothing was released
constexpr int largeAccelerators = 4; ///< from this size on, a waiting job gets a kept start
constexpr std::size_t fewestStarts = 3; ///< kept at once; more in a large fleet
constexpr int acceleratorsPerStart = 32; ///< of the fleet, for each kept start
constexpr int newStartLimit = 8; ///< searches in one round
constexpr Milliseconds startReview {1000}; ///< interval at which a kept start looks for earlier ground
constexpr Milliseconds startGain {5000}; ///< it moves only to ground that is free this much earlier
constexpr int comparedBlocks = 8; ///< blocks whose reclaim is compared for one job
constexpr std::size_t decisionLimit = 500; ///< of one round; the next goes on
constexpr double medianShare = 0.5;
constexpr double lateShare = 0.9; ///< of a kind's runs end by the time that backfill counts with

constexpr SearchScope unreservedScope(AccountIndex account)
{
    return {account, false, true, false};
}

constexpr SearchScope ownScope(AccountIndex account)
{
    return {account, true, true, false};
}

constexpr SearchScope anyScope(AccountIndex account)
{
    return {account, true, true, true};
}

} // namespace

bool isUsable(const PlannerState &state, const Worker &worker)
{
    const std::vector<std::string> &excluded = state.policy.excludedWorkers;
    return worker.available && state.health.health(worker.id) != Health::Quarantined
        && std::find(excluded.begin(), excluded.end(), worker.id) == excluded.end();
}

AccountIndex accountIndex(const PlannerState &state, const std::string &account)
{
    const auto found = state.accounts.find(account);
    return found == state.accounts.end() ? noIndex : found->second;
}

Round::Round(PlannerState &state, MonotonicTime now)
    : state_(state)
    , now_(now)
{
}

std::vector<Decision> Round::run()
{
    state_.inventory.expirePlanned(now_);
    updateHealth();
    updateLayout();
    updatePendingReclaims();
    updateStartReservations();
    for (const RankedClass &ranked : rank()) {
        JobClass *jobClass = state_.queue.classByKey(ranked.key);
        if (jobClass != nullptr && !refuseInfeasibleClass(*jobClass)) {
            placeClass(*jobClass);
        }
    }
    return std::move(decisions_);
}

void Round::updateHealth()
{
    for (const std::string &id : state_.health.review(now_, state_.inventory.presentWorkers())) {
        const WorkerIndex worker = state_.inventory.find(id);
        state_.inventory.setProbing(worker, state_.health.health(id) == Health::Probing);
        state_.inventory.setUsable(worker, isUsable(state_, state_.inventory.workers()[worker].report));
    }
}

void Round::updateLayout()
{
    if (!state_.isLayoutStale && state_.layoutMembership == state_.inventory.membershipVersion()) {
        return;
    }
    state_.isLayoutStale = false;
    state_.layoutMembership = state_.inventory.membershipVersion();
    state_.fleetAccelerators = 0;
    std::vector<MapWorker> workers;
    for (const WorkerState &worker : state_.inventory.workers()) {
        if (worker.present) {
            workers.push_back({worker.report.id, std::to_string(worker.rack), worker.all, worker.usable && !worker.isProbing});
            state_.fleetAccelerators += worker.usable ? countOf(worker.all) : 0;
        }
    }
    state_.layout = layOutReservations(state_.policy, workers, state_.layout.home);
    state_.blocks = applyReservations(state_.inventory, state_.layout.current, state_.accounts);
    state_.accountBlocks.assign(state_.accounts.size(), {0, 0});
    for (std::size_t place = 0; place < state_.blocks.size(); ++place) {
        auto &[first, end] = state_.accountBlocks[state_.blocks[place].account];
        first = end == 0 ? place : first;
        end = place + 1;
    }
}

double Round::weightOf(const std::string &account) const
{
    const auto found = state_.policy.accounts.find(account);
    return found == state_.policy.accounts.end() || found->second.weight <= 0 ? 1 : found->second.weight;
}

std::vector<RankedClass> Round::rank() const
{
    std::vector<RankedClass> ranked;
    ranked.reserve(state_.queue.classes().size());
    for (const std::unique_ptr<JobClass> &jobClass : state_.queue.classes()) {
        const WaitingJob &job = jobClass->front();
        const Milliseconds run = state_.estimates.quantile(job.account, job.kind, job.declaredRun, medianShare);
        ranked.push_back({jobClass->key, job.urgent, isGuaranteed(job), priorityOf(job, now_, run, weightOf(job.account)), job.enqueuedAt});
    }
    sortByRank(ranked);
    return ranked;
}

bool Round::refuseInfeasibleClass(JobClass &jobClass)
{
    const std::uint64_t membershipVersion = state_.inventory.membershipVersion();
    const bool isSettled = membershipVersion > 0 && now_ >= state_.inventory.lastJoinedAt() + settleTime;
    if (!isSettled || jobClass.fitCheckedMembership == membershipVersion) {
        return false;
    }
    jobClass.fitCheckedMembership = membershipVersion;
    if (fleetCanHold(state_.inventory, jobClass.front().shape)) {
        return false;
    }
    std::vector<std::string> jobs;
    for (const auto &[time, job] : jobClass.jobs) {
        jobs.push_back(job.id);
    }
    for (const std::string &job : jobs) {
        decisions_.push_back(Refuse {job, "no worker, rack or fleet of this size could ever hold the shape"});
        state_.queue.remove(job);
    }
    return true;
}

void Round::updatePendingReclaims()
{
    std::vector<std::string> ended;
    for (auto &[job, claim] : state_.pendingReclaims.reclaims()) {
        if (!updatePendingReclaim(claim)) {
            ended.push_back(job);
        }
    }
    for (const std::string &job : ended) {
        state_.pendingReclaims.release(state_.inventory, job);
    }
}

/// False when the ground has become reserved for others and the job can't be preempted.
bool Round::mayUse(const WaitingJob &job, const std::vector<PlannedPart> &parts) const
{
    const AccountIndex account = accountIndex(state_, job.account);
    return isPreemptible(job) || std::none_of(parts.begin(), parts.end(), [&](const PlannedPart &part) {
        return (part.accelerators & reservedForOthers(state_.inventory.workers()[part.worker], account)) != 0;
    });
}

bool Round::updatePendingReclaim(PendingReclaim &claim)
{
    const WaitingJob *job = state_.queue.find(claim.job);
    if (job == nullptr || !mayUse(*job, claim.parts)) {
        return false;
    }
    if (isCleared(state_.inventory, claim, job->shape)) {
        place(*job, claim.parts);
        return false;
    }
    const bool isUsable = std::all_of(claim.parts.begin(), claim.parts.end(), [this](const PlannedPart &part) {
        return state_.inventory.workers()[part.worker].usable;
    });
    if (!isUsable || now_ > claim.createdAt + state_.policy.preemptionGrace + claimSlack) {
        return false;
    }
    if (now_ >= claim.requestedAt + askInterval) {
        claim.requestedAt = now_;
        requestPreemptions(claim);
    }
    return true;
}

void Round::updateStartReservations()
{
    std::vector<std::string> jobs;
    for (const auto &[job, reservation] : state_.startReservations.reservations()) {
        jobs.push_back(job);
    }
    for (const std::string &id : jobs) {
        const WaitingJob *job = state_.queue.find(id);
        const StartReservation &reservation = *state_.startReservations.find(id);
        const bool isUsable = std::all_of(reservation.parts.begin(), reservation.parts.end(), [this](const PlannedPart &part) {
            return state_.inventory.workers()[part.worker].usable;
        });
        if (job == nullptr || !isUsable || !mayUse(*job, reservation.parts) || state_.pendingReclaims.contains(id)) {
            state_.startReservations.release(state_.inventory, id);
            continue;
        }
        if (now_ < reservation.reviewedAt + startReview) {
            continue;
        }
        state_.startReservations.setStart(state_.inventory, id, expectedStart(startContext(), reservation));
        reserveStart(*job);
    }
}

StartContext Round::startContext() const
{
    return {&state_.inventory, &state_.estimates, now_};
}

/// Keeps a start for the job, or moves the one it has to ground that is free clearly earlier.
void Round::reserveStart(const WaitingJob &job)
{
    const std::size_t limit = std::max<std::size_t>(fewestStarts, state_.fleetAccelerators / acceleratorsPerStart);
    StartReservation *reservation = state_.startReservations.find(job.id);
    if (acceleratorsOf(job.shape) < largeAccelerators || startSearches_ >= newStartLimit
        || (reservation == nullptr && state_.startReservations.reservations().size() >= limit)) {
        return;
    }
    ++startSearches_;
    const AccountIndex account = accountIndex(state_, job.account);
    Search search = searchFor(job, isPreemptible(job) ? anyScope(account) : unreservedScope(account));
    search.estimatedEnd = MonotonicTime::max();
    search.ignoresStartReservations = false;
    std::optional<StartReservation> found = findEarliestStart(startContext(), search);
    if (reservation != nullptr) {
        reservation->reviewedAt = now_;
    }
    if (found && (reservation == nullptr || found->start + startGain < reservation->start)) {
        state_.startReservations.add(state_.inventory, std::move(*found));
    }
}

void Round::placeClass(JobClass &jobClass)
{
    const std::uint64_t changes = state_.inventory.releaseCount() + state_.inventory.membershipVersion();
    if (jobClass.attemptedVersion == changes && now_ < jobClass.attemptedAt + retryInterval) {
        return;
    }
    for (auto position = jobClass.jobs.begin(); decisions_.size() < decisionLimit;) {
        const WaitingJob &job = position->second;
        ++position;
        const bool isLast = position == jobClass.jobs.end(); // placing the last job ends the class
        if (!state_.pendingReclaims.contains(job.id) && !placeOrReclaim(job)) {
            recordUnplaced(jobClass, job);
            return;
        }
        if (isLast) {
            return;
        }
    }
}

void Round::recordUnplaced(JobClass &jobClass, const WaitingJob &job)
{
    const bool hasGround = isPreemptible(job) || scopeCanHold(state_.inventory, job.shape, ownScope(accountIndex(state_, job.account)));
    jobClass.waitReason = hasGround ? "no free accelerators that fit the shape"
                                    : "the accelerators that could hold it are reserved for other accounts, and it can't be preempted";
    if (state_.startReservations.find(job.id) == nullptr) {
        reserveStart(job);
    }
    jobClass.attemptedAt = now_;
    jobClass.attemptedVersion = state_.inventory.releaseCount() + state_.inventory.membershipVersion();
}

Search Round::searchFor(const WaitingJob &job, const SearchScope &scope) const
{
    Search search;
    search.job = &job;
    search.scope = scope;
    // A job that can be run again is let in on its median run: it costs a kept start less than idle ground does.
    const double share = isPreemptible(job) ? medianShare : lateShare;
    search.estimatedEnd = now_ + state_.estimates.quantile(job.account, job.kind, job.declaredRun, share);
    search.ignoresStartReservations = job.urgent;
    for (const std::string &worker : job.avoidWorkers) {
        search.avoid.push_back(state_.inventory.find(worker));
    }
    return search;
}

std::span<const Block> Round::blocksOf(const std::string &account) const
{
    const AccountIndex index = accountIndex(state_, account);
    if (index == noIndex || static_cast<std::size_t>(index) >= state_.accountBlocks.size()) {
        return {};
    }
    const auto [first, end] = state_.accountBlocks[index];
    return std::span<const Block>(state_.blocks).subspan(first, end - first);
}

bool Round::isGuaranteed(const WaitingJob &job) const
{
    const std::span<const Block> blocks = blocksOf(job.account);
    return std::any_of(blocks.begin(), blocks.end(), [&](const Block &block) {
        return fills(block, job.shape) && !isInUse(state_.inventory, block);
    });
}

bool Round::placeOrReclaim(const WaitingJob &job)
{
    const AccountIndex account = accountIndex(state_, job.account);
    const bool guaranteed = isGuaranteed(job);
    if (guaranteed && placeInOwnBlock(job)) {
        return true;
    }
    if (tryPlace(job, unreservedScope(account))) {
        return true;
    }
    if (guaranteed && (reclaimOwnBlock(job) || reclaimAnywhere(job))) {
        return true;
    }
    if (isPreemptible(job) && (tryPlace(job, ownScope(account)) || tryPlace(job, anyScope(account)))) {
        return true;
    }
    // A job that can't be preempted is kept off its account's blocks, unless no other ground could ever hold it.
    const bool hasGround = isPreemptible(job) || scopeCanHold(state_.inventory, job.shape, unreservedScope(account));
    if (!hasGround && tryPlace(job, ownScope(account))) {
        return true;
    }
    return job.urgent && reclaimAnywhere(job);
}

bool Round::tryPlace(const WaitingJob &job, const SearchScope &scope)
{
    const std::vector<PlannedPart> parts = findPlacement(state_.inventory, searchFor(job, scope));
    if (parts.empty()) {
        return false;
    }
    place(job, parts);
    return true;
}

bool Round::hasFreeCapacity(const Block &block, const Shape &shape) const
{
    int free = 0;
    for (const PlannedPart &part : block.parts) {
        free += countOf(part.accelerators & state_.inventory.workers()[part.worker].free);
    }
    return free >= acceleratorsOf(shape);
}

bool Round::placeInOwnBlock(const WaitingJob &job)
{
    const AccountIndex account = accountIndex(state_, job.account);
    PreemptionSearch search {searchFor(job, ownScope(account)), &state_.blocks, nullptr, now_};
    search.search.ignoresStartReservations = true;
    for (const Block &block : blocksOf(job.account)) {
        if (!hasFreeCapacity(block, job.shape) || !fills(block, job.shape) || isInUse(state_.inventory, block)) {
            continue;
        }
        search.within = &block;
        const std::optional<PreemptionPlan> plan = findPreemption(state_.inventory, search);
        if (plan && plan->victims.empty()) {
            place(job, plan->parts);
            return true;
        }
    }
    return false;
}

bool Round::reclaimOwnBlock(const WaitingJob &job)
{
    const AccountIndex account = accountIndex(state_, job.account);
    PreemptionSearch search {searchFor(job, ownScope(account)), &state_.blocks, nullptr, now_};
    search.search.ignoresStartReservations = true;
    std::optional<PreemptionPlan> best;
    int compared = 0;
    for (const Block &block : blocksOf(job.account)) {
        if (!fills(block, job.shape) || isInUse(state_.inventory, block)) {
            continue;
        }
        if (compared == comparedBlocks) {
            break;
        }
        search.within = &block;
        std::optional<PreemptionPlan> plan = findPreemption(state_.inventory, search);
        compared += plan ? 1 : 0;
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    if (!best) {
        return false;
    }
    startReclaim(job, *best);
    return true;
}

bool Round::reclaimAnywhere(const WaitingJob &job)
{
    PreemptionSearch search {searchFor(job, ownScope(accountIndex(state_, job.account))), &state_.blocks, nullptr, now_};
    search.search.scope.mayUseOwnBlocks = isPreemptible(job);
    search.search.ignoresStartReservations = true;
    const std::optional<PreemptionPlan> plan = findPreemption(state_.inventory, search);
    if (!plan) {
        return false;
    }
    startReclaim(job, *plan);
    return true;
}

void Round::startReclaim(const WaitingJob &job, const PreemptionPlan &plan)
{
    if (plan.victims.empty()) {
        place(job, plan.parts);
        return;
    }
    PendingReclaim claim {job.id, plan.parts, {}, now_, now_};
    for (const GangIndex victim : plan.victims) {
        claim.victims.push_back(state_.inventory.gang(victim).job);
    }
    requestPreemptions(claim);
    state_.pendingReclaims.add(state_.inventory, std::move(claim));
}

void Round::requestPreemptions(const PendingReclaim &claim)
{
    for (const std::string &victim : claim.victims) {
        const GangIndex index = state_.inventory.gangIndex(victim);
        if (index == noIndex || !state_.inventory.isReported(index)) {
            continue;
        }
        Gang &gang = state_.inventory.gang(index);
        if (!gang.description.checkpointable && !gang.description.repeatable) {
            continue; // a newer report says that it can't be run again, so it is never preempted
        }
        if (gang.preemptedAt == MonotonicTime {}) {
            gang.preemptedAt = now_;
        }
        decisions_.push_back(Preempt {victim, gang.description.attemptOwner, gang.description.attemptNumber, gang.description.lead, claim.job});
    }
}

void Round::place(const WaitingJob &job, const std::vector<PlannedPart> &parts)
{
    Place place {job.id, {}, false};
    const AccountIndex owner = accountIndex(state_, job.account);
    for (const PlannedPart &part : parts) {
        const WorkerState &worker = state_.inventory.workers()[part.worker];
        place.members.push_back({worker.report.id, worker.report.agent, toList(part.accelerators)});
        place.borrowed = place.borrowed || (part.accelerators & reservedForOthers(worker, owner)) != 0;
    }
    if (static_cast<int>(parts.size()) != job.shape.tasks) {
        std::abort(); // invariant: a gang is placed whole
    }
    if (place.borrowed && !isPreemptible(job)) {
        std::abort(); // invariant: a job that can't be preempted never borrows
    }
    decisions_.push_back(std::move(place));
    state_.inventory.plan(now_, now_ + plannedExpiry, job, owner, parts);
    const std::string id = job.id;
    state_.queue.remove(id);
    state_.startReservations.release(state_.inventory, id);
}

} // namespace knapweed::planning
