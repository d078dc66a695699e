// Fills a fleet far beyond its size, then lets a hundredth of the running jobs end in each round.

#include "scale.h"

#include "cputime.h"
#include "planning/planner.h"

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <random>
#include <unordered_map>

namespace knapweed::bench
{

namespace
{

using planning::Adjacency;
using planning::Place;
using planning::Planner;
using planning::Shape;
using planning::WaitingJob;
using planning::Worker;

constexpr int acceleratorsPerWorker = 8;
constexpr int workersPerRack = 3;
constexpr int accounts = 40;
constexpr int steadyRounds = 100;
constexpr int quietRounds = 20;
constexpr Milliseconds tick {100};

class ScaleRun
{
public:
    ScaleRun(int workers, int tasks)
        : random_(static_cast<std::uint64_t>(workers))
    {
        point_.workers = workers;
        point_.tasks = tasks;
    }

    ScalePoint run()
    {
        begin();
        fill();
        steady();
        quiet();
        return point_;
    }

private:
    void begin()
    {
        planning::Policy policy;
        for (int account = 0; account < accounts; ++account) {
            const Shape guarantee {2, acceleratorsPerWorker, 0, 0, Adjacency::Rack};
            const int shapes = std::max(1, point_.workers / workersPerRack / accounts / 2);
            const bool hasGuarantee = account < point_.workers / workersPerRack / 2;
            policy.accounts["a" + std::to_string(account)] = {1, std::vector<Shape>(hasGuarantee ? shapes : 0, guarantee)};
        }
        planner_.setPolicy(policy);
        for (int number = 0; number < point_.workers; ++number) {
            Worker worker;
            worker.id = "w" + std::to_string(number);
            worker.agent = worker.id;
            worker.rack = "r" + std::to_string(number / workersPerRack);
            worker.available = true;
            worker.slots = acceleratorsPerWorker;
            worker.accelerators = acceleratorsPerWorker;
            worker.processors = 130;
            worker.memoryMib = 250000;
            workerIndex_[worker.id] = workers_.size();
            workers_.push_back(worker);
            planner_.updateWorker(time(), worker);
        }
        for (int task = 0; task < point_.tasks;) {
            task += addJob();
        }
    }

    /// Returns the tasks of the job.
    int addJob()
    {
        static const std::array<Shape, 4> shapes = {Shape {1, 1, 1, 100, Adjacency::None},
            Shape {1, 2, 1, 100, Adjacency::Worker},
            Shape {2, 8, 1, 100, Adjacency::Rack},
            Shape {1, 1, 1, 100, Adjacency::None}};
        WaitingJob job;
        job.id = "j" + std::to_string(nextJob_++);
        const int account = std::uniform_int_distribution<int>(0, accounts - 1)(random_);
        const int kind = std::uniform_int_distribution<int>(0, 3)(random_);
        job.account = "a" + std::to_string(account);
        job.kind = "k" + std::to_string(kind);
        job.shape = shapes.at(kind);
        job.checkpointable = kind == 2;
        job.repeatable = kind != 3;
        job.enqueuedAt = time();
        job.declaredRun = Milliseconds(10000);
        jobs_[job.id] = job;
        planner_.addJob(job);
        return job.shape.tasks;
    }

    Microseconds round()
    {
        now_ += tick;
        const Microseconds before = cpuTime();
        const std::vector<planning::Decision> decisions = planner_.decide(time());
        const Microseconds taken = cpuTime() - before;
        placed_ = 0;
        for (const planning::Decision &decision : decisions) {
            if (const Place *place = std::get_if<Place>(&decision)) {
                start(*place);
            } else if (const planning::Preempt *preempt = std::get_if<planning::Preempt>(&decision)) {
                end(preempt->job, true);
            }
        }
        report();
        ++point_.rounds;
        return taken;
    }

    void start(const Place &place)
    {
        ++placed_;
        running_.push_back(place);
        const WaitingJob &job = jobs_.at(place.job);
        for (const planning::PlacedMember &member : place.members) {
            Worker &worker = workers_[workerIndex_.at(member.worker)];
            planning::Part part;
            part.job = job.id;
            part.account = job.account;
            part.kind = job.kind;
            part.accelerators = member.accelerators;
            part.processors = job.shape.processorsPerTask;
            part.memoryMib = job.shape.memoryMibPerTask;
            part.gangSize = job.shape.tasks;
            part.checkpointable = job.checkpointable;
            part.repeatable = job.repeatable;
            part.startedAt = time();
            part.checkpointedAt = time();
            worker.parts.push_back(part);
            changed_.push_back(workerIndex_.at(member.worker));
        }
    }

    void end(const std::string &job, bool waitsAgain)
    {
        const auto place = std::find_if(running_.begin(), running_.end(), [&job](const Place &running) {
            return running.job == job;
        });
        if (place == running_.end()) {
            return;
        }
        for (const planning::PlacedMember &member : place->members) {
            std::erase_if(workers_[workerIndex_.at(member.worker)].parts, [&job](const planning::Part &part) {
                return part.job == job;
            });
            changed_.push_back(workerIndex_.at(member.worker));
        }
        *place = running_.back();
        running_.pop_back();
        if (waitsAgain) {
            planner_.addJob(jobs_.at(job));
        } else {
            planner_.removeJob(job);
            jobs_.erase(job);
        }
    }

    void report()
    {
        std::sort(changed_.begin(), changed_.end());
        changed_.erase(std::unique(changed_.begin(), changed_.end()), changed_.end());
        for (const std::size_t worker : changed_) {
            planner_.updateWorker(time(), workers_[worker]);
        }
        changed_.clear();
    }

    void fill()
    {
        do {
            point_.fill = std::max(point_.fill, round());
        } while (placed_ > 0);
    }

    void steady()
    {
        std::vector<Microseconds> rounds;
        for (int number = 0; number < steadyRounds; ++number) {
            const std::size_t ending = std::max<std::size_t>(1, running_.size() / 100);
            for (std::size_t job = 0; job < ending && !running_.empty(); ++job) {
                const std::size_t chosen = std::uniform_int_distribution<std::size_t>(0, running_.size() - 1)(random_);
                const WaitingJob done = jobs_.at(running_[chosen].job);
                end(done.id, false);
                planner_.recordRun(done.account, done.kind, Milliseconds(10000));
                addJob();
            }
            report();
            rounds.push_back(round());
        }
        std::sort(rounds.begin(), rounds.end());
        point_.steadyMedian = rounds[rounds.size() / 2];
        point_.steadyLongest = rounds.back();
    }

    void quiet()
    {
        round();
        for (int number = 0; number < quietRounds; ++number) {
            point_.quiet = std::max(point_.quiet, round());
        }
    }

    MonotonicTime time() const
    {
        return MonotonicTime {} + std::chrono::hours(1) + now_;
    }

    ScalePoint point_;
    pcg32 random_;
    Planner planner_;
    std::vector<Worker> workers_;
    std::unordered_map<std::string, std::size_t> workerIndex_;
    std::unordered_map<std::string, WaitingJob> jobs_;
    std::vector<Place> running_;
    std::vector<std::size_t> changed_;
    std::size_t nextJob_ = 0;
    int placed_ = 0;
    Milliseconds now_ {0};
};

double milliseconds(Microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

std::vector<ScalePoint> measureScale()
{
    std::vector<ScalePoint> points;
    for (const auto &[workers, tasks] : {std::pair {11, 1000}, std::pair {100, 1667}, std::pair {1000, 16670}, std::pair {8400, 140000}}) {
        points.push_back(ScaleRun(workers, tasks).run());
    }
    return points;
}

void printScale(const std::vector<ScalePoint> &points, bool printsJson)
{
    if (printsJson) {
        nlohmann::json document = nlohmann::json::array();
        for (const ScalePoint &point : points) {
            document.push_back({{"workers", point.workers},
                {"tasks", point.tasks},
                {"fill_ms", milliseconds(point.fill)},
                {"steady_median_ms", milliseconds(point.steadyMedian)},
                {"steady_longest_ms", milliseconds(point.steadyLongest)},
                {"quiet_ms", milliseconds(point.quiet)}});
        }
        std::cout << document.dump(1) << '\n';
        return;
    }
    std::printf("%8s %8s %10s %14s %15s %10s\n", "workers", "tasks", "fill ms", "steady median", "steady longest", "quiet ms");
    for (const ScalePoint &point : points) {
        std::printf("%8d %8d %10.2f %14.2f %15.2f %10.2f\n",
            point.workers,
            point.tasks,
            milliseconds(point.fill),
            milliseconds(point.steadyMedian),
            milliseconds(point.steadyLongest),
            milliseconds(point.quiet));
    }
}

} // namespace knapweed::bench
