// Processor time of a planning round on a full fleet with much waiting work, by number of endpoints. The limits are the project's targets.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

double processorMs()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) * 1000 + double(time.tv_nsec) / 1e6;
}

} // namespace

TEST_GROUP_BASE(SchedulerScale, SchedulerFixture)
{
    std::map<std::string, std::int64_t> ends;

    std::string agentOf(int number)
    {
        return "10.0.0." + std::to_string(number) + ":7000";
    }

    wire::EndpointReport fleetReport(int number)
    {
        wire::EndpointReport report = reportOf("i-" + std::to_string(number), 1, "r" + std::to_string(number / 13));
        report.milliCores = 128000;
        report.memoryMib = 524288;
        return report;
    }

    /// Submits three times as much work as the fleet can hold, in the mix of the sites: wide steps of single tasks, large gangs, and small urgent gangs.
    void submitLoad(Scheduler & scheduler, int endpoints)
    {
        Step wide = plainStep(38, {11000, 33000, 1});
        Step gang = plainStep(13, {52000, 210000, 4});
        gang.isGang = true;
        gang.prefersOneRack = true;
        Step urgent = plainStep(5, {15000, 44000, 4});
        urgent.isGang = true;
        for (int number = 0; number < endpoints / 3 + 1; ++number) {
            const std::string name = std::to_string(number);
            scheduler.receive("entry", submitOf(plainJob("later" + name, "later", {wide, wide})), now, wall);
            scheduler.receive("entry", submitOf(plainJob("usual" + name, "usual", {gang})), now, wall);
            scheduler.receive("entry", submitOf(plainJob("urgent" + name, "urgent", {urgent})), now, wall);
        }
    }

    /// The median processor time of a planning round in milliseconds. Each round follows the end of one run.
    double medianRound(int endpoints, int wideJobs = 0)
    {
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
        for (int number = 0; number < endpoints; ++number) {
            scheduler->receive(agentOf(number), fleetReport(number), now, wall);
        }
        submitLoad(*scheduler, endpoints);
        for (int number = 0; number < wideJobs; ++number) {
            scheduler->receive("entry", submitOf(plainJob("wide" + std::to_string(number), "later", {plainStep(200, {11000, 33000, 1})})), now, wall);
        }
        SchedulerOutput output = settle(*scheduler);
        std::vector<std::pair<std::string, wire::StartOrder>> running = messagesOf<wire::StartOrder>(output);
        std::map<std::string, std::vector<wire::RunRef>> listed;
        for (const auto &[agent, order] : running) {
            listed[agent].push_back(order.run);
        }
        std::vector<double> rounds;
        for (int round = 0; round < 21; ++round) {
            const int number = round * 7 % endpoints;
            std::vector<wire::RunRef> &runs = listed[agentOf(number)];
            wire::EndpointReport report = fleetReport(number);
            if (!runs.empty()) {
                report.ended = {endOf(++ends[agentOf(number)], runs.back(), wire::RunEnding::Done)};
                runs.pop_back();
            }
            for (const wire::RunRef &run : runs) {
                report.running.push_back(rowOf(run, 10 + round));
            }
            const double began = processorMs();
            scheduler->receive(agentOf(number), report, now, wall);
            scheduler->tick(now, wall);
            const SchedulerOutput taken = scheduler->takeOutput();
            rounds.push_back(processorMs() - began);
            if (!taken.writes.empty()) {
                scheduler->stored(taken.lastWrite, now);
            }
            for (const auto &[agent, order] : messagesOf<wire::StartOrder>(scheduler->takeOutput())) {
                listed[agent].push_back(order.run);
            }
            advance(Milliseconds(20));
        }
        std::sort(rounds.begin(), rounds.end());
        std::printf(
            "endpoints %d, wide jobs %d: round of decisions %.2f ms median, %.2f ms longest\n", endpoints, wideJobs, rounds[rounds.size() / 2], rounds.back());
        return rounds[rounds.size() / 2];
    }
};

TEST(SchedulerScale, roundStaysShortWhenMuchWaitsForElevenEndpoints)
{
    CHECK(medianRound(11) < 5);
}

TEST(SchedulerScale, roundStaysShortWhenMuchWaitsForTwoHundredEndpoints)
{
    CHECK(medianRound(200) < 20);
}

/// With the policy on, all waiting units are planned, and the endpoints' reservations are derived in each round.
TEST(SchedulerScale, roundStaysShortWithTheLoadPolicyAtTwoHundredEndpoints)
{
    loadPolicy = *parseLoadPolicy("worth");
    CHECK(medianRound(200) < 20);
}

/// A flood of later work must neither hide waiting units from the planner nor make its rounds longer than the time between them.
TEST(SchedulerScale, roundStaysShortWithTheLoadPolicyWhenThirtyThousandTasksWaitForAHundredAndSixtyEndpoints)
{
    loadPolicy = *parseLoadPolicy("worth");
    CHECK(medianRound(160, 150) < 20);
}
