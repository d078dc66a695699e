// Pending reclaims whose accelerators are free are placed first. Then each class of waiting jobs, in order of rank, is placed until a job does not fit: first
// in a free block of its account, then on unreserved accelerators, then by reclaiming a guaranteed block, then as a borrower.

#include "planning/round.h"

#include "planning/preemption.h"

#include <algorithm>
#include <cstdlib>

namespace knapweed::planning
{

namespace
{

constexpr Milliseconds plannedPartExpiry {3000}; ///< a placement is removed after this time if no report shows it
constexpr Milliseconds joinSettleTime {2000}; ///< after a worker joins, shapes that do not fit are not refused yet
constexpr Milliseconds stopRequestInterval {500}; ///< between stop requests to the same victims
constexpr Milliseconds reclaimSlack {2000}; ///< added to the preemption grace; after that the reclaim is released and other accelerators are sought
constexpr Milliseconds retryInterval {1000}; ///< a class without a placement is retried after this time even if nothing became free
constexpr int largeJobAccelerators = 4; ///< a waiting job of this size or larger gets a start reservation
constexpr std::size_t minimumReservationLimit = 3; ///< start reservations allowed at once; a large fleet allows more
constexpr int acceleratorsPerReservation = 32; ///< of the fleet, per allowed start reservation
constexpr int maximumStartSearches = 8; ///< in one round
constexpr Milliseconds reservationReviewInterval {1000}; ///< between searches for an earlier start
constexpr Milliseconds minimumStartGain {5000}; ///< a start reservation moves only to accelerators that are free this much earlier
constexpr int maximumComparedBlocks = 8; ///< blocks whose reclaim is compared for one job
constexpr std::size_t maximumDecisions = 500; ///< in one round; the next one continues
constexpr double medianShare = 0.5;
constexpr double backfillShare = 0.9; ///< of a kind's runs end within the time that backfill assumes for jobs that cannot be preempted

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
    for (std::size_t index = 0; index < state_.blocks.size(); ++index) {
        auto &[first, end] = state_.accountBlocks[state_.blocks[index].account];
        first = end == 0 ? index : first;
        end = index + 1;
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
    const bool isSettled = membershipVersion > 0 && now_ >= state_.inventory.lastJoinedAt() + joinSettleTime;
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
    for (auto &[job, reclaim] : state_.pendingReclaims.reclaims()) {
        if (!updatePendingReclaim(reclaim)) {
            ended.push_back(job);
        }
    }
    for (const std::string &job : ended) {
        state_.pendingReclaims.release(state_.inventory, job);
    }
}

/// False if some of the accelerators are now reserved for other accounts and the job cannot be preempted.
bool Round::mayUse(const WaitingJob &job, const std::vector<PlannedPart> &parts) const
{
    const AccountIndex account = accountIndex(state_, job.account);
    return isPreemptible(job) || std::none_of(parts.begin(), parts.end(), [&](const PlannedPart &part) {
        return (part.accelerators & reservedForOthers(state_.inventory.workers()[part.worker], account)) != 0;
    });
}

bool Round::updatePendingReclaim(PendingReclaim &reclaim)
{
    const WaitingJob *job = state_.queue.find(reclaim.job);
    if (job == nullptr || !mayUse(*job, reclaim.parts)) {
        return false;
    }
    if (isCleared(state_.inventory, reclaim, job->shape)) {
        place(*job, reclaim.parts);
        return false;
    }
    const bool isUsable = std::all_of(reclaim.parts.begin(), reclaim.parts.end(), [this](const PlannedPart &part) {
        return state_.inventory.workers()[part.worker].usable;
    });
    if (!isUsable || now_ > reclaim.createdAt + state_.policy.preemptionGrace + reclaimSlack) {
        return false;
    }
    if (now_ >= reclaim.requestedAt + stopRequestInterval) {
        reclaim.requestedAt = now_;
        requestPreemptions(reclaim);
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
        if (now_ < reservation.reviewedAt + reservationReviewInterval) {
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

/// Reserves a start for a large job, or moves its start reservation to accelerators that are free clearly earlier.
void Round::reserveStart(const WaitingJob &job)
{
    const std::size_t limit = std::max<std::size_t>(minimumReservationLimit, state_.fleetAccelerators / acceleratorsPerReservation);
    StartReservation *reservation = state_.startReservations.find(job.id);
    if (acceleratorsOf(job.shape) < largeJobAccelerators || startSearches_ >= maximumStartSearches
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
    if (found && (reservation == nullptr || found->start + minimumStartGain < reservation->start)) {
        state_.startReservations.add(state_.inventory, std::move(*found));
    }
}

void Round::placeClass(JobClass &jobClass)
{
    const std::uint64_t changes = state_.inventory.releaseCount() + state_.inventory.membershipVersion();
    if (jobClass.attemptedVersion == changes && now_ < jobClass.attemptedAt + retryInterval) {
        return;
    }
    for (auto position = jobClass.jobs.begin(); decisions_.size() < maximumDecisions;) {
        const WaitingJob &job = position->second;
        ++position;
        const bool isLast = position == jobClass.jobs.end(); // placing the last job removes the class
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
    const bool canEverFit = isPreemptible(job) || scopeCanHold(state_.inventory, job.shape, ownScope(accountIndex(state_, job.account)));
    jobClass.waitReason = canEverFit ? "no free accelerators that fit the shape"
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
    // Preemptible jobs are backfilled by their median run time: delaying a reserved start now and then costs less than idle accelerators.
    const double share = isPreemptible(job) ? medianShare : backfillShare;
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
    // A job that cannot be preempted is kept off its account's blocks unless no other accelerators could ever hold it.
    const bool fitsElsewhere = isPreemptible(job) || scopeCanHold(state_.inventory, job.shape, unreservedScope(account));
    if (!fitsElsewhere && tryPlace(job, ownScope(account))) {
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
        if (compared == maximumComparedBlocks) {
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
    PendingReclaim reclaim {job.id, plan.parts, {}, now_, now_};
    for (const GangIndex victim : plan.victims) {
        reclaim.victims.push_back(state_.inventory.gang(victim).job);
    }
    requestPreemptions(reclaim);
    state_.pendingReclaims.add(state_.inventory, std::move(reclaim));
}

void Round::requestPreemptions(const PendingReclaim &reclaim)
{
    for (const std::string &victim : reclaim.victims) {
        const GangIndex index = state_.inventory.gangIndex(victim);
        if (index == noIndex || !state_.inventory.isReported(index)) {
            continue;
        }
        Gang &gang = state_.inventory.gang(index);
        if (!gang.description.checkpointable && !gang.description.repeatable) {
            continue; // according to a newer report the gang cannot be run again, so it must not be preempted
        }
        if (gang.preemptedAt == MonotonicTime {}) {
            gang.preemptedAt = now_;
        }
        decisions_.push_back(Preempt {victim, gang.description.attemptOwner, gang.description.attemptNumber, gang.description.lead, reclaim.job});
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
        std::abort(); // invariant: a gang is placed as a whole
    }
    if (place.borrowed && !isPreemptible(job)) {
        std::abort(); // invariant: a job that cannot be preempted never borrows
    }
    decisions_.push_back(std::move(place));
    state_.inventory.plan(now_, now_ + plannedPartExpiry, job, owner, parts);
    const std::string id = job.id;
    state_.queue.remove(id);
    state_.startReservations.release(state_.inventory, id);
}

} // namespace knapweed::planning
