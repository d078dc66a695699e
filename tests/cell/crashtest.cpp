// Tests of tasks that crash the endpoints that start them, and of those that are lost with them.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr int mostStarts = 5; ///< after three crashes, a task may be started twice more

const Resources small {1000, 100, 1};
const Resources half {1000, 100, 4};

} // namespace

TEST_GROUP_BASE(SchedulerCrashes, SchedulerFixture)
{
    std::int64_t born = 100;
    std::vector<wire::LostRun> lost; ///< runs that the agent saw end with the previous incarnation
    std::map<std::string, wire::RunRef> running; ///< by job
    int percent = 0;
    bool isShown = true; ///< the endpoint shows its runs before it crashes under them

    wire::EndpointReport report(const std::string &endpoint, std::int64_t generation, const std::vector<wire::RunRow> &running = {})
    {
        wire::EndpointReport report = reportOf(endpoint, generation);
        report.born = born;
        report.lost = lost;
        report.running = running;
        return report;
    }

    void crashUnder(const std::vector<wire::StartOrder> &orders)
    {
        lost.clear();
        for (const wire::StartOrder &order : orders) {
            lost.emplace_back();
            lost.back().run = order.run;
            lost.back().wasRunning = isShown;
        }
    }

    /// The next incarnation of the endpoint of agent "a" reports.
    SchedulerOutput restart(Scheduler & scheduler, std::int64_t generation)
    {
        advance(Milliseconds(3000));
        ++born;
        return send(scheduler, "a", report("i-" + std::to_string(born), generation));
    }

    /// As above, after a crash under all that was started in @p output.
    SchedulerOutput crash(Scheduler & scheduler, const SchedulerOutput &output, std::int64_t generation)
    {
        crashUnder(startsOf(output));
        return restart(scheduler, generation);
    }

    /// Plays rounds from @p output on: a start of the job "crashing" crashes the endpoint with all that runs there, everything else makes progress.
    SchedulerOutput play(Scheduler & scheduler, SchedulerOutput output, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            bool crashes = false;
            for (const wire::StartOrder &order : startsOf(output)) {
                running[order.run.job] = order.run;
                crashes = crashes || order.run.job == "crashing";
            }
            if (crashes) {
                crashUnder(startsOf(output));
                const std::vector<wire::LostRun> starting = lost;
                for (const auto &[job, run] : running) {
                    const bool isStarting = std::any_of(starting.begin(), starting.end(), [&run = run](const wire::LostRun &row) {
                        return row.run == run;
                    });
                    if (!isStarting) {
                        lost.emplace_back();
                        lost.back().run = run;
                        lost.back().isSettled = true;
                        lost.back().wasRunning = true;
                    }
                }
                running.clear();
                output = restart(scheduler, 1);
                continue;
            }
            advance(Milliseconds(500));
            std::vector<wire::RunRow> rows;
            for (const auto &[job, run] : running) {
                rows.push_back(rowOf(run, ++percent));
            }
            output = send(scheduler, "a", report("i-" + std::to_string(born), 1, rows));
        }
        return output;
    }

    /// Crashes the endpoint at each start until the job isn't started any more. Returns the number of starts.
    int crashAtEachStart(Scheduler & scheduler, SchedulerOutput output, std::int64_t generation)
    {
        int starts = 0;
        while (!startsOf(output).empty() && starts < 4 * mostStarts) {
            ++starts;
            output = crash(scheduler, output, generation);
        }
        return starts;
    }
};

/// Guards against BUDGET: a run that was lost with its endpoint counted as nothing.
TEST(SchedulerCrashes, taskThatCrashesItsEndpointsIsGivenUp)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    const SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
    CHECK(crashAtEachStart(*scheduler, output, 1) <= mostStarts);
    STRCMP_EQUAL("failed", stateOf(*scheduler, "j1").c_str());
}

/// Guards against BUDGET: the endpoint crashes before it can show what it has started.
TEST(SchedulerCrashes, taskThatCrashesItsEndpointsBeforeItIsShownIsGivenUp)
{
    isShown = false;
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    const SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
    CHECK(crashAtEachStart(*scheduler, output, 1) <= mostStarts);
    STRCMP_EQUAL("failed", stateOf(*scheduler, "j1").c_str());
}

/// Guards against LOST: a run that an endpoint may not have had was taken for the cause of its crash.
TEST(SchedulerCrashes, crashesThatATaskMayNotHaveMetDoNotAddUpToTwo)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
    output = crash(*scheduler, output, 1);
    isShown = false;
    crash(*scheduler, output, 1);
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
}

/// Guards against BUDGET: the count was lost with its scheduler.
TEST(SchedulerCrashes, nextSchedulerKnowsTheCrashesBeforeIt)
{
    int starts = 0;
    std::int64_t generation = 0;
    std::unique_ptr<Scheduler> scheduler;
    do {
        scheduler = makeScheduler(++generation);
        SchedulerOutput output = send(*scheduler, "a", report("i-" + std::to_string(born), generation));
        if (generation == 1) {
            output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
        }
        if (startsOf(output).empty()) {
            break;
        }
        ++starts;
        output = crash(*scheduler, output, generation);
        crashUnder(startsOf(output)); // once more, before the next scheduler
        ++starts; // restarted by the same scheduler
    } while (starts < 4 * mostStarts);
    CHECK(starts <= mostStarts);
    STRCMP_EQUAL("failed", stateOf(*scheduler, "j1").c_str());
}

/// Guards against BUDGET: an endpoint that crashed while the scheduler changed was not counted against what it had started.
TEST(SchedulerCrashes, crashDuringAChangeOfSchedulerCounts)
{
    int starts = 0;
    std::int64_t generation = 0;
    std::unique_ptr<Scheduler> scheduler;
    do {
        scheduler = makeScheduler(++generation);
        ++born;
        SchedulerOutput output = send(*scheduler, "a", report("i-" + std::to_string(born), generation));
        if (generation == 1) {
            output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
        }
        crashUnder(startsOf(output));
        starts += static_cast<int>(startsOf(output).size());
    } while (stateOf(*scheduler, "j1") != "failed" && starts < 4 * mostStarts);
    CHECK(starts <= mostStarts);
}

TEST(SchedulerCrashes, crashAfterTheLeaseCounts)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
    int starts = 0;
    while (!startsOf(output).empty() && starts < 4 * mostStarts) {
        ++starts;
        advance(lease + Milliseconds(1000));
        settle(*scheduler);
        output = crash(*scheduler, output, 1);
    }
    CHECK(starts <= mostStarts);
}

TEST(SchedulerCrashes, gangThatCrashesSeveralEndpointsAtOnceIsCountedOnce)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    JobSpec gang = plainJob("g1", "usual", {plainStep(2, {1000, 100, 8})});
    gang.steps[0].isGang = true;
    send(*scheduler, "a", report("i-a", 1));
    send(*scheduler, "b", report("i-b", 1));
    const std::vector<wire::StartOrder> members = startsOf(send(*scheduler, "entry", submitOf(gang)));
    LONGS_EQUAL(2, members.size());
    ++born;
    crashUnder({members[0]});
    send(*scheduler, "a", report("i-a2", 1));
    crashUnder({members[1]});
    LONGS_EQUAL(2, startsOf(send(*scheduler, "b", report("i-b2", 1))).size());
    STRCMP_EQUAL("running", stateOf(*scheduler, "g1").c_str());
}

/// Others die with the task each time; what has made progress beside its start is not held responsible.
TEST(SchedulerCrashes, taskBesideTheOneThatCrashesEndpointsGoesOn)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    SchedulerOutput output = send(*scheduler, "a", report("i-100", 1));
    output = send(*scheduler, "entry", submitOf(plainJob("beside", "usual", {plainStep(1, half)})));
    output = play(*scheduler, output, 3);
    const SchedulerOutput submitted = send(*scheduler, "entry", submitOf(plainJob("crashing", "usual", {plainStep(1, half)})));
    play(*scheduler, submitted, 4 * mostStarts);
    STRCMP_EQUAL("failed", stateOf(*scheduler, "crashing").c_str());
    STRCMP_EQUAL("running", stateOf(*scheduler, "beside").c_str());
}

/// Tasks that are started together are told apart by starting each alone after the first crash.
TEST(SchedulerCrashes, tasksStartedTogetherWithTheOneThatCrashesEndpointsAreNotGivenUp)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    for (const char *job : {"one", "crashing", "two"}) {
        send(*scheduler, "entry", submitOf(plainJob(job, "usual", {plainStep(1, small)})));
    }
    play(*scheduler, send(*scheduler, "a", report("i-100", 1)), 4 * mostStarts);
    STRCMP_EQUAL("failed", stateOf(*scheduler, "crashing").c_str());
    STRCMP_EQUAL("running", stateOf(*scheduler, "one").c_str());
    STRCMP_EQUAL("running", stateOf(*scheduler, "two").c_str());
}

TEST(SchedulerCrashes, endpointThatLeavesInOrderIsNoCrash)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
    for (int round = 0; round < 4; ++round) {
        LONGS_EQUAL(1, startsOf(output).size());
        wire::EndpointReport leaving = report("i-" + (born == 100 ? std::string("a") : std::to_string(born)), 1, {rowOf(startsOf(output).front().run)});
        leaving.draining = true;
        send(*scheduler, "a", leaving);
        output = restart(*scheduler, 1);
    }
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
}

/// Guards against LOST: each new scheduler counted the same crash again while the job waited for room.
TEST(SchedulerCrashes, crashIsCountedOnceByAllSchedulersTogether)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    crashUnder(startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})))));
    ++born;
    for (std::int64_t generation = 2; generation < 8; ++generation) {
        scheduler = makeScheduler(generation);
        wire::EndpointReport full = report("i-b", generation);
        full.accelerators = 0;
        send(*scheduler, "a", full);
        send(*scheduler, "a", full);
        STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
    }
}

/// Guards against LOST: an endpoint that had left, or lost power with its agent, or had ended its runs before, counted as crashed if no scheduler was there.
TEST(SchedulerCrashes, endOfAnEndpointUnderWhichNoRunWasLostIsNoCrash)
{
    for (std::int64_t generation = 1; generation < 8; ++generation) {
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(generation);
        ++born;
        const SchedulerOutput output = send(*scheduler, "a", report("i-" + std::to_string(born), generation));
        if (generation == 1) {
            send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
        } else {
            LONGS_EQUAL(1, startsOf(output).size());
        }
        STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
    }
}

/// Guards against a unit that waits at each change of scheduler for the agent of a run that is over.
TEST(SchedulerCrashes, runOfAnEndpointThatHasLeftIsNoLongerRecorded)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)}))));
    wire::EndpointReport leaving = report("i-a", 1, {rowOf(starts.front().run)});
    leaving.draining = true;
    send(*scheduler, "a", leaving);
    leaving = report("i-a", 1);
    leaving.draining = true;
    send(*scheduler, "a", leaving); // gone, with the run
    const Result<JobProgress, JobRecordError> stored = decodeProgress(records.at(progressRecordKey("j1")));
    CHECK(isOk(stored));
    for (const auto &[key, unit] : value(stored).units) {
        CHECK(unit.agents.empty());
    }
}
