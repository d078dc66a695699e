// Speeds of endpoints. Each test guards against a comparison that would call a sound endpoint slow, or a slow one sound.

#include "cell/endpointspeeds.h"

#include <CppUTest/TestHarness.h>

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

TEST(EndpointSpeeds, memoryIsBounded)
{
    for (int job = 0; job < 2000; ++job) {
        now += Milliseconds(1);
        observe("job" + std::to_string(job), 0, "a", Milliseconds(1000));
    }
    CHECK(speeds.steps.size() <= 128);
    CHECK(speeds.steps.count({"job1999", 0, 0}) == 1);
}
