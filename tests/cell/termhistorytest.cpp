// Random histories in which schedulers answer after their terms have ended, because they were paused or cut off from the store.

#include "cell/history.h"
#include "cell/simulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP(CellTermHistory)
{
    static constexpr int jobsPerHistory = 20;
    static constexpr Milliseconds calmTime {60000};

    std::size_t formerAnswers = 0;
    std::int64_t terms = 0;

    void runHistory(const SimulationOptions &options)
    {
        Simulation simulation(options);
        pcg32 random(options.seed, 44);
        for (int number = 0; number < jobsPerHistory; ++number) {
            const JobSpec job = randomJob(random, number);
            simulation.submit(job);
            // After a second, a submission that was not lost or refused has been accepted.
            if (random(6) == 0) {
                simulation.giveUp(job.id, Milliseconds(1000 + random(6000)));
            }
            simulation.run(Milliseconds(200 + random(1200)), true);
        }
        simulation.run(Milliseconds(8000), true);
        simulation.run(calmTime, false);
        formerAnswers += simulation.formerAnswers();
        terms += simulation.generation();
        if (!simulation.violations().empty() || simulation.unfinishedJobs() != 0) {
            std::printf("seed %llu: %zu accepted, %zu unfinished, %zu reported as succeeded, %lld generations\n",
                static_cast<unsigned long long>(options.seed),
                simulation.acceptedJobs(),
                simulation.unfinishedJobs(),
                simulation.succeededJobs(),
                static_cast<long long>(simulation.generation()));
            for (const std::string &violation : simulation.violations()) {
                std::printf("  %s\n", violation.c_str());
            }
        }
        CHECK(simulation.violations().empty());
        LONGS_EQUAL(0, simulation.unfinishedJobs());
    }

    void runSeeds(SimulationOptions options)
    {
        options.hasMemberships = true;
        int histories = 0;
        forEachSeed([this, &options, &histories](std::uint64_t seed) {
            options.seed = seed;
            runHistory(options);
            ++histories;
        });
        CHECK(terms > histories);
        CHECK(formerAnswers > 0);
    }
};

/// Guards against LOST and against states that go back: a scheduler that was paused answers from memory although its successor knows more.
TEST(CellTermHistory, schedulersArePausedBeyondTheirTerms)
{
    SimulationOptions options;
    options.pausesSchedulers = true;
    runSeeds(options);
}

/// As above, for a scheduler that only the store can't reach, and that goes on without interruption.
TEST(CellTermHistory, schedulersAreCutOffFromTheStore)
{
    SimulationOptions options;
    options.cutsOffSchedulers = true;
    runSeeds(options);
}

TEST(CellTermHistory, schedulersArePausedAndCutOffWhileTroublesOverlap)
{
    SimulationOptions options;
    options.cutsOffSchedulers = true;
    options.pausesSchedulers = true;
    options.messageLossShare = 0.03;
    options.lostAnswerShare = 0.03;
    options.killsAgents = true;
    options.disconnectsAgents = true;
    options.losesStore = true;
    options.restartsAgents = true;
    runSeeds(options);
}
