// Property tests with random arrivals, cancellations and worker losses on a small fleet: all placements are valid and the queue drains.

#include "planning/blocks.h"
#include "planning/fleet.h"
#include "planning/reservationmap.h"

#include <algorithm>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace knapweed;
using namespace knapweed::planning;

namespace
{

constexpr std::int64_t tickMs = 100;
constexpr int longestRunTicks = 40;

struct Running
{
    WaitingJob job;
    std::vector<PlacedMember> members;
    std::int64_t endsAt = 0;
};

/// A model of the actual state of a fleet, independent of the planner.
class FleetModel
{
public:
    explicit FleetModel(int workers)
    {
        for (int number = 0; number < workers; ++number) {
            const Worker worker = makeWorker(number);
            workers_[worker.id] = worker;
        }
        Policy policy;
        policy.accounts["a"] = {1, {{2, 8, 0, 0, Adjacency::Rack}}};
        policy.accounts["b"] = {2, {{1, 4, 0, 0, Adjacency::Worker}, {2, 2, 0, 0, Adjacency::Rack}}};
        policy.accounts["c"] = {1, {}};
        planner_.setPolicy(policy);
        report();
    }

    void arrive()
    {
        const int accelerators = *rc::gen::element(1, 1, 1, 2, 4, 8);
        const int tasks = *rc::gen::element(1, 1, 2, 3);
        const Adjacency adjacency = *rc::gen::element(Adjacency::None, Adjacency::Worker, Adjacency::Rack);
        WaitingJob job = makeJob("j" + std::to_string(nextJob_++), tasks, accelerators, adjacency);
        job.account = *rc::gen::element<std::string>("a", "b", "c", "unknown");
        job.kind = *rc::gen::element<std::string>("short", "long");
        job.repeatable = *rc::gen::arbitrary<bool>();
        job.checkpointable = *rc::gen::arbitrary<bool>();
        job.urgent = *rc::gen::inRange(0, 20) == 0;
        job.enqueuedAt = at(now_);
        waiting_[job.id] = job;
        planner_.addJob(job);
    }

    void cancel()
    {
        if (waiting_.empty()) {
            return;
        }
        const std::string job = std::next(waiting_.begin(), *rc::gen::inRange<int>(0, static_cast<int>(waiting_.size())))->first;
        waiting_.erase(job);
        planner_.removeJob(job);
    }

    void loseOrReturnWorker()
    {
        const std::string id = std::next(workers_.begin(), *rc::gen::inRange<int>(0, static_cast<int>(workers_.size())))->first;
        if (lost_.erase(id) != 0) {
            return;
        }
        lost_.insert(id);
        std::vector<std::string> affected;
        for (const auto &[job, running] : running_) {
            if (std::any_of(running.members.begin(), running.members.end(), [&id](const PlacedMember &member) {
                    return member.worker == id;
                })) {
                affected.push_back(job);
            }
        }
        for (const std::string &job : affected) {
            stop(job, running_.at(job).job.repeatable);
        }
        planner_.removeWorker(at(now_), id);
    }

    void tick()
    {
        now_ += tickMs;
        std::vector<std::string> finished;
        for (const auto &[job, running] : running_) {
            if (running.endsAt <= now_) {
                finished.push_back(job);
            }
        }
        for (const std::string &job : finished) {
            planner_.recordRun(running_.at(job).job.account, running_.at(job).job.kind, Milliseconds(tickMs * longestRunTicks));
            stop(job, false);
        }
        report();
        for (const Decision &decision : planner_.decide(at(now_))) {
            std::visit(
                [this](const auto &action) {
                    apply(action);
                },
                decision);
        }
        RC_ASSERT(planner_.waitingJobs() == waiting_.size());
    }

    void returnAllWorkers()
    {
        lost_.clear();
    }

    /// The only jobs that may still wait cannot be preempted and would have to borrow.
    void checkDrained() const
    {
        for (const auto &[id, job] : waiting_) {
            RC_LOG() << id << ' ' << job.account << ' ' << job.shape.tasks << 'x' << job.shape.acceleratorsPerTask << " adjacency "
                     << static_cast<int>(job.shape.adjacency) << (job.urgent ? " urgent" : "") << ": " << planner_.waitReason(id) << std::endl;
            RC_ASSERT(!job.repeatable && !job.checkpointable);
            RC_ASSERT(planner_.waitReason(id).find("reserved for other accounts") != std::string::npos);
        }
    }

    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    void apply(const Place &place)
    {
        RC_ASSERT(waiting_.contains(place.job));
        const WaitingJob job = waiting_.at(place.job);
        RC_ASSERT(static_cast<int>(place.members.size()) == job.shape.tasks);
        RC_ASSERT(!place.borrowed || job.repeatable || job.checkpointable);
        std::set<std::string> places;
        std::set<std::string> racks;
        for (const PlacedMember &member : place.members) {
            RC_ASSERT(!lost_.contains(member.worker));
            RC_ASSERT(static_cast<int>(member.accelerators.size()) == job.shape.acceleratorsPerTask);
            for (const int accelerator : member.accelerators) {
                RC_ASSERT(taken_.insert({member.worker, accelerator}).second);
            }
            places.insert(member.worker);
            racks.insert(workers_.at(member.worker).rack);
        }
        RC_ASSERT(job.shape.adjacency != Adjacency::Worker || places.size() == 1);
        RC_ASSERT(job.shape.adjacency != Adjacency::Rack || racks.size() == 1);
        waiting_.erase(place.job);
        running_[place.job] = {job, place.members, now_ + tickMs * *rc::gen::inRange(1, longestRunTicks)};
    }

    void apply(const Preempt &preempt)
    {
        const auto found = running_.find(preempt.job);
        if (found == running_.end()) {
            return; // the job finished in this round
        }
        RC_ASSERT(found->second.job.repeatable || found->second.job.checkpointable);
        stop(preempt.job, true);
    }

    void apply(const Refuse &refuse)
    {
        const Shape shape = waiting_.at(refuse.job).shape;
        RC_ASSERT(!planner_.canEverHold(shape));
        waiting_.erase(refuse.job);
    }

    void stop(const std::string &job, bool waitsAgain)
    {
        const Running running = running_.at(job);
        for (const PlacedMember &member : running.members) {
            for (const int accelerator : member.accelerators) {
                taken_.erase({member.worker, accelerator});
            }
        }
        running_.erase(job);
        if (waitsAgain) {
            waiting_[job] = running.job;
            planner_.addJob(running.job);
        } else {
            planner_.removeJob(job);
        }
    }

    void report()
    {
        std::map<std::string, std::vector<Part>> parts;
        for (const auto &[id, running] : running_) {
            for (const PlacedMember &member : running.members) {
                Part part;
                part.job = id;
                part.account = running.job.account;
                part.kind = running.job.kind;
                part.accelerators = member.accelerators;
                part.processors = running.job.shape.processorsPerTask;
                part.memoryMib = running.job.shape.memoryMibPerTask;
                part.gangSize = running.job.shape.tasks;
                part.checkpointable = running.job.checkpointable;
                part.repeatable = running.job.repeatable;
                part.startedAt = at(now_);
                part.checkpointedAt = at(now_);
                parts[member.worker].push_back(part);
            }
        }
        for (auto &[id, worker] : workers_) {
            if (!lost_.contains(id)) {
                worker.parts = parts[id];
                planner_.updateWorker(at(now_), worker);
            }
        }
    }

    Planner planner_;
    std::map<std::string, Worker> workers_;
    std::set<std::string> lost_;
    std::map<std::string, WaitingJob> waiting_;
    std::map<std::string, Running> running_;
    std::set<std::pair<std::string, int>> taken_;
    std::int64_t now_ = 0;
    int nextJob_ = 0;
};

/// RapidCheck reads its seed from RC_PARAMS and prints the seed of a failure.
bool holds(const char *description, void (*property)())
{
    return rc::check(description, property);
}

} // namespace

TEST_GROUP(RandomHistories) {};

TEST(RandomHistories, placementsAreValidAndTheQueueDrains)
{
    CHECK(holds("placements are valid and the queue drains", [] {
        FleetModel fleet(*rc::gen::inRange(1, 12));
        const int steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            const int arrivals = *rc::gen::inRange(0, 4);
            for (int number = 0; number < arrivals; ++number) {
                fleet.arrive();
            }
            const int event = *rc::gen::inRange(0, 30);
            if (event == 0) {
                fleet.loseOrReturnWorker();
            } else if (event == 1) {
                fleet.cancel();
            }
            fleet.tick();
        }
        fleet.returnAllWorkers();
        const std::size_t bound = fleet.waiting() * longestRunTicks + 2000;
        for (std::size_t step = 0; fleet.waiting() > 0 && step < bound; ++step) {
            fleet.tick();
        }
        fleet.checkDrained();
    }));
}

TEST(RandomHistories, reservationsAreDisjointAndMoveOnlyWithTheirWorkers)
{
    CHECK(holds("reservations are disjoint and move only with their workers", [] {
        std::vector<MapWorker> workers;
        const int count = *rc::gen::inRange(1, 20);
        workers.reserve(count);
        for (int number = 0; number < count; ++number) {
            workers.push_back({"w" + std::to_string(number), "r" + std::to_string(number / 3), firstAccelerators(8), true});
        }
        Policy policy;
        const int guarantees = *rc::gen::inRange(0, 8);
        for (int number = 0; number < guarantees; ++number) {
            const Shape shape {
                *rc::gen::inRange(1, 5), *rc::gen::element(1, 2, 4, 8), 0, 0, *rc::gen::element(Adjacency::None, Adjacency::Worker, Adjacency::Rack)};
            policy.accounts["a" + std::to_string(*rc::gen::inRange(0, 4))].guarantee.push_back(shape);
        }
        const ReservationLayout before = layOutReservations(policy, workers, {});
        std::map<std::string, AcceleratorSet> taken;
        for (const MapBlock &block : before.current) {
            for (const MapPart &part : block.parts) {
                RC_ASSERT((taken[part.worker] & part.accelerators) == 0U);
                taken[part.worker] |= part.accelerators;
            }
        }
        MapWorker &lost = workers[*rc::gen::inRange(0, count)];
        lost.isUsable = false;
        const ReservationLayout during = layOutReservations(policy, workers, before.home);
        for (const MapBlock &block : during.current) {
            for (const MapPart &part : block.parts) {
                RC_ASSERT(part.worker != lost.id);
            }
        }
        lost.isUsable = true;
        RC_ASSERT(movedBlocks(before.current, layOutReservations(policy, workers, during.home).current) == 0);
    }));
}
