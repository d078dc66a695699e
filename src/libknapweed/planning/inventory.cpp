// Each change of a worker updates the indices of free accelerators. The cost of applying a report is proportional to the number of the worker's parts.

#include "planning/inventory.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace knapweed::planning
{

namespace
{

bool isSamePart(const PlacedPart &placed, const Gang &gang, const Part &part)
{
    return placed.accelerators == toSet(part.accelerators) && gang.job == part.job && gang.description.attemptOwner == part.attemptOwner
        && gang.description.attemptNumber == part.attemptNumber;
}

/// Whether the report shows the planned part: they share an accelerator, or neither has any.
bool matches(const PlacedPart &planned, const Part &part)
{
    const AcceleratorSet reported = toSet(part.accelerators);
    return (planned.accelerators & reported) != 0 || (planned.accelerators == 0 && reported == 0);
}

} // namespace

int acceleratorsOf(const Part &description)
{
    return description.gangSize * static_cast<int>(description.accelerators.size());
}

void Inventory::updateWorker(MonotonicTime now, const Worker &worker)
{
    const auto known = workerIndex_.find(worker.id);
    WorkerIndex index = known == workerIndex_.end() ? noIndex : known->second;
    if (index == noIndex) {
        index = static_cast<WorkerIndex>(workers_.size());
        workers_.emplace_back();
        indexedFree_.push_back(noIndex);
        workerIndex_.emplace(worker.id, index);
    }
    WorkerState &state = workers_[index];
    const bool hasChanged = !state.present || state.report.available != worker.available || state.report.accelerators != worker.accelerators
        || state.report.slots != worker.slots || state.report.processors != worker.processors || state.report.memoryMib != worker.memoryMib;
    if (hasChanged) {
        joinWorker(now, index, worker);
    }
    state.report.agent = worker.agent;
    state.report.startedTasks = worker.startedTasks;
    state.report.failedTasks = worker.failedTasks;
    if (replaceReportedParts(index, worker.parts) || hasChanged) {
        updateFreeCapacity(index);
    }
}

void Inventory::joinWorker(MonotonicTime now, WorkerIndex worker, const Worker &report)
{
    WorkerState &state = workers_[worker];
    if (!state.present) {
        state.present = true;
        ++present_;
        state.rack = obtainRack(report);
        racks_[state.rack].push_back(worker);
        lastJoinedAt_ = now;
        state.usable = report.available;
    }
    state.report = report;
    state.report.parts.clear();
    state.all = firstAccelerators(report.accelerators);
    if (!report.available) {
        state.usable = false;
    }
    ++membershipVersion_;
}

int Inventory::obtainRack(const Worker &report)
{
    const std::string name = report.region + '/' + report.failureDomain + '/' + report.rack;
    const auto [found, isNew] = rackIndex_.emplace(name, static_cast<int>(racks_.size()));
    if (isNew) {
        racks_.emplace_back();
        rackFree_.push_back(0);
    }
    return found->second;
}

void Inventory::removeWorker(const std::string &worker)
{
    const WorkerIndex index = find(worker);
    if (index == noIndex || !workers_[index].present) {
        return;
    }
    WorkerState &state = workers_[index];
    while (!state.parts.empty()) {
        removePart(index, state.parts.size() - 1);
    }
    state.usable = false;
    updateFreeCapacity(index);
    std::erase(racks_[state.rack], index);
    state = WorkerState {};
    --present_;
    ++membershipVersion_;
}

bool Inventory::replaceReportedParts(WorkerIndex worker, const std::vector<Part> &parts)
{
    WorkerState &state = workers_[worker];
    bool hasChanged = false;
    for (std::size_t partIndex = state.parts.size(); partIndex-- > 0;) {
        const PlacedPart &placed = state.parts[partIndex];
        const bool isGone = placed.reported && std::none_of(parts.begin(), parts.end(), [&](const Part &part) {
            return isSamePart(placed, gangs_[placed.gang], part);
        });
        if (isGone) {
            removePart(worker, partIndex);
            hasChanged = true;
        }
    }
    for (const Part &part : parts) {
        const auto shown = std::find_if(state.parts.begin(), state.parts.end(), [&](const PlacedPart &placed) {
            return placed.reported && isSamePart(placed, gangs_[placed.gang], part);
        });
        if (shown == state.parts.end()) {
            addReportedPart(worker, part);
            hasChanged = true;
        } else {
            gangs_[shown->gang].description = part;
        }
    }
    return hasChanged;
}

void Inventory::addReportedPart(WorkerIndex worker, const Part &part)
{
    WorkerState &state = workers_[worker];
    const GangIndex gang = obtainGang(part.job);
    const auto account = accounts_.find(part.account);
    gangs_[gang].description = part;
    gangs_[gang].account = account == accounts_.end() ? noIndex : account->second;
    PlacedPart placed {gang, toSet(part.accelerators), part.processors, part.memoryMib, true};
    const auto planned = std::find_if(state.parts.begin(), state.parts.end(), [&](const PlacedPart &other) {
        return other.gang == gang && !other.reported && matches(other, part);
    });
    if (planned != state.parts.end()) {
        placed.processors = std::max(placed.processors, planned->processors);
        placed.memoryMib = std::max(placed.memoryMib, planned->memoryMib);
        addUse(gangs_[gang].account, countOf(placed.accelerators) - countOf(planned->accelerators));
        *planned = placed;
        return;
    }
    addUse(gangs_[gang].account, countOf(placed.accelerators));
    state.parts.push_back(placed);
    std::vector<WorkerIndex> &gangWorkers = gangs_[gang].workers;
    if (std::find(gangWorkers.begin(), gangWorkers.end(), worker) == gangWorkers.end()) {
        gangWorkers.push_back(worker);
    }
}

void Inventory::plan(MonotonicTime now, MonotonicTime expiry, const WaitingJob &job, AccountIndex account, const std::vector<PlannedPart> &parts)
{
    const GangIndex index = obtainGang(job.id);
    Gang &gang = gangs_[index];
    gang.account = account;
    gang.isUrgent = job.urgent;
    gang.placedAt = now;
    gang.plannedUntil = expiry;
    gang.description.job = job.id;
    gang.description.account = job.account;
    gang.description.kind = job.kind;
    gang.description.gangSize = job.shape.tasks;
    gang.description.accelerators = toList(parts.front().accelerators);
    gang.description.lead = workers_[parts.front().worker].report.agent;
    gang.description.checkpointable = job.checkpointable;
    gang.description.repeatable = job.repeatable;
    gang.description.startedAt = now;
    gang.description.checkpointedAt = now;
    for (const PlannedPart &part : parts) {
        WorkerState &state = workers_[part.worker];
        if ((part.accelerators & ~state.free) != 0) {
            std::abort(); // invariant: an accelerator is never assigned twice
        }
        state.parts.push_back({index, part.accelerators, job.shape.processorsPerTask, job.shape.memoryMibPerTask, false});
        if (std::find(gang.workers.begin(), gang.workers.end(), part.worker) == gang.workers.end()) {
            gang.workers.push_back(part.worker);
        }
        addUse(account, countOf(part.accelerators));
        this->updateFreeCapacity(part.worker);
    }
    expiries_.push_back({expiry, job.id});
}

void Inventory::removePlanned(const std::string &job)
{
    const GangIndex index = gangIndex(job);
    if (index == noIndex) {
        return;
    }
    const std::vector<WorkerIndex> gangWorkers = gangs_[index].workers;
    for (const WorkerIndex worker : gangWorkers) {
        WorkerState &state = workers_[worker];
        for (std::size_t partIndex = state.parts.size(); partIndex-- > 0;) {
            if (state.parts[partIndex].gang == index && !state.parts[partIndex].reported) {
                removePart(worker, partIndex);
            }
        }
        this->updateFreeCapacity(worker);
    }
}

void Inventory::expirePlanned(MonotonicTime now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const Expiry expiry = expiries_.front();
        expiries_.pop_front();
        const Gang *placed = gang(expiry.job);
        // A job that has been placed again in the meantime has a later expiry.
        if (placed != nullptr && placed->plannedUntil <= now) {
            removePlanned(expiry.job);
        }
    }
}

void Inventory::removePart(WorkerIndex worker, std::size_t partIndex)
{
    WorkerState &state = workers_[worker];
    const GangIndex gang = state.parts[partIndex].gang;
    addUse(gangs_[gang].account, -countOf(state.parts[partIndex].accelerators));
    state.parts[partIndex] = state.parts.back();
    state.parts.pop_back();
    ++releaseCount_;
    const bool isElsewhere = std::any_of(state.parts.begin(), state.parts.end(), [gang](const PlacedPart &part) {
        return part.gang == gang;
    });
    if (!isElsewhere) {
        removeWorkerFromGang(gang, worker);
    }
}

void Inventory::removeWorkerFromGang(GangIndex gang, WorkerIndex worker)
{
    std::erase(gangs_[gang].workers, worker);
    if (gangs_[gang].workers.empty()) {
        gangIndex_.erase(gangs_[gang].job);
        gangs_[gang] = Gang {};
        freeGangs_.push_back(gang);
    }
}

GangIndex Inventory::obtainGang(const std::string &job)
{
    const GangIndex known = gangIndex(job);
    if (known != noIndex) {
        return known;
    }
    GangIndex index = static_cast<GangIndex>(gangs_.size());
    if (freeGangs_.empty()) {
        gangs_.emplace_back();
    } else {
        index = freeGangs_.back();
        freeGangs_.pop_back();
    }
    gangs_[index].job = job;
    gangIndex_.emplace(job, index);
    return index;
}

void Inventory::updateFreeCapacity(WorkerIndex worker)
{
    WorkerState &state = workers_[worker];
    AcceleratorSet taken = 0;
    state.freeProcessors = state.report.processors;
    state.freeMemoryMib = state.report.memoryMib;
    state.freeSlots = state.report.slots;
    for (const PlacedPart &part : state.parts) {
        taken |= part.accelerators;
        state.freeProcessors -= part.processors;
        state.freeMemoryMib -= part.memoryMib;
        --state.freeSlots;
    }
    state.free = state.usable ? state.all & ~taken : 0;
    const int free = countOf(state.free);
    const int before = indexedFree_[worker];
    if (free == before) {
        return;
    }
    if (before != noIndex) {
        byFree_[before].erase(worker);
        rackFree_[state.rack] -= before;
    }
    byFree_[free].insert(worker);
    rackFree_[state.rack] += free;
    indexedFree_[worker] = free;
    if (free > before) {
        ++releaseCount_;
    }
}

void Inventory::setUsable(WorkerIndex worker, bool isUsable)
{
    WorkerState &state = workers_[worker];
    const bool newUsable = isUsable && state.present && state.report.available;
    if (state.usable != newUsable) {
        state.usable = newUsable;
        ++membershipVersion_;
        updateFreeCapacity(worker);
    }
}

void Inventory::setProbing(WorkerIndex worker, bool isProbing)
{
    if (workers_[worker].isProbing != isProbing) {
        workers_[worker].isProbing = isProbing;
        ++membershipVersion_;
    }
}

std::size_t Inventory::presentWorkers() const
{
    return present_;
}

void Inventory::setReserved(WorkerIndex worker, std::vector<ReservedAccelerators> reserved)
{
    WorkerState &state = workers_[worker];
    state.reserved = std::move(reserved);
    state.reservedSet = 0;
    for (const ReservedAccelerators &blockPart : state.reserved) {
        if ((state.reservedSet & blockPart.accelerators) != 0) {
            std::abort(); // invariant: an accelerator is reserved for one block only
        }
        state.reservedSet |= blockPart.accelerators;
    }
}

void Inventory::hold(WorkerIndex worker, HeldAccelerators held)
{
    workers_[worker].held.push_back(std::move(held));
}

void Inventory::releaseHeld(WorkerIndex worker, const std::string &job)
{
    const std::size_t released = std::erase_if(workers_[worker].held, [&job](const HeldAccelerators &held) {
        return held.job == job;
    });
    releaseCount_ += released;
}

void Inventory::setHeldUntil(WorkerIndex worker, const std::string &job, MonotonicTime until)
{
    for (HeldAccelerators &held : workers_[worker].held) {
        if (held.job == job && !held.isPendingReclaim) {
            held.until = until;
        }
    }
}

void Inventory::addUse(AccountIndex account, int accelerators)
{
    if (account == noIndex) {
        return;
    }
    if (static_cast<std::size_t>(account) >= used_.size()) {
        used_.resize(account + 1, 0);
    }
    used_[account] += accelerators;
}

void Inventory::setAccounts(std::map<std::string, AccountIndex> accounts)
{
    accounts_ = std::move(accounts);
    used_.assign(accounts_.size(), 0);
    for (Gang &gang : gangs_) {
        const auto account = accounts_.find(gang.description.account);
        gang.account = account == accounts_.end() ? noIndex : account->second;
    }
    for (const WorkerState &state : workers_) {
        for (const PlacedPart &part : state.parts) {
            addUse(gangs_[part.gang].account, countOf(part.accelerators));
        }
    }
}

bool Inventory::isReported(GangIndex gang) const
{
    const std::vector<WorkerIndex> &gangWorkers = gangs_[gang].workers;
    return std::any_of(gangWorkers.begin(), gangWorkers.end(), [&](WorkerIndex worker) {
        const std::vector<PlacedPart> &parts = workers_[worker].parts;
        return std::any_of(parts.begin(), parts.end(), [gang](const PlacedPart &part) {
            return part.gang == gang && part.reported;
        });
    });
}

const std::vector<WorkerState> &Inventory::workers() const
{
    return workers_;
}

const std::vector<std::vector<WorkerIndex>> &Inventory::racks() const
{
    return racks_;
}

WorkerIndex Inventory::find(const std::string &worker) const
{
    const auto found = workerIndex_.find(worker);
    return found == workerIndex_.end() ? noIndex : found->second;
}

const Gang *Inventory::gang(const std::string &job) const
{
    const GangIndex index = gangIndex(job);
    return index == noIndex ? nullptr : &gangs_[index];
}

const Gang &Inventory::gang(GangIndex index) const
{
    return gangs_[index];
}

Gang &Inventory::gang(GangIndex index)
{
    return gangs_[index];
}

GangIndex Inventory::gangIndex(const std::string &job) const
{
    const auto found = gangIndex_.find(job);
    return found == gangIndex_.end() ? noIndex : found->second;
}

const std::set<WorkerIndex> &Inventory::workersWithFree(int count) const
{
    return byFree_[count];
}

int Inventory::freeInRack(int rack) const
{
    return rackFree_[rack];
}

std::uint64_t Inventory::releaseCount() const
{
    return releaseCount_;
}

std::uint64_t Inventory::membershipVersion() const
{
    return membershipVersion_;
}

MonotonicTime Inventory::lastJoinedAt() const
{
    return lastJoinedAt_;
}

int Inventory::acceleratorsOf(AccountIndex account) const
{
    const bool isKnown = account != noIndex && static_cast<std::size_t>(account) < used_.size();
    return isKnown ? used_[account] : 0;
}

} // namespace knapweed::planning
