// Job records are decoded to what was encoded, and unreadable records are errors.

#include "jobs/jobrecord.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP(JobRecord) {};

TEST(JobRecord, specSurvivesARoundTrip)
{
    JobSpec spec;
    spec.id = "j1";
    spec.queue = "q";
    spec.account = "a";
    spec.service = "s";
    spec.priority = 2;
    spec.attempts = 4;
    spec.advice = {true, Milliseconds(100), Milliseconds(50), Milliseconds(3000)};
    spec.input = "text \"with\" \xff bytes";
    spec.occurrences = 3;
    spec.firstDue = WallTime(Milliseconds(1234567));
    spec.interval = Milliseconds(500);
    Step step;
    step.tasks = 4;
    step.needs = {500, 256, 2};
    step.estimate = Milliseconds(900);
    step.isGang = step.prefersOneRack = step.hasCheckpoints = step.maySpeculate = step.isLongRunning = step.isFiller = true;
    step.requiredLabel = "l";
    step.dataRack = "r";
    step.image = "i";
    step.tasksPerEndpoint = 2;
    step.maxUnavailable = 1;
    step.latencyTarget = Milliseconds(40);
    Step second;
    second.after = {0};
    spec.steps = {step, second};
    const Result<JobSpec, JobRecordError> decoded = decodeSpec(encodeSpec(spec));
    CHECK(isOk(decoded));
    // Bytes that are not valid UTF-8 are replaced; everything else is preserved, so that a second round trip changes nothing.
    STRCMP_EQUAL(encodeSpec(spec).c_str(), encodeSpec(value(decoded)).c_str());
    const JobSpec &back = value(decoded);
    LONGS_EQUAL(3, back.occurrences);
    CHECK(back.firstDue == spec.firstDue);
    CHECK(back.steps.at(0).isGang && back.steps.at(0).isLongRunning && back.steps.at(0).isFiller && back.steps.at(0).maySpeculate);
    LONGS_EQUAL(0, back.steps.at(1).after.at(0));
    CHECK(back.steps.at(0).needs == step.needs);
    LONGS_EQUAL(4, back.attempts);
    CHECK(back.advice == spec.advice);
}

TEST(JobRecord, progressSurvivesARoundTrip)
{
    JobProgress progress;
    progress.isCancelled = true;
    progress.units[{0, 1, -1}] = {true, 1, 77, "", {}};
    progress.units[{2, 0, 5}] = {false, 2, 88, "ckpt", {"10.0.0.1:7000", "10.0.0.2:7000"}};
    const Result<JobProgress, JobRecordError> decoded = decodeProgress(encodeProgress(progress));
    CHECK(isOk(decoded));
    CHECK(value(decoded) == progress);
}

TEST(JobRecord, crashesOfEachMemberOfAGangSurviveARoundTrip)
{
    JobProgress progress;
    UnitProgress &gang = progress.units[{0, 1, -1}];
    gang.crashes[2].count = 1;
    gang.crashes[2].lastRun = 7;
    gang.crashes[5].count = 2;
    gang.crashes[5].lastRun = 9;
    const Result<JobProgress, JobRecordError> read = decodeProgress(encodeProgress(progress));
    CHECK(isOk(read));
    CHECK(value(read) == progress);
}

/// Records of earlier versions count the crashes of a whole unit. Those of a gang say nothing about any one of its tasks.
TEST(JobRecord, crashesInRecordsOfEarlierVersionsAreReadForSingleTasks)
{
    const Result<JobProgress, JobRecordError> read = decodeProgress(R"({"u":[[0,0,3,0,0,0,"",["a"],[],2,11],[0,1,-1,0,0,0,"",["a"],[],2,11]]})");
    CHECK(isOk(read));
    const JobProgress &progress = value(read);
    LONGS_EQUAL(2, progress.units.at({0, 0, 3}).crashes.at(3).count);
    LONGS_EQUAL(11, progress.units.at({0, 0, 3}).crashes.at(3).lastRun);
    CHECK(progress.units.at({0, 1, -1}).crashes.empty());
}

TEST(JobRecord, unreadableRecordsAreErrors)
{
    CHECK(!isOk(decodeSpec("")));
    CHECK(!isOk(decodeSpec(R"({"id":"j1"})")));
    CHECK(!isOk(decodeProgress("[]")));
    CHECK(!isOk(decodeProgress(R"({"u":[[1]]})")));
}
