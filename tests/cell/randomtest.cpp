// Random histories of schedulers, agents and endpoints under trouble. A failure prints its seed; KNAPWEED_CELL_SEEDS plays that many seeds, and
// KNAPWEED_CELL_SEED begins with another one; KNAPWEED_CELL_LOG prints the decisions.

#include "base/logging.h"
#include "cell/table.h"
#include "cell/world.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr int defaultSeeds = 12; ///< of each kind of trouble, in CI
constexpr int jobsOfAHistory = 14;

int numberFrom(const char *variable, int fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::atoi(text);
}

JobSpec randomJob(pcg32 &random, int number)
{
    const char *queues[] = {"urgent", "usual", "later"};
    Step step = plainStep(1 + static_cast<int>(random(4)), {1000, 1000, static_cast<std::int64_t>(1 << random(4))});
    step.estimate = Milliseconds(300 + random(3000));
    step.isGang = random(2) == 0;
    std::vector<Step> steps {step};
    if (random(3) == 0) {
        Step second = plainStep(2, {1000, 1000, 1});
        second.estimate = Milliseconds(500);
        second.after = {0};
        steps.push_back(second);
    }
    return plainJob("job" + std::to_string(number), queues[random(3)], steps);
}

/// Plays one history: troubled for a while, then calm until everything must be over.
void playHistory(WorldOptions options)
{
    World world(options);
    pcg32 random(options.seed + 77);
    for (int number = 0; number < jobsOfAHistory; ++number) {
        world.submit(randomJob(random, number));
        world.play(Milliseconds(200 + random(1200)), true);
        if (random(6) == 0) {
            world.cancel("job" + std::to_string(random(static_cast<std::uint32_t>(number) + 1)));
        }
    }
    world.play(Milliseconds(4000), true);
    world.play(Milliseconds(60000), false);
    if (!world.faults().empty() || world.openJobs() != 0 || world.acceptedJobs() != jobsOfAHistory) {
        std::printf("seed %llu: %zu accepted, %zu open, %zu shown as succeeded, %lld generations\n",
            static_cast<unsigned long long>(options.seed),
            world.acceptedJobs(),
            world.openJobs(),
            world.succeededJobs(),
            static_cast<long long>(world.generation()));
        for (const std::string &fault : world.faults()) {
            std::printf("  %s\n", fault.c_str());
        }
    }
    CHECK(world.faults().empty());
    LONGS_EQUAL(0, world.openJobs());
    LONGS_EQUAL(jobsOfAHistory, world.acceptedJobs());
}

void playSeeds(const WorldOptions &options)
{
    if (std::getenv("KNAPWEED_CELL_LOG") != nullptr) {
        initializeLogging("history", LogLevel::Info);
    }
    const int first = numberFrom("KNAPWEED_CELL_SEED", 1);
    const int seeds = numberFrom("KNAPWEED_CELL_SEEDS", defaultSeeds);
    for (int seed = first; seed < first + seeds; ++seed) {
        WorldOptions chosen = options;
        chosen.seed = static_cast<std::uint64_t>(seed);
        playHistory(chosen);
    }
}

} // namespace

TEST_GROUP(CellHistory) {};

TEST(CellHistory, calm)
{
    playSeeds({});
}

TEST(CellHistory, messagesAreLost)
{
    WorldOptions options;
    options.lossShare = 0.1;
    playSeeds(options);
}

TEST(CellHistory, ordersAreCarriedOutLate)
{
    WorldOptions options;
    options.lateCallShare = 0.1;
    playSeeds(options);
}

TEST(CellHistory, schedulersChange)
{
    WorldOptions options;
    options.changesSchedulers = true;
    playSeeds(options);
}

TEST(CellHistory, agentsAreKilledAndCutOff)
{
    WorldOptions options;
    options.killsAgents = true;
    options.cutsAgents = true;
    playSeeds(options);
}

TEST(CellHistory, endpointsReboot)
{
    WorldOptions options;
    options.rebootsEndpoints = true;
    playSeeds(options);
}

TEST(CellHistory, allTroublesOverlap)
{
    WorldOptions options;
    options.lossShare = 0.03;
    options.lateCallShare = 0.03;
    options.changesSchedulers = true;
    options.killsAgents = true;
    options.cutsAgents = true;
    options.rebootsEndpoints = true;
    options.losesStore = true;
    playSeeds(options);
}
