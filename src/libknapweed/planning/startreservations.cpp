// Each accelerator gets the time at which it is expected to be free. A group of workers can start the job when the last of the job's tasks can start there.

#include "planning/startreservations.h"

#include <algorithm>
#include <numeric>

namespace knapweed::planning
{

namespace
{

constexpr std::size_t maximumRacks = 256; ///< that one search compares

struct FreeTime
{
    MonotonicTime at;
    int accelerator = 0;
};

/// The time at which a worker can start one more task, and the accelerators for the task.
struct TaskStart
{
    MonotonicTime at;
    WorkerIndex worker = noIndex;
    AcceleratorSet accelerators = 0;
};

std::vector<FreeTime> freeTimes(const StartContext &context, const WorkerState &state, AcceleratorSet allowed)
{
    std::vector<FreeTime> times;
    for (const int accelerator : toList(allowed & state.free)) {
        times.push_back({context.now, accelerator});
    }
    for (const PlacedPart &part : state.parts) {
        const AcceleratorSet busy = part.accelerators & allowed;
        if (busy == 0) {
            continue;
        }
        const Gang &gang = context.inventory->gang(part.gang);
        const MonotonicTime end = expectedEnd(context, gang);
        for (const int accelerator : toList(busy)) {
            times.push_back({end, accelerator});
        }
    }
    std::sort(times.begin(), times.end(), [](const FreeTime &left, const FreeTime &right) {
        return left.at != right.at ? left.at < right.at : left.accelerator < right.accelerator;
    });
    return times;
}

void addTaskStarts(std::vector<TaskStart> &starts, const std::vector<FreeTime> &times, WorkerIndex worker, const Shape &shape, int limit)
{
    const std::size_t size = static_cast<std::size_t>(shape.acceleratorsPerTask);
    for (int task = 0; task < limit && (task + 1) * size <= times.size(); ++task) {
        TaskStart start {times[(task + 1) * size - 1].at, worker, 0};
        for (std::size_t index = task * size; index < (task + 1) * size; ++index) {
            start.accelerators |= AcceleratorSet {1} << times[index].accelerator;
        }
        starts.push_back(start);
    }
}

/// The racks with the most free accelerators, in descending order.
std::vector<std::size_t> racksByFree(const Inventory &inventory)
{
    std::vector<std::size_t> racks(inventory.racks().size());
    std::iota(racks.begin(), racks.end(), 0);
    const std::size_t compared = std::min(racks.size(), maximumRacks);
    std::partial_sort(racks.begin(), racks.begin() + static_cast<std::ptrdiff_t>(compared), racks.end(), [&inventory](std::size_t left, std::size_t right) {
        const int first = inventory.freeInRack(static_cast<int>(left));
        const int second = inventory.freeInRack(static_cast<int>(right));
        return first != second ? first > second : left < right;
    });
    racks.resize(compared);
    return racks;
}

std::vector<std::vector<WorkerIndex>> startGroups(const Inventory &inventory, const Shape &shape)
{
    const bool isOnOneWorker = shape.adjacency == Adjacency::Worker || shape.tasks == 1;
    std::vector<std::vector<WorkerIndex>> groups;
    for (const std::size_t rack : racksByFree(inventory)) {
        if (isOnOneWorker) {
            for (const WorkerIndex worker : inventory.racks()[rack]) {
                groups.push_back({worker});
            }
        } else if (shape.adjacency == Adjacency::Rack || groups.empty()) {
            groups.push_back(inventory.racks()[rack]);
        } else {
            groups.back().insert(groups.back().end(), inventory.racks()[rack].begin(), inventory.racks()[rack].end());
        }
    }
    return groups;
}

} // namespace

MonotonicTime expectedEnd(const StartContext &context, const Gang &gang)
{
    const Part &part = gang.description;
    const Milliseconds elapsed = std::chrono::duration_cast<Milliseconds>(context.now - part.startedAt);
    return context.now + context.estimates->remaining(part.account, part.kind, Milliseconds::zero(), std::max(elapsed, Milliseconds::zero()));
}

std::optional<StartReservation> findEarliestStart(const StartContext &context, const Search &search)
{
    const Inventory &inventory = *context.inventory;
    const Shape &shape = search.job->shape;
    std::optional<StartReservation> best;
    for (const std::vector<WorkerIndex> &group : startGroups(inventory, shape)) {
        std::vector<TaskStart> starts;
        for (const WorkerIndex worker : group) {
            const WorkerState &state = inventory.workers()[worker];
            const bool isAvoided = std::find(search.avoid.begin(), search.avoid.end(), worker) != search.avoid.end();
            if (state.usable && !state.isProbing && !isAvoided) {
                addTaskStarts(starts, freeTimes(context, state, allowedSet(state, search)), worker, shape, state.report.slots);
            }
        }
        if (static_cast<int>(starts.size()) < shape.tasks) {
            continue;
        }
        std::stable_sort(starts.begin(), starts.end(), [](const TaskStart &left, const TaskStart &right) {
            return left.at < right.at;
        });
        const MonotonicTime start = starts[shape.tasks - 1].at;
        if (best && best->start <= start) {
            continue;
        }
        best = StartReservation {search.job->id, {}, start, context.now};
        for (int task = 0; task < shape.tasks; ++task) {
            best->parts.push_back({starts[task].worker, starts[task].accelerators});
        }
    }
    return best;
}

MonotonicTime expectedStart(const StartContext &context, const StartReservation &reservation)
{
    MonotonicTime start = context.now;
    for (const PlannedPart &part : reservation.parts) {
        for (const PlacedPart &placed : context.inventory->workers()[part.worker].parts) {
            const Gang &gang = context.inventory->gang(placed.gang);
            if ((placed.accelerators & part.accelerators) != 0) {
                start = std::max(start, expectedEnd(context, gang));
            }
        }
    }
    return start;
}

void StartReservations::add(Inventory &inventory, StartReservation reservation)
{
    release(inventory, reservation.job);
    for (const PlannedPart &part : reservation.parts) {
        inventory.hold(part.worker, {reservation.job, part.accelerators, reservation.start, false});
    }
    const std::string job = reservation.job;
    reservations_.emplace(job, std::move(reservation));
}

void StartReservations::release(Inventory &inventory, const std::string &job)
{
    const auto found = reservations_.find(job);
    if (found == reservations_.end()) {
        return;
    }
    for (const PlannedPart &part : found->second.parts) {
        inventory.releaseHeld(part.worker, job);
    }
    reservations_.erase(found);
}

void StartReservations::setStart(Inventory &inventory, const std::string &job, MonotonicTime start)
{
    StartReservation &reservation = reservations_.at(job);
    reservation.start = start;
    for (const PlannedPart &part : reservation.parts) {
        inventory.setHeldUntil(part.worker, job, start);
    }
}

StartReservation *StartReservations::find(const std::string &job)
{
    const auto found = reservations_.find(job);
    return found == reservations_.end() ? nullptr : &found->second;
}

const std::map<std::string, StartReservation> &StartReservations::reservations() const
{
    return reservations_;
}

} // namespace knapweed::planning
