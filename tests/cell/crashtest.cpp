// Tests of tasks that crash the endpoints that start them, and of those that are lost with them.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

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
    std::map<std::string, wire::RunRef> running; ///< by job
    int percent = 0;

    wire::EndpointReport report(const std::string &endpoint, std::int64_t generation, const std::vector<wire::RunRow> &running = {})
    {
        wire::EndpointReport report = reportOf(endpoint, generation);
        report.born = born;
        report.running = running;
        return report;
    }

    /// The next incarnation of the endpoint of agent "a" reports.
    SchedulerOutput restart(Scheduler & scheduler, std::int64_t generation)
    {
        advance(Milliseconds(3000));
        ++born;
        return send(scheduler, "a", report("i-" + std::to_string(born), generation));
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
            output = restart(scheduler, generation);
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
        restart(*scheduler, generation);
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
        SchedulerOutput output = send(*scheduler, "a", report("i-" + std::to_string(++born), generation));
        if (generation == 1) {
            output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, small)})));
        }
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
        output = restart(*scheduler, 1);
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
    LONGS_EQUAL(2, startsOf(send(*scheduler, "entry", submitOf(gang))).size());
    ++born;
    send(*scheduler, "a", report("i-a2", 1));
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
