// When the scheduler takes a run as stalled: by comparison with its own pace, and its endpoint only if several tasks stand still there.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds reportInterval {500};
constexpr Milliseconds noLimit {1000000000};

} // namespace

TEST_GROUP_BASE(SchedulerStalls, SchedulerFixture)
{
    /// Plays endpoints that state whole percent every half second.
    struct Played
    {
        wire::RunRef run;
        std::string endpoint;
        BootTime startedAt;
        Milliseconds work {0}; ///< of the whole task
        int startPercent = 0; ///< its checkpoint
        Milliseconds standsAfter {0}; ///< age from which it makes no progress
        bool isStopped = false;
    };

    std::unique_ptr<Scheduler> scheduler;
    std::vector<Played> runs;
    std::vector<Milliseconds> stops; ///< age of each stopped run
    std::map<std::string, std::int64_t> ends;
    std::string restartCheckpoint; ///< stated by each run
    Milliseconds work {0};
    Milliseconds standsAfter = noLimit;
    std::vector<std::string> endpointIds = {"i-1"};

    void prepare()
    {
        scheduler = makeScheduler(1);
        for (const std::string &id : endpointIds) {
            send(*scheduler, agentOf(id), reportOf(id, 1));
        }
    }

    std::string agentOf(const std::string &id)
    {
        return "a" + id.substr(2);
    }

    int percentOf(const Played &run)
    {
        const Milliseconds worked = std::min(run.standsAfter, std::chrono::duration_cast<Milliseconds>(now - run.startedAt));
        return static_cast<int>(std::min<std::int64_t>(100, run.startPercent + worked * 100 / run.work));
    }

    void take(const SchedulerOutput &output)
    {
        for (const auto &[agent, order] : messagesOf<wire::StopOrder>(output)) {
            for (Played &run : runs) {
                if (run.run == order.run && !run.isStopped) {
                    run.isStopped = true;
                    stops.push_back(std::chrono::duration_cast<Milliseconds>(now - run.startedAt));
                }
            }
        }
        for (const wire::StartOrder &order : startsOf(output)) {
            runs.push_back({order.run, order.endpoint, now, work, order.checkpoint.empty() ? 0 : 40, standsAfter, false});
        }
    }

    void submit(const JobSpec &spec)
    {
        take(send(*scheduler, "entry", submitOf(spec)));
    }

    void reportAll()
    {
        for (const std::string &id : endpointIds) {
            wire::EndpointReport report = reportOf(id, 1);
            std::vector<Played> kept;
            for (Played &run : runs) {
                const bool isHere = run.endpoint == id;
                if (isHere && (run.isStopped || percentOf(run) >= 100)) {
                    report.ended.push_back(endOf(++ends[id], run.run, run.isStopped ? wire::RunEnding::Stopped : wire::RunEnding::Done));
                    report.ended.back().checkpoint = run.isStopped ? restartCheckpoint : std::string();
                    continue;
                }
                if (isHere) {
                    report.running.push_back(rowOf(run.run, percentOf(run)));
                }
                kept.push_back(run);
            }
            runs = kept;
            take(send(*scheduler, agentOf(id), report));
        }
    }

    void play(Milliseconds duration)
    {
        for (Milliseconds played {0}; played < duration; played += reportInterval) {
            advance(reportInterval / 2);
            take(settle(*scheduler));
            advance(reportInterval / 2);
            reportAll();
        }
    }

    JobSpec jobOf(const std::string &id, Milliseconds declared, int tasks = 1, Resources needs = {1000, 1000, 1})
    {
        Step step = plainStep(tasks, needs);
        step.estimate = declared;
        return plainJob(id, "usual", {step});
    }

    /// Lets the scheduler learn that the runs of the queue take one second.
    void learnShortRuns()
    {
        work = Seconds(1);
        for (int number = 0; number < 8; ++number) {
            submit(jobOf("short" + std::to_string(number), work));
            play(Milliseconds(1500));
        }
    }
};

/// Guards against LOST: a percentage that changes each 3 s was taken as standing still, so that the task was stopped after each start for ever.
TEST(SchedulerStalls, taskThatTakesMinutesIsNotStopped)
{
    prepare();
    learnShortRuns();
    work = Seconds(300);
    submit(jobOf("long", work));
    play(Seconds(320));
    LONGS_EQUAL(0, stops.size());
    LONGS_EQUAL(0, runs.size());
}

/// Guards against LOST: the submitter has declared a tenth of the run time, and nothing is known about the queue.
TEST(SchedulerStalls, taskDeclaredTooShortByAFactorOfTenIsNotStopped)
{
    prepare();
    work = Seconds(300);
    submit(jobOf("long", Seconds(30)));
    play(Seconds(60));
    LONGS_EQUAL(0, stops.size());
}

/// Guards against LOST: one of the 3 in 100 tasks that take 7 times as long.
TEST(SchedulerStalls, taskThatTakesSevenTimesAsLongIsNotStopped)
{
    prepare();
    work = Seconds(7 * 40);
    submit(jobOf("tail", Seconds(40)));
    play(Seconds(60));
    LONGS_EQUAL(0, stops.size());
}

/// Guards against LOST: a task whose first percent takes much longer than anything known suggests was stopped again and again, without end.
TEST(SchedulerStalls, limitGrowsUntilATaskOfUnknownLengthShowsItsPace)
{
    prepare();
    learnShortRuns();
    work = Seconds(3000);
    submit(jobOf("long", Seconds(1)));
    play(Seconds(300));
    CHECK(stops.size() <= 5);
    LONGS_EQUAL(1, runs.size());
    CHECK(percentOf(runs.front()) >= 5);
}

/// Guards against LOST: the first start after a stop waited until the endpoint, the only one there is, was no longer avoided.
TEST(SchedulerStalls, oneStalledTaskDoesNotKeepOtherWorkFromItsEndpoint)
{
    prepare();
    work = Seconds(300);
    standsAfter = Milliseconds(0);
    submit(jobOf("stalling", Seconds(2)));
    play(Seconds(4));
    LONGS_EQUAL(1, stops.size());
    LONGS_EQUAL(1, runs.size());
}

TEST(SchedulerStalls, runThatStandsStillIsStoppedWithinTheTimeOfItsPace)
{
    prepare();
    work = Seconds(20);
    standsAfter = Seconds(10);
    submit(jobOf("short", Seconds(2)));
    play(Seconds(16));
    LONGS_EQUAL(1, stops.size());
    CHECK(stops[0] >= standsAfter + Milliseconds(2500));
    CHECK(stops[0] <= standsAfter + Milliseconds(4000));
}

TEST(SchedulerStalls, slowRunThatStandsStillIsStoppedAfterAFewTimesThatOnePercentTakes)
{
    prepare();
    work = Seconds(300);
    standsAfter = Seconds(31);
    submit(jobOf("slow", Seconds(300)));
    play(Seconds(60));
    LONGS_EQUAL(1, stops.size());
    CHECK(stops[0] <= standsAfter + Seconds(13));
}

TEST(SchedulerStalls, runOfWhichNothingIsShownIsStoppedSoonIfItIsExpectedToBeShort)
{
    prepare();
    work = Seconds(11);
    standsAfter = Milliseconds(0);
    submit(jobOf("silent", Seconds(11)));
    play(Milliseconds(3500));
    LONGS_EQUAL(1, stops.size());
}

/// Guards against LOST: the jump from 0 to the percentage of the checkpoint was taken as progress, so that the pace seemed to be high.
TEST(SchedulerStalls, jumpToThePercentageOfTheCheckpointIsNoProgress)
{
    prepare();
    restartCheckpoint = "point";
    work = Seconds(300);
    standsAfter = Seconds(4);
    JobSpec job = jobOf("resumed", Seconds(300));
    job.steps[0].hasCheckpoints = true;
    submit(job);
    standsAfter = noLimit; // of the next run
    while (stops.empty()) {
        play(reportInterval);
    }
    play(Seconds(60));
    LONGS_EQUAL(1, stops.size());
    LONGS_EQUAL(1, runs.size());
    CHECK(percentOf(runs.front()) >= 50);
}

/// An endpoint that lets all its tasks stand still gets no work, because its tasks had shown their pace before.
TEST(SchedulerStalls, endpointWhereSeveralTasksStandStillIsAvoided)
{
    endpointIds = {"i-1", "i-2"};
    prepare();
    work = Seconds(20);
    standsAfter = Seconds(5);
    submit(jobOf("wide", Seconds(20), 2, {1000, 1000, 3}));
    submit(jobOf("other", Seconds(20), 2, {1000, 1000, 3}));
    standsAfter = noLimit;
    for (Played &run : runs) {
        run.standsAfter = run.endpoint == "i-1" ? run.standsAfter : noLimit;
    }
    const std::ptrdiff_t standing = std::count_if(runs.begin(), runs.end(), [](const Played &run) {
        return run.endpoint == "i-1";
    });
    CHECK(standing >= 2);
    play(Seconds(9));
    LONGS_EQUAL(standing, stops.size());
    CHECK(scheduler->endpoints().at("a1").avoidUntil > now);
    CHECK(scheduler->endpoints().at("a2").avoidUntil <= now);
}

/// Guards against idle capacity: a job whose tasks all show nothing for long took all its endpoints out of service.
TEST(SchedulerStalls, tasksOfOneJobThatHaveShownNothingDoNotSpeakAgainstTheirEndpoint)
{
    prepare();
    work = Seconds(1000);
    submit(jobOf("wide", Seconds(1), 4));
    play(Seconds(4));
    LONGS_EQUAL(4, stops.size());
    CHECK(scheduler->endpoints().at("a1").avoidUntil <= now);
}
