// Prediction of the time that a run still takes.

#include "cell/runprediction.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h> // last, because it redefines new

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds usual {10000};

/// What is listed of a run of @p work at @p age, when the last report is from @p delay before.
RunProgress listed(double work, double age, double delay, int startPercent = 0)
{
    RunProgress progress;
    progress.age = Milliseconds(static_cast<std::int64_t>(age));
    progress.startPercent = startPercent;
    progress.percent = std::min(100, static_cast<int>(startPercent + std::max(0.0, age - delay) * 100 / work));
    return progress;
}

double seconds(Milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

TEST_GROUP(RunPrediction) {};

TEST(RunPrediction, startsFromTheExpectedRunTimeAndTheSpeedOfTheEndpoint)
{
    DOUBLES_EQUAL(10, seconds(remainingTime({}, usual, 1)), 3);
    CHECK(remainingTime({}, usual, 0.6) > remainingTime({}, usual, 1.0));
    CHECK(remainingTime({}, usual, 1.0) > remainingTime({}, usual, 1.6));
}

/// Guards against a prediction that takes the expected run time for true although the run has shown its own.
TEST(RunPrediction, observedPaceReplacesAWrongExpectation)
{
    DOUBLES_EQUAL(50, seconds(remainingTime(listed(100000, 50000, 500), usual, 1)), 3);
    DOUBLES_EQUAL(1, seconds(remainingTime(listed(2000, 1000, 400), usual, 1)), 1); // the percentage may be a second old
}

/// Guards against a prediction of a few hundred milliseconds for one of the 3 in 100 tasks that take 7 times as long.
TEST(RunPrediction, tailIsRecognizedFromItsFirstPercents)
{
    const double remaining = seconds(remainingTime(listed(70000, 6000, 500), usual, 1));
    DOUBLES_EQUAL(64, remaining, 16);
}

/// Guards against counting the percentage of the checkpoint as work of this run.
TEST(RunPrediction, resumedRunIsMeasuredFromItsCheckpoint)
{
    RunProgress progress;
    progress.startPercent = 60;
    progress.percent = 60;
    DOUBLES_EQUAL(4, seconds(remainingTime(progress, usual, 1)), 1.5);
    DOUBLES_EQUAL(2, seconds(remainingTime(listed(10000, 3000, 900, 60), usual, 1)), 0.7);
}

TEST(RunPrediction, completeRunHasNothingLeft)
{
    RunProgress progress;
    progress.age = Milliseconds(8000);
    progress.percent = 100;
    LONGS_EQUAL(0, remainingTime(progress, usual, 1).count());
}

/// Guards against predictions of zero or of hours for runs that show nothing.
TEST(RunPrediction, runWithoutProgressIsPredictedWithinBounds)
{
    for (int age = 0; age < 200000; age += 500) {
        RunProgress progress;
        progress.age = Milliseconds(age);
        const Milliseconds remaining = remainingTime(progress, usual, 1);
        CHECK(remaining > Milliseconds(500));
        CHECK(remaining <= std::max(Milliseconds(70000), progress.age));
    }
    CHECK(remainingTime({}, Milliseconds(0), 0) >= Milliseconds(0));
}

/// Guards against systematic error, and against errors that the intervals of the reports and whole percentages do not explain.
TEST(RunPrediction, errorIsSmallForRunsOfUnevenLength)
{
    pcg32 random(5);
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> share;
    for (const double speed : {0.6, 1.0, 1.6}) {
        std::vector<double> errors;
        std::vector<double> signedErrors;
        for (int run = 0; run < 2000; ++run) {
            const double work = double(usual.count()) * std::exp(0.25 * normal(random)) * (share(random) < 0.03 ? 7 : 1) / speed;
            const double age = work * (0.2 + 0.7 * share(random));
            const RunProgress progress = listed(work, age, 1000 * share(random));
            const double error = double(remainingTime(progress, usual, speed).count()) - (work - age);
            errors.push_back(std::abs(error));
            signedErrors.push_back(error);
        }
        std::sort(errors.begin(), errors.end());
        std::sort(signedErrors.begin(), signedErrors.end());
        CHECK(errors[errors.size() / 2] < 700);
        CHECK(errors[errors.size() * 9 / 10] < 2500);
        CHECK(std::abs(signedErrors[signedErrors.size() / 2]) < 400);
    }
}
