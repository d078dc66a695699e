// Speeds of endpoints. Each test guards against a comparison that would call a sound endpoint slow, or a slow one sound.

#include "cell/endpointspeeds.h"

#include <pcg_random.hpp>

#include <array>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // last, because it redefines new

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP(EndpointSpeeds)
{
    EndpointSpeeds speeds;
    BootTime now = BootTime(Seconds(100));

    void observe(const std::string &job, int index, const std::string &agent, Milliseconds runTime)
    {
        observePace(speeds, {job, 0, 0}, index, agent, runTime, now);
    }

    double speedOf(const std::string &agent)
    {
        now += Seconds(1);
        deriveSpeeds(speeds, now);
        return relativeSpeed(speeds, agent);
    }
};

namespace
{

/// Endpoints with relative speeds of 0.6, 1.0 and 1.6, a third each, and tasks with a tail.
struct UnevenFleet
{
    std::vector<double> logSlowness;
    mutable pcg32 random;

    UnevenFleet(std::uint64_t seed, int endpoints)
        : random(seed)
    {
        constexpr std::array<double, 3> speedsOfThirds = {0.6, 1.0, 1.6};
        for (int number = 0; number < endpoints; ++number) {
            logSlowness.push_back(-std::log(speedsOfThirds[static_cast<std::size_t>(number) % 3]));
        }
    }

    /// Root mean square error of the logarithms of the speeds, after steps that have run @p tasks tasks on each endpoint.
    template<typename Group>
    double errorAfter(int tasks, Group &group) const
    {
        std::normal_distribution<double> normal(0, 0.25);
        std::uniform_real_distribution<double> share;
        for (int step = 0; step < tasks; ++step) {
            for (std::size_t number = 0; number < logSlowness.size(); ++number) {
                const double seconds = 6.5 * std::exp(normal(random) + logSlowness[number]) * (share(random) < 0.03 ? 7 : 1);
                group.observe(
                    "step" + std::to_string(step), static_cast<int>(number), std::to_string(number), Milliseconds(static_cast<std::int64_t>(seconds * 1000)));
            }
        }
        double sum = 0;
        for (std::size_t number = 0; number < logSlowness.size(); ++number) {
            const double error = std::log(group.speedOf(std::to_string(number))) + logSlowness[number];
            sum += error * error;
        }
        return std::sqrt(sum / double(logSlowness.size()));
    }
};

} // namespace

TEST(EndpointSpeeds, endpointWhoseTasksTakeTwiceAsLongAsTheirSiblingsIsSlower)
{
    for (int job = 0; job < 8; ++job) {
        observe("job" + std::to_string(job), 0, "fast", Milliseconds(1000));
        observe("job" + std::to_string(job), 1, "slow", Milliseconds(2000));
    }
    CHECK(speedOf("slow") < 0.8);
    CHECK(speedOf("fast") > 1.2);
}

TEST(EndpointSpeeds, longJobsDoNotMakeTheirEndpointSlow)
{
    for (int job = 0; job < 8; ++job) {
        observe("long" + std::to_string(job), 0, "a", Milliseconds(9000));
        observe("short" + std::to_string(job), 0, "b", Milliseconds(500));
    }
    DOUBLES_EQUAL(1, speedOf("a"), 0.01);
    DOUBLES_EQUAL(1, speedOf("b"), 0.01);
}

/// Tasks of one step differ in length on the same endpoint, so that a single comparison proves little.
TEST(EndpointSpeeds, oneLongTaskHardlyCounts)
{
    observe("job", 0, "a", Milliseconds(1000));
    observe("job", 1, "b", Milliseconds(2000));
    CHECK(speedOf("b") > 0.8);
}

/// A slow phase of some seconds does not last as long as the jobs that follow it.
TEST(EndpointSpeeds, newObservationsOutweighOldOnes)
{
    for (int job = 0; job < 4; ++job) {
        observe("old" + std::to_string(job), 0, "a", Milliseconds(1000));
        observe("old" + std::to_string(job), 1, "b", Milliseconds(6000));
    }
    CHECK(speedOf("b") < 0.7);
    now += Seconds(60);
    for (int job = 0; job < 8; ++job) {
        observe("new" + std::to_string(job), 0, "a", Milliseconds(1000));
        observe("new" + std::to_string(job), 1, "b", Milliseconds(1000));
    }
    CHECK(speedOf("b") > 0.85);
}

TEST(EndpointSpeeds, unknownAndForgottenEndpointsHaveTheUsualSpeed)
{
    DOUBLES_EQUAL(1, relativeSpeed(speeds, "a"), 1e-9);
    observe("job", 0, "a", Milliseconds(1000));
    observe("job", 1, "b", Milliseconds(4000));
    CHECK(speedOf("b") < 1);
    forgetPaces(speeds, "b");
    DOUBLES_EQUAL(1, relativeSpeed(speeds, "b"), 1e-9);
}

/// Guards against one of the 3 in 100 tasks that take 7 times as long making its endpoint slow.
TEST(EndpointSpeeds, taskOfTheTailDoesNotMakeItsEndpointSlow)
{
    for (int index = 0; index < 12; ++index) {
        observe("wide", index, "a" + std::to_string(index), Milliseconds(index == 0 ? 7000 : 1000));
    }
    CHECK(speedOf("a0") > 0.9);
    CHECK(speedOf("a1") < 1.05);
}

/// Guards against speeds that are only known after dozens of tasks.
TEST(EndpointSpeeds, unevenFleetIsKnownAfterTwoTasksOnEachEndpoint)
{
    const UnevenFleet fleet(7, 54);
    const double afterOne = fleet.errorAfter(1, *this);
    speeds = EndpointSpeeds();
    const double afterTwo = fleet.errorAfter(2, *this);
    speeds = EndpointSpeeds();
    const double afterSix = fleet.errorAfter(6, *this);
    CHECK(afterOne < 0.27);
    CHECK(afterTwo < 0.21);
    CHECK(afterSix < 0.14);
}

/// Guards against chance differences between tasks being taken for speeds of endpoints that are alike.
TEST(EndpointSpeeds, endpointsOfAnEvenFleetAreHardlyDistinguished)
{
    UnevenFleet fleet(8, 54);
    for (double &slowness : fleet.logSlowness) {
        slowness = 0;
    }
    CHECK(fleet.errorAfter(2, *this) < 0.12); // without shrinkage: more than 0.18
}

/// Guards against speeds that are learned anew after each change of scheduler.
TEST(EndpointSpeeds, carriedSpeedHoldsAtOnceAndIsOutweighedByNewTasks)
{
    carrySpeed(speeds, "a", 0.6, now);
    DOUBLES_EQUAL(0.6, relativeSpeed(speeds, "a"), 1e-6);
    observe("first", 0, "a", Milliseconds(1600));
    observe("first", 1, "b", Milliseconds(1000));
    DOUBLES_EQUAL(0.62, speedOf("a"), 0.06);
    now += Seconds(30);
    for (int job = 0; job < 12; ++job) {
        observe("later" + std::to_string(job), 0, "a", Milliseconds(1000));
        for (int index = 1; index < 8; ++index) {
            observe("later" + std::to_string(job), index, "b" + std::to_string(index), Milliseconds(1000));
        }
    }
    CHECK(speedOf("a") > 0.85);
    forgetPaces(speeds, "a");
    DOUBLES_EQUAL(1, relativeSpeed(speeds, "a"), 1e-9);
}

/// The members of a gang show the pace of the slowest one.
TEST(EndpointSpeeds, fastGangShowsThatNoMemberIsAmongTheSlowest)
{
    for (int number = 0; number < 32; ++number) {
        const int index = number % 8;
        observe("wide" + std::to_string(number / 8),
            index,
            index < 2 ? "slow" + std::to_string(index) : "usual" + std::to_string(index),
            Milliseconds(index < 2 ? 2500 : 1000));
    }
    const double before = speedOf("slow0");
    CHECK(before < 0.8);
    observeGangPace(speeds, "slow0", Milliseconds(4000), Milliseconds(10000), now);
    observeGangPace(speeds, "slow1", Milliseconds(10000), Milliseconds(10000), now);
    CHECK(speedOf("slow0") > 0.95);
    CHECK(speedOf("slow1") < 0.8);
}

TEST(EndpointSpeeds, memoryIsBounded)
{
    for (int job = 0; job < 2000; ++job) {
        now += Milliseconds(1);
        observe("job" + std::to_string(job), 0, "a", Milliseconds(1000));
    }
    CHECK(speeds.steps.size() <= 128);
    CHECK(speeds.steps.count({"job1999", 0, 0}) == 1);
}
