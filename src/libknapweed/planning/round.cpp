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

constexpr Ground unreservedGround(AccountIndex account)
{
    return {account, false, true, false};
}

constexpr Ground ownGround(AccountIndex account)
{
    return {account, true, true, false};
}

constexpr Ground anyGround(AccountIndex account)
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
    reviewHealth();
    layGround();
    tendClaims();
    tendStarts();
    for (const RankedClass &ranked : rank()) {
        JobClass *jobClass = state_.queue.classByKey(ranked.key);
        if (jobClass != nullptr && !refuseWhatNeverFits(*jobClass)) {
            placeClass(*jobClass);
        }
    }
    return std::move(decisions_);
}

void Round::reviewHealth()
{
    for (const std::string &id : state_.health.review(now_, state_.inventory.presentWorkers())) {
        const WorkerIndex worker = state_.inventory.find(id);
        state_.inventory.setProbing(worker, state_.health.health(id) == Health::Probing);
        state_.inventory.setUsable(worker, isUsable(state_, state_.inventory.workers()[worker].report));
    }
}

void Round::layGround()
{
    if (!state_.isLayoutStale && state_.laidMembership == state_.inventory.membership()) {
        return;
    }
    state_.isLayoutStale = false;
    state_.laidMembership = state_.inventory.membership();
    state_.fleetAccelerators = 0;
    std::vector<MapWorker> workers;
    for (const WorkerState &worker : state_.inventory.workers()) {
        if (worker.present) {
            workers.push_back({worker.report.id, std::to_string(worker.rack), worker.all, worker.usable && !worker.isProbing});
            state_.fleetAccelerators += worker.usable ? countOf(worker.all) : 0;
        }
    }
    state_.layout = layReservations(state_.policy, workers, state_.layout.home);
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
        ranked.push_back({jobClass->key, job.urgent, isOwed(job), priorityOf(job, now_, run, weightOf(job.account)), job.enqueuedAt});
    }
    sortByRank(ranked);
    return ranked;
}

bool Round::refuseWhatNeverFits(JobClass &jobClass)
{
    const std::uint64_t membership = state_.inventory.membership();
    const bool isSettled = membership > 0 && now_ >= state_.inventory.lastJoin() + settleTime;
    if (!isSettled || jobClass.fitCheckedAt == membership) {
        return false;
    }
    jobClass.fitCheckedAt = membership;
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

void Round::tendClaims()
{
    std::vector<std::string> ended;
    for (auto &[job, claim] : state_.claims.claims()) {
        if (!tendClaim(claim)) {
            ended.push_back(job);
        }
    }
    for (const std::string &job : ended) {
        state_.claims.release(state_.inventory, job);
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

bool Round::tendClaim(Claim &claim)
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
    if (!isUsable || now_ > claim.madeAt + state_.policy.preemptionGrace + claimSlack) {
        return false;
    }
    if (now_ >= claim.askedAt + askInterval) {
        claim.askedAt = now_;
        askVictims(claim);
    }
    return true;
}

void Round::tendStarts()
{
    std::vector<std::string> jobs;
    for (const auto &[job, kept] : state_.starts.starts()) {
        jobs.push_back(job);
    }
    for (const std::string &id : jobs) {
        const WaitingJob *job = state_.queue.find(id);
        const KeptStart &kept = *state_.starts.find(id);
        const bool isUsable = std::all_of(kept.parts.begin(), kept.parts.end(), [this](const PlannedPart &part) {
            return state_.inventory.workers()[part.worker].usable;
        });
        if (job == nullptr || !isUsable || !mayUse(*job, kept.parts) || state_.claims.contains(id)) {
            state_.starts.release(state_.inventory, id);
            continue;
        }
        if (now_ < kept.reviewedAt + startReview) {
            continue;
        }
        state_.starts.setStart(state_.inventory, id, expectedStart(startContext(), kept));
        keepStart(*job);
    }
}

StartContext Round::startContext() const
{
    return {&state_.inventory, &state_.estimates, now_};
}

/// Keeps a start for the job, or moves the one it has to ground that is free clearly earlier.
void Round::keepStart(const WaitingJob &job)
{
    const std::size_t limit = std::max<std::size_t>(fewestStarts, state_.fleetAccelerators / acceleratorsPerStart);
    KeptStart *kept = state_.starts.find(job.id);
    if (acceleratorsOf(job.shape) < largeAccelerators || newStarts_ >= newStartLimit || (kept == nullptr && state_.starts.starts().size() >= limit)) {
        return;
    }
    ++newStarts_;
    const AccountIndex account = accountIndex(state_, job.account);
    Search search = searchFor(job, isPreemptible(job) ? anyGround(account) : unreservedGround(account));
    search.estimatedEnd = MonotonicTime::max();
    search.ignoresStarts = false;
    std::optional<KeptStart> found = findStart(startContext(), search);
    if (kept != nullptr) {
        kept->reviewedAt = now_;
    }
    if (found && (kept == nullptr || found->start + startGain < kept->start)) {
        state_.starts.add(state_.inventory, std::move(*found));
    }
}

void Round::placeClass(JobClass &jobClass)
{
    const std::uint64_t changes = state_.inventory.releases() + state_.inventory.membership();
    if (jobClass.triedChanges == changes && now_ < jobClass.triedAt + retryInterval) {
        return;
    }
    for (auto position = jobClass.jobs.begin(); decisions_.size() < decisionLimit;) {
        const WaitingJob &job = position->second;
        ++position;
        const bool isLast = position == jobClass.jobs.end(); // placing the last job ends the class
        if (!state_.claims.contains(job.id) && !placeOrClaim(job)) {
            noteUnplaced(jobClass, job);
            return;
        }
        if (isLast) {
            return;
        }
    }
}

void Round::noteUnplaced(JobClass &jobClass, const WaitingJob &job)
{
    const bool hasGround = isPreemptible(job) || groundCanHold(state_.inventory, job.shape, ownGround(accountIndex(state_, job.account)));
    jobClass.waitReason = hasGround ? "no free accelerators that fit the shape"
                                    : "the accelerators that could hold it are reserved for other accounts, and it can't be preempted";
    if (state_.starts.find(job.id) == nullptr) {
        keepStart(job);
    }
    jobClass.triedAt = now_;
    jobClass.triedChanges = state_.inventory.releases() + state_.inventory.membership();
}

Search Round::searchFor(const WaitingJob &job, const Ground &ground) const
{
    Search search;
    search.job = &job;
    search.ground = ground;
    // A job that can be run again is let in on its median run: it costs a kept start less than idle ground does.
    const double share = isPreemptible(job) ? medianShare : lateShare;
    search.estimatedEnd = now_ + state_.estimates.quantile(job.account, job.kind, job.declaredRun, share);
    search.ignoresStarts = job.urgent;
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

bool Round::isOwed(const WaitingJob &job) const
{
    const std::span<const Block> blocks = blocksOf(job.account);
    return std::any_of(blocks.begin(), blocks.end(), [&](const Block &block) {
        return fills(block, job.shape) && !isInUse(state_.inventory, block);
    });
}

bool Round::placeOrClaim(const WaitingJob &job)
{
    const AccountIndex account = accountIndex(state_, job.account);
    const bool owed = isOwed(job);
    if (owed && placeInOwnBlock(job)) {
        return true;
    }
    if (tryPlace(job, unreservedGround(account))) {
        return true;
    }
    if (owed && (claimOwnBlock(job) || claimAnywhere(job))) {
        return true;
    }
    if (isPreemptible(job) && (tryPlace(job, ownGround(account)) || tryPlace(job, anyGround(account)))) {
        return true;
    }
    // A job that can't be preempted is kept off its account's blocks, unless no other ground could ever hold it.
    const bool hasGround = isPreemptible(job) || groundCanHold(state_.inventory, job.shape, unreservedGround(account));
    if (!hasGround && tryPlace(job, ownGround(account))) {
        return true;
    }
    return job.urgent && claimAnywhere(job);
}

bool Round::tryPlace(const WaitingJob &job, const Ground &ground)
{
    const std::vector<PlannedPart> parts = findPlace(state_.inventory, searchFor(job, ground));
    if (parts.empty()) {
        return false;
    }
    place(job, parts);
    return true;
}

bool Round::hasOpenRoom(const Block &block, const Shape &shape) const
{
    int open = 0;
    for (const PlannedPart &part : block.parts) {
        open += countOf(part.accelerators & state_.inventory.workers()[part.worker].open);
    }
    return open >= acceleratorsOf(shape);
}

bool Round::placeInOwnBlock(const WaitingJob &job)
{
    const AccountIndex account = accountIndex(state_, job.account);
    PreemptionSearch search {searchFor(job, ownGround(account)), &state_.blocks, nullptr, now_};
    search.search.ignoresStarts = true;
    for (const Block &block : blocksOf(job.account)) {
        if (!hasOpenRoom(block, job.shape) || !fills(block, job.shape) || isInUse(state_.inventory, block)) {
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

bool Round::claimOwnBlock(const WaitingJob &job)
{
    const AccountIndex account = accountIndex(state_, job.account);
    PreemptionSearch search {searchFor(job, ownGround(account)), &state_.blocks, nullptr, now_};
    search.search.ignoresStarts = true;
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
    makeClaim(job, *best);
    return true;
}

bool Round::claimAnywhere(const WaitingJob &job)
{
    PreemptionSearch search {searchFor(job, ownGround(accountIndex(state_, job.account))), &state_.blocks, nullptr, now_};
    search.search.ground.mayUseOwnBlocks = isPreemptible(job);
    search.search.ignoresStarts = true;
    const std::optional<PreemptionPlan> plan = findPreemption(state_.inventory, search);
    if (!plan) {
        return false;
    }
    makeClaim(job, *plan);
    return true;
}

void Round::makeClaim(const WaitingJob &job, const PreemptionPlan &plan)
{
    if (plan.victims.empty()) {
        place(job, plan.parts);
        return;
    }
    Claim claim {job.id, plan.parts, {}, now_, now_};
    for (const GangIndex victim : plan.victims) {
        claim.victims.push_back(state_.inventory.gang(victim).job);
    }
    askVictims(claim);
    state_.claims.add(state_.inventory, std::move(claim));
}

void Round::askVictims(const Claim &claim)
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
    state_.starts.release(state_.inventory, id);
}

} // namespace knapweed::planning
