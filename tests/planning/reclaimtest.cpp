// Guaranteed shapes are reclaimed from borrowers by preempting whole gangs.

#include "planning/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::planning;

TEST_GROUP(Reclaim)
{
    Planner planner_;
    std::map<std::string, Worker> workers_;

    void setup() override
    {
        Policy policy;
        policy.accounts["owner"] = {1, {{2, 4, 0, 0, Adjacency::Rack}}};
        policy.accounts["other"] = {1, {}};
        planner_.setPolicy(policy);
        for (int number = 0; number < 2; ++number) {
            const Worker worker = makeWorker(number);
            workers_[worker.id] = worker;
            planner_.updateWorker(at(0), worker);
        }
    }

    void add(const std::string &id, const std::string &account, Shape shape, bool repeatable, bool checkpointable, int arrival = 0)
    {
        WaitingJob job = makeJob(id);
        job.account = account;
        job.shape = shape;
        job.repeatable = repeatable;
        job.checkpointable = checkpointable;
        job.enqueuedAt = at(arrival);
        planner_.addJob(job);
    }

    /// Runs a planning round and reports every placed part.
    std::vector<Decision> run(std::int64_t milliseconds, bool checkpointable = false)
    {
        std::vector<Decision> decisions = planner_.decide(at(milliseconds));
        for (const Place &place : only<Place>(decisions)) {
            for (const PlacedMember &member : place.members) {
                Part part;
                part.job = place.job;
                part.account = place.job.substr(0, 5);
                part.accelerators = member.accelerators;
                part.gangSize = static_cast<int>(place.members.size());
                part.checkpointable = checkpointable;
                part.repeatable = place.job.find("once") == std::string::npos;
                part.startedAt = at(milliseconds);
                part.checkpointedAt = at(milliseconds);
                workers_[member.worker].parts.push_back(part);
            }
        }
        for (const auto &[id, worker] : workers_) {
            planner_.updateWorker(at(milliseconds), worker);
        }
        return decisions;
    }

    void stop(std::int64_t milliseconds, const std::string &job)
    {
        for (auto &[id, worker] : workers_) {
            std::erase_if(worker.parts, [&job](const Part &part) {
                return part.job == job;
            });
            planner_.updateWorker(at(milliseconds), worker);
        }
    }
};

TEST(Reclaim, preemptsBorrowersAndPlacesTheOwnerOnTheClearedBlock)
{
    for (int number = 0; number < 4; ++number) {
        add("other-" + std::to_string(number), "other", {1, 4, 0, 0, Adjacency::None}, true, false);
    }
    LONGS_EQUAL(4, only<Place>(run(10)).size());
    add("owner-gang", "owner", {2, 4, 0, 0, Adjacency::Rack}, false, false, 1000);
    const std::vector<Preempt> preempted = only<Preempt>(run(1000));
    CHECK(!preempted.empty());
    for (const Preempt &preempt : preempted) {
        STRCMP_EQUAL("owner-gang", preempt.forJob.c_str());
        stop(1200, preempt.job);
    }
    const std::vector<Place> placed = only<Place>(run(1200));
    LONGS_EQUAL(1, placed.size());
    STRCMP_EQUAL("owner-gang", placed[0].job.c_str());
    CHECK_FALSE(placed[0].borrowed);
}

TEST(Reclaim, aJobThatCannotBePreemptedNeverBorrows)
{
    for (int number = 0; number < 4; ++number) {
        add("once-" + std::to_string(number), "other", {1, 4, 0, 0, Adjacency::None}, false, false);
    }
    LONGS_EQUAL(2, only<Place>(run(10)).size());
    add("owner-gang", "owner", {2, 4, 0, 0, Adjacency::Rack}, false, false, 20);
    LONGS_EQUAL(1, only<Place>(run(20)).size());
}

TEST(Reclaim, clearedAcceleratorsAreNotGivenToOtherJobs)
{
    for (int number = 0; number < 4; ++number) {
        add("other-" + std::to_string(number), "other", {1, 4, 0, 0, Adjacency::None}, true, false);
    }
    run(10);
    add("owner-gang", "owner", {2, 4, 0, 0, Adjacency::Rack}, true, true, 1000);
    const std::vector<Preempt> preempted = only<Preempt>(run(1000));
    LONGS_EQUAL(2, preempted.size());
    stop(1100, preempted[0].job);
    add(preempted[0].job, "other", {1, 4, 0, 0, Adjacency::None}, true, false);
    LONGS_EQUAL(0, only<Place>(run(1100)).size());
    stop(1200, preempted[1].job);
    LONGS_EQUAL(1, only<Place>(run(1200)).size());
}

TEST(Reclaim, repeatsTheStopRequestToVictimsThatKeepRunning)
{
    for (int number = 0; number < 4; ++number) {
        add("other-" + std::to_string(number), "other", {1, 4, 0, 0, Adjacency::None}, true, false);
    }
    run(10);
    add("owner-gang", "owner", {2, 4, 0, 0, Adjacency::Rack}, true, true, 1000);
    const std::vector<Preempt> first = only<Preempt>(run(1000));
    LONGS_EQUAL(0, only<Preempt>(run(1100)).size());
    const std::vector<Preempt> second = only<Preempt>(run(1600));
    LONGS_EQUAL(first.size(), second.size());
    STRCMP_EQUAL(first[0].job.c_str(), second[0].job.c_str());
}

/// Found by RandomHistories with RC_PARAMS="max_success=4000 seed=7".
TEST(Reclaim, aPendingReclaimEndsWhenItsAcceleratorsBecomeReservedForOthers)
{
    planner_.setPolicy({});
    add("other-0", "other", {1, 8, 0, 0, Adjacency::None}, true, false);
    add("other-1", "other", {1, 8, 0, 0, Adjacency::None}, true, false);
    LONGS_EQUAL(2, only<Place>(run(10)).size());
    WaitingJob urgent = makeJob("once-urgent", 1, 8);
    urgent.repeatable = false;
    urgent.urgent = true;
    planner_.addJob(urgent);
    const std::vector<Preempt> preempted = only<Preempt>(run(100));
    LONGS_EQUAL(1, preempted.size());
    Policy policy;
    policy.accounts["other"] = {1, {{2, 8, 0, 0, Adjacency::Rack}}};
    planner_.setPolicy(policy);
    stop(200, preempted[0].job);
    LONGS_EQUAL(0, only<Place>(run(200)).size());
    STRCMP_CONTAINS("reserved for other accounts", planner_.waitReason("once-urgent").c_str());
}

/// Found by RandomHistories with RC_PARAMS="max_success=4000 seed=7", as two urgent jobs that never finished.
TEST(Reclaim, urgentJobsDoNotPreemptEachOther)
{
    planner_.setPolicy({});
    for (const char *id : {"other-first", "other-second", "other-third"}) {
        WaitingJob urgent = makeJob(id, 1, 8);
        urgent.account = "other";
        urgent.urgent = true;
        planner_.addJob(urgent);
    }
    LONGS_EQUAL(2, only<Place>(run(10)).size());
    const std::vector<Decision> later = run(5000);
    LONGS_EQUAL(0, only<Preempt>(later).size());
    LONGS_EQUAL(1, planner_.waitingJobs());
}

/// Found by RandomHistories with RC_PARAMS="max_success=4000 seed=7": the start reservation held accelerators that its job could no longer use.
TEST(Reclaim, aStartReservationEndsWhenItsAcceleratorsBecomeReservedForOthers)
{
    planner_.setPolicy({});
    add("other-0", "other", {1, 8, 0, 0, Adjacency::None}, true, false);
    add("other-1", "other", {1, 8, 0, 0, Adjacency::None}, true, false);
    LONGS_EQUAL(2, only<Place>(run(10)).size());
    add("once-waits", "unknown", {1, 8, 0, 0, Adjacency::None}, false, false);
    LONGS_EQUAL(0, run(20).size());
    Policy policy;
    policy.accounts["owner"] = {1, {{2, 8, 0, 0, Adjacency::Rack}}};
    planner_.setPolicy(policy);
    stop(200, "other-0");
    stop(200, "other-1");
    add("other-2", "other", {2, 8, 0, 0, Adjacency::Rack}, true, false);
    LONGS_EQUAL(1, only<Place>(run(200)).size());
}
