// The driver reports every placed part before the next round, so a report is the whole truth of a worker.

#include "baseline.h"

#include <algorithm>
#include <cstdlib>

namespace knapweed::bench
{

namespace
{

using planning::AcceleratorSet;
using planning::Adjacency;
using planning::Shape;

int numberOf(const std::string &worker)
{
    return std::atoi(worker.c_str() + 1);
}

std::string shapeKey(const planning::WaitingJob &job)
{
    std::string key = std::to_string(job.shape.tasks) + '|' + std::to_string(job.shape.acceleratorsPerTask) + '|' + std::to_string(job.shape.processorsPerTask)
        + '|' + std::to_string(job.shape.memoryMibPerTask) + '|' + std::to_string(static_cast<int>(job.shape.adjacency));
    for (const std::string &worker : job.avoidWorkers) {
        key += '|' + worker;
    }
    return key;
}

} // namespace

Baseline::Baseline(bool isBestFit)
    : isBestFit_(isBestFit)
{
}

void Baseline::updateWorker(const planning::Worker &worker)
{
    Room room {worker, planning::firstAccelerators(worker.accelerators), worker.slots, worker.processors, worker.memoryMib};
    for (const planning::Part &part : worker.parts) {
        room.open &= ~planning::toSet(part.accelerators);
        --room.slots;
        room.processors -= part.processors;
        room.memoryMib -= part.memoryMib;
    }
    rooms_[numberOf(worker.id)] = room;
}

void Baseline::removeWorker(const std::string &worker)
{
    rooms_.erase(numberOf(worker));
}

void Baseline::addJob(const planning::WaitingJob &job)
{
    removeJob(job.id);
    positions_[job.id] = queue_.emplace(job.enqueuedAt, job);
}

void Baseline::removeJob(const std::string &job)
{
    const auto found = positions_.find(job);
    if (found != positions_.end()) {
        queue_.erase(found->second);
        positions_.erase(found);
    }
}

std::vector<planning::Decision> Baseline::decide()
{
    std::vector<planning::Decision> decisions;
    std::set<std::string> unplaceable;
    for (auto position = queue_.begin(); position != queue_.end();) {
        const planning::WaitingJob job = (position++)->second;
        const std::string key = shapeKey(job);
        if (unplaceable.contains(key)) {
            continue;
        }
        if (!canEverHold(job.shape)) {
            decisions.push_back(planning::Refuse {job.id, "never fits"});
            removeJob(job.id);
            continue;
        }
        std::vector<planning::PlacedMember> members = place(job);
        if (members.empty()) {
            unplaceable.insert(key);
            continue;
        }
        decisions.push_back(planning::Place {job.id, std::move(members), false});
        removeJob(job.id);
    }
    return decisions;
}

bool Baseline::canEverHold(const Shape &shape) const
{
    return std::any_of(rooms_.begin(), rooms_.end(), [&shape](const std::pair<const int, Room> &entry) {
        return entry.second.worker.accelerators >= shape.acceleratorsPerTask;
    });
}

std::vector<std::vector<Baseline::Room *>> Baseline::scopes(Adjacency adjacency)
{
    std::map<std::string, std::vector<Room *>> byScope;
    for (auto &[number, room] : rooms_) {
        const std::string worker = "w" + std::to_string(10000 + number);
        byScope[adjacency == Adjacency::Worker ? worker : adjacency == Adjacency::Rack ? room.worker.rack : std::string {}].push_back(&room);
    }
    std::vector<std::vector<Room *>> scopes;
    scopes.reserve(byScope.size());
    for (auto &[name, rooms] : byScope) {
        scopes.push_back(std::move(rooms));
    }
    if (isBestFit_) {
        const auto openIn = [](const std::vector<Room *> &rooms) {
            int open = 0;
            for (const Room *room : rooms) {
                open += planning::countOf(room->open);
            }
            return open;
        };
        std::stable_sort(scopes.begin(), scopes.end(), [&openIn](const std::vector<Room *> &left, const std::vector<Room *> &right) {
            return openIn(left) < openIn(right);
        });
    }
    return scopes;
}

std::vector<planning::PlacedMember> Baseline::place(const planning::WaitingJob &job)
{
    for (const std::vector<Room *> &scope : scopes(job.shape.adjacency)) {
        std::vector<planning::PlacedMember> members = placeIn(job, scope);
        if (!members.empty()) {
            return members;
        }
    }
    return {};
}

std::vector<planning::PlacedMember> Baseline::placeIn(const planning::WaitingJob &job, std::vector<Room *> rooms)
{
    const Shape &shape = job.shape;
    if (isBestFit_) {
        std::stable_sort(rooms.begin(), rooms.end(), [](const Room *left, const Room *right) {
            return planning::countOf(left->open) < planning::countOf(right->open);
        });
    }
    std::vector<planning::PlacedMember> members;
    std::vector<Room> before;
    before.reserve(rooms.size());
    std::vector<Room *> touched;
    touched.reserve(rooms.size());
    for (Room *room : rooms) {
        if (!room->worker.available || std::find(job.avoidWorkers.begin(), job.avoidWorkers.end(), room->worker.id) != job.avoidWorkers.end()) {
            continue;
        }
        touched.push_back(room);
        before.push_back(*room);
        while (static_cast<int>(members.size()) < shape.tasks && planning::countOf(room->open) >= shape.acceleratorsPerTask && room->slots > 0
            && room->processors >= shape.processorsPerTask && room->memoryMib >= shape.memoryMibPerTask) {
            const AcceleratorSet chosen = planning::lowestOf(room->open, shape.acceleratorsPerTask);
            room->open &= ~chosen;
            --room->slots;
            room->processors -= shape.processorsPerTask;
            room->memoryMib -= shape.memoryMibPerTask;
            members.push_back({room->worker.id, room->worker.agent, planning::toList(chosen)});
        }
    }
    if (static_cast<int>(members.size()) == shape.tasks) {
        return members;
    }
    for (std::size_t place = 0; place < touched.size(); ++place) {
        *touched[place] = before[place];
    }
    return {};
}

} // namespace knapweed::bench
