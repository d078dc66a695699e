// The scheduler's decisions under load. Each test is named after the load pattern that it covers.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(SchedulerLoad, SchedulerFixture) {/// Starts a gang of two on two endpoints.
    std::vector<wire::StartOrder> startGang(Scheduler & scheduler) {send(scheduler, "a1", reportOf("i-1", 1));
send(scheduler, "a2", reportOf("i-2", 1));
Step step = plainStep(2, {1000, 1000, 8});
step.isGang = true;
return startsOf(send(scheduler, "entry", submitOf(plainJob("gang", "usual", {step}))));
}

SchedulerOutput reportProgress(Scheduler &scheduler, const std::vector<wire::StartOrder> &orders, int first, int second)
{
    SchedulerOutput all;
    int percent[] = {first, second};
    for (std::size_t i = 0; i < orders.size(); ++i) {
        const std::string endpoint = orders[i].endpoint;
        wire::EndpointReport report = reportOf(endpoint, 1);
        report.running = {rowOf(orders[i].run, percent[i])};
        const SchedulerOutput output = send(scheduler, "a" + endpoint.substr(2), report);
        all.messages.insert(all.messages.end(), output.messages.begin(), output.messages.end());
    }
    return all;
}
}
;

TEST(SchedulerLoad, completedMemberOfAnUnevenGangThatWaitsForTheOthersIsNotStalled)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    const std::vector<wire::StartOrder> orders = startGang(*scheduler);
    LONGS_EQUAL(2, orders.size());
    for (int percent = 50; percent < 100; percent += 5) {
        CHECK_TRUE(messagesOf<wire::StopOrder>(reportProgress(*scheduler, orders, 100, percent)).empty());
        advance(Milliseconds(500));
    }
}

/// A machine that is cut off or frozen for some seconds has gone on working. The first lists that its agent sends afterwards are those from before.
TEST(SchedulerLoad, runOfAnEndpointThatWasSilentForAWhileIsNotStalled)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    const std::vector<wire::StartOrder> orders = startGang(*scheduler);
    CHECK_TRUE(messagesOf<wire::StopOrder>(reportProgress(*scheduler, orders, 30, 30)).empty());
    advance(Milliseconds(4000));
    CHECK_TRUE(messagesOf<wire::StopOrder>(settle(*scheduler)).empty());
    CHECK_TRUE(messagesOf<wire::StopOrder>(reportProgress(*scheduler, orders, 30, 30)).empty());
    advance(Milliseconds(300));
    CHECK_TRUE(messagesOf<wire::StopOrder>(settle(*scheduler)).empty());
    CHECK_TRUE(messagesOf<wire::StopOrder>(reportProgress(*scheduler, orders, 70, 70)).empty());
}

TEST(SchedulerLoad, gangMemberWithoutProgressIsStalled)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    const std::vector<wire::StartOrder> orders = startGang(*scheduler);
    std::size_t stops = 0;
    for (int round = 0; round < 10; ++round) {
        stops += messagesOf<wire::StopOrder>(reportProgress(*scheduler, orders, 100, 70)).size();
        advance(Milliseconds(500));
    }
    CHECK(stops >= 2);
}

/// A job that cannot succeed fails on every endpoint, with dozens of tasks at once.
TEST(SchedulerLoad, jobThatCannotSucceedDoesNotMakeAllEndpointsSuspect)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    for (int number = 1; number <= 6; ++number) {
        send(*scheduler, "a" + std::to_string(number), reportOf("i-" + std::to_string(number), 1));
    }
    Step step = plainStep(6, {1000, 1000, 8});
    const std::vector<wire::StartOrder> orders = startsOf(send(*scheduler, "entry", submitOf(plainJob("hopeless", "usual", {step}))));
    LONGS_EQUAL(6, orders.size());
    for (const wire::StartOrder &order : orders) {
        wire::EndpointReport report = reportOf(order.endpoint, 1);
        report.ended = {endOf(1, order.run, wire::RunEnding::Failed)};
        scheduler->receive("a" + order.endpoint.substr(2), report, now, wall);
    }
    int suspects = 0;
    for (const auto &[agent, endpoint] : scheduler->endpoints()) {
        suspects += endpoint.failuresInRow > 0 ? 1 : 0;
    }
    LONGS_EQUAL(2, suspects);
}

/// An urgent gang has few attempts, and a single member on an endpoint that fails all runs uses up one of them.
TEST(SchedulerLoad, urgentWorkAvoidsAnEndpointThatHasJustFailedARun)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a1", reportOf("i-1", 1));
    const std::vector<wire::StartOrder> first = startsOf(send(*scheduler, "entry", submitOf(plainJob("first", "urgent", {plainStep(1, {1000, 1000, 1})}))));
    LONGS_EQUAL(1, first.size());
    send(*scheduler, "a2", reportOf("i-2", 1));
    wire::EndpointReport failed = reportOf("i-1", 1);
    failed.ended = {endOf(1, first[0].run, wire::RunEnding::Failed)};
    const std::vector<wire::StartOrder> again = startsOf(send(*scheduler, "a1", failed));
    LONGS_EQUAL(1, again.size());
    STRCMP_EQUAL("i-2", again[0].endpoint.c_str());
    const std::vector<wire::StartOrder> second = startsOf(send(*scheduler, "entry", submitOf(plainJob("second", "urgent", {plainStep(1, {1000, 1000, 1})}))));
    LONGS_EQUAL(1, second.size());
    STRCMP_EQUAL("i-2", second[0].endpoint.c_str());
}

/// On a busy fleet, a gang off its rack would run three times as long and use capacity that others need for all of that time.
TEST(SchedulerLoad, gangWaitsForItsRackWhileThatIsShorterThanRunningOffIt)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    for (int number = 1; number <= 4; ++number) {
        send(*scheduler, "a" + std::to_string(number), reportOf("i-" + std::to_string(number), 1, number <= 2 ? "r1" : "r2"));
    }
    std::vector<wire::StartOrder> fillers;
    for (const char *rack : {"r1", "r2"}) {
        Step filler = plainStep(1, {1000, 1000, 8});
        filler.requiredLabel = rack;
        const std::vector<wire::StartOrder> started = startsOf(send(*scheduler, "entry", submitOf(plainJob(std::string("filler") + rack, "usual", {filler}))));
        fillers.insert(fillers.end(), started.begin(), started.end());
    }
    LONGS_EQUAL(2, fillers.size());
    Step step = plainStep(2, {1000, 1000, 5});
    step.isGang = true;
    step.prefersOneRack = true;
    step.estimate = Milliseconds(5000);
    std::vector<wire::StartOrder> started = startsOf(send(*scheduler, "entry", submitOf(plainJob("gang", "usual", {step}))));
    for (Milliseconds waited {0}; waited < Milliseconds(9000); waited += Milliseconds(500)) {
        CHECK_TRUE(started.empty());
        advance(Milliseconds(500));
        for (int number = 1; number <= 4; ++number) {
            wire::EndpointReport report = reportOf("i-" + std::to_string(number), 1, number <= 2 ? "r1" : "r2");
            for (const wire::StartOrder &filler : fillers) {
                if (filler.endpoint == report.endpoint) {
                    report.running = {rowOf(filler.run, static_cast<int>(waited.count() / 100))};
                }
            }
            send(*scheduler, "a" + std::to_string(number), report);
        }
        started = startsOf(settle(*scheduler));
    }
}

/// Endpoints are removed or lose power during long runs that write checkpoints.
TEST(SchedulerLoad, workOfALostEndpointResumesFromItsNewestCheckpoint)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a1", reportOf("i-1", 1));
    Step step = plainStep(1, {1000, 1000, 1});
    step.hasCheckpoints = true;
    const std::vector<wire::StartOrder> first = startsOf(send(*scheduler, "entry", submitOf(plainJob("long", "usual", {step}))));
    LONGS_EQUAL(1, first.size());
    wire::EndpointReport running = reportOf("i-1", 1);
    running.running = {rowOf(first[0].run, 40)};
    running.running[0].checkpoint = "half";
    send(*scheduler, "a1", running);
    send(*scheduler, "a2", reportOf("i-2", 1));
    wire::EndpointReport gone = reportOf("i-1", 1);
    gone.draining = true;
    const std::vector<wire::StartOrder> again = startsOf(send(*scheduler, "a1", gone));
    LONGS_EQUAL(1, again.size());
    STRCMP_EQUAL("half", again[0].checkpoint.c_str());
}

TEST(SchedulerLoad, checkpointsSurviveTheLossOfAllProcesses)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a1", reportOf("i-1", 1));
    Step step = plainStep(1, {1000, 1000, 1});
    step.hasCheckpoints = true;
    const std::vector<wire::StartOrder> first = startsOf(send(*scheduler, "entry", submitOf(plainJob("long", "usual", {step}))));
    for (int round = 0; round < 6; ++round) {
        wire::EndpointReport running = reportOf("i-1", 1);
        running.running = {rowOf(first[0].run, 10 + round)};
        running.running[0].checkpoint = "point" + std::to_string(round);
        advance(Milliseconds(500));
        send(*scheduler, "a1", running);
    }
    const std::unique_ptr<Scheduler> second = makeScheduler(2);
    wire::EndpointReport anew = reportOf("i-1", 2);
    anew.born = 200;
    const std::vector<wire::StartOrder> again = startsOf(send(*second, "a1", anew));
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].checkpoint.compare(0, 5, "point") == 0);
}

/// Submitters' estimates are wrong by a factor of ten, so that urgent work would preempt nothing or everything.
TEST(SchedulerLoad, urgentWorkIsWeighedByTheRunTimesOfItsQueueInsteadOfItsEstimate)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    const auto report = [this, &scheduler](const std::vector<wire::RunRow> &running, const std::vector<wire::EndRow> &ended) {
        wire::EndpointReport full = reportOf("i-1", 1);
        full.running = running;
        full.ended = ended;
        return startsOf(send(*scheduler, "a1", full));
    };
    report({}, {});
    Step urgent = plainStep(1, {1000, 1000, 8});
    urgent.estimate = Milliseconds(100);
    for (int number = 1; number <= 6; ++number) {
        const std::vector<wire::StartOrder> orders =
            startsOf(send(*scheduler, "entry", submitOf(plainJob("known" + std::to_string(number), "urgent", {urgent}))));
        LONGS_EQUAL(1, orders.size());
        advance(Milliseconds(1000));
        report({rowOf(orders[0].run, 50)}, {});
        advance(Milliseconds(1000));
        report({}, {endOf(number, orders[0].run, wire::RunEnding::Done)});
    }
    const std::vector<wire::StartOrder> later = startsOf(send(*scheduler, "entry", submitOf(plainJob("later", "later", {plainStep(1, {1000, 1000, 8})}))));
    LONGS_EQUAL(1, later.size());
    advance(Milliseconds(1000));
    report({rowOf(later[0].run, 50)}, {});
    JobSpec beyond = plainJob("beyond", "urgent", {urgent});
    beyond.account = "other"; // without a guarantee
    LONGS_EQUAL(1, messagesOf<wire::StopOrder>(send(*scheduler, "entry", submitOf(beyond))).size());
}

/// During a burst of urgent jobs, one that is wider than the fleet took all endpoints in turn while a narrow one with less time to spare waited behind it.
TEST(SchedulerLoad, narrowJobWithLittleTimeIsStartedBeforeTheRestOfAWideOneThatArrivedEarlier)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a1", reportOf("i-1", 1));
    send(*scheduler, "a2", reportOf("i-2", 1));
    CellConfiguration configuration = plainConfiguration();
    configuration.version = 2;
    configuration.queues.front().stretch = 1.5;
    scheduler->setConfiguration(configuration);
    JobSpec wide = plainJob("wide", "urgent", {plainStep(8, {1000, 1000, 8})});
    wide.account = "other"; // without a guarantee, like the narrow one
    JobSpec narrow = plainJob("narrow", "urgent", {plainStep(1, {1000, 1000, 8})});
    narrow.account = "third";
    const std::vector<wire::StartOrder> started = startsOf(send(*scheduler, "entry", submitOf(wide)));
    LONGS_EQUAL(2, started.size());
    CHECK_TRUE(startsOf(send(*scheduler, "entry", submitOf(narrow))).empty());
    wire::EndpointReport ended = reportOf(started[0].endpoint, 1);
    ended.ended = {endOf(1, started[0].run, wire::RunEnding::Done)};
    const std::vector<wire::StartOrder> next = startsOf(send(*scheduler, "a" + started[0].endpoint.substr(2), ended));
    LONGS_EQUAL(1, next.size());
    STRCMP_EQUAL("narrow", next[0].run.job.c_str());
}

/// A new scheduler took all stored jobs as accepted at its start, so that those that had waited longest lost their place.
TEST(SchedulerLoad, waitingTimeOfAJobSurvivesAChangeOfScheduler)
{
    const std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "entry", submitOf(plainJob("z-early", "usual", {plainStep(1, {1000, 1000, 8})})));
    advance(Milliseconds(5000));
    send(*first, "entry", submitOf(plainJob("a-late", "usual", {plainStep(1, {1000, 1000, 8})})));
    const std::unique_ptr<Scheduler> second = makeScheduler(2);
    const std::vector<wire::StartOrder> started = startsOf(send(*second, "a1", reportOf("i-1", 2)));
    LONGS_EQUAL(1, started.size());
    STRCMP_EQUAL("z-early", started[0].run.job.c_str());
}

/// An agent that has just restarted refuses starts until it knows the endpoint again. A job was planned there 18 times within 0.2 s, each time with a record.
TEST(SchedulerLoad, refusedStartIsNotRepeatedBeforeTheNextLists)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a1", reportOf("i-1", 1));
    const std::vector<wire::StartOrder> first = startsOf(send(*scheduler, "entry", submitOf(plainJob("job", "urgent", {plainStep(1, {1000, 1000, 8})}))));
    LONGS_EQUAL(1, first.size());
    wire::StartResult refused;
    refused.generation = 1;
    refused.endpoint = first[0].endpoint;
    refused.born = first[0].born;
    refused.run = first[0].run;
    refused.outcome = wire::StartOutcome::Rejected;
    CHECK_TRUE(startsOf(send(*scheduler, "a1", refused)).empty());
    wire::EndpointReport unlisted = reportOf("i-1", 1);
    unlisted.isListed = false;
    CHECK_TRUE(startsOf(send(*scheduler, "a1", unlisted)).empty());
    LONGS_EQUAL(1, startsOf(send(*scheduler, "a1", reportOf("i-1", 1))).size());
}

/// More than 2,000 units of one job waited for a label that no endpoint has, and units behind them were never planned.
TEST(SchedulerLoad, unitsBehindThousandsThatFindNoCapacityAreStartedWithTheLoadPolicy)
{
    loadPolicy = *parseLoadPolicy("worth");
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a1", reportOf("i-1", 1));
    Step hopeless = plainStep(3000, {1000, 1000, 1});
    hopeless.requiredLabel = "absent";
    CHECK_TRUE(startsOf(send(*scheduler, "entry", submitOf(plainJob("hopeless", "usual", {hopeless})))).empty());
    LONGS_EQUAL(1, startsOf(send(*scheduler, "entry", submitOf(plainJob("small", "later", {plainStep(1, {1000, 1000, 1})})))).size());
}

/// review/10, LOST: a gang of the whole fleet waits behind a task that lasts for days, and later tasks have most of the fleet to themselves.
TEST(SchedulerLoad, gangBehindALastingTaskDoesNotKeepLaterTasksFromAnIdleFleet)
{
    loadPolicy = *parseLoadPolicy("worth");
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    for (int number = 1; number <= 4; ++number) {
        send(*scheduler, "a" + std::to_string(number), reportOf("i-" + std::to_string(number), 1));
    }
    Step lasting = plainStep(1, {1000, 1000, 1});
    lasting.isLongRunning = true;
    LONGS_EQUAL(1, startsOf(send(*scheduler, "entry", submitOf(plainJob("lasting", "usual", {lasting})))).size());
    Step gang = plainStep(4, {1000, 1000, 8});
    gang.isGang = true;
    CHECK_TRUE(startsOf(send(*scheduler, "entry", submitOf(plainJob("gang", "usual", {gang})))).empty());
    LONGS_EQUAL(1, startsOf(send(*scheduler, "entry", submitOf(plainJob("small", "usual", {plainStep(1, {1000, 1000, 1})})))).size());
}

/// LOST: with a steady stream of urgent gangs, a gang of the whole fleet finds the fleet free within three seconds of its turn.
TEST(SchedulerLoad, reserveForUrgentWorkDoesNotKeepALargeGangFromAnIdleFleet)
{
    loadPolicy = *parseLoadPolicy("worth");
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    for (int number = 1; number <= 4; ++number) {
        send(*scheduler, "a" + std::to_string(number), reportOf("i-" + std::to_string(number), 1));
    }
    Step urgent = plainStep(2, {1000, 1000, 8});
    urgent.isGang = true;
    const std::vector<wire::StartOrder> running = startsOf(send(*scheduler, "entry", submitOf(plainJob("urgent", "urgent", {urgent}))));
    LONGS_EQUAL(2, running.size());
    for (const wire::StartOrder &order : running) {
        wire::EndpointReport report = reportOf(order.endpoint, 1);
        report.ended = {endOf(1, order.run, wire::RunEnding::Done)};
        send(*scheduler, "a" + order.endpoint.substr(2), report);
    }
    Step large = plainStep(4, {1000, 1000, 8});
    large.isGang = true;
    std::size_t started = startsOf(send(*scheduler, "entry", submitOf(plainJob("large", "later", {large})))).size();
    LONGS_EQUAL(4, started);
}
