// Tests of the crashes that are counted against the members of a gang.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(SchedulerGangCrashes, SchedulerFixture)
{
    std::int64_t born = 100;
    std::int64_t ends = 0;
    std::map<int, std::pair<std::string, wire::StartOrder>> members; ///< by index: agent and newest start

    void takeStarts(const SchedulerOutput &output)
    {
        const auto starts = messagesOf<wire::StartOrder>(output);
        LONGS_EQUAL(2, starts.size());
        for (const auto &[agent, order] : starts) {
            members[order.run.index] = {agent, order};
        }
    }

    void submitGang(Scheduler & scheduler)
    {
        JobSpec gang = plainJob("g1", "usual", {plainStep(2, {1000, 100, 8})});
        gang.steps[0].isGang = true;
        send(scheduler, "a", reportOf("i-a", 1));
        send(scheduler, "b", reportOf("i-b", 1));
        takeStarts(send(scheduler, "entry", submitOf(gang)));
    }

    /// The endpoint of one member crashes, and the run of the other one ends with it.
    SchedulerOutput crashUnder(Scheduler & scheduler, int member)
    {
        advance(Milliseconds(3000));
        const auto &[agent, order] = members.at(member);
        wire::EndpointReport report = reportOf("i-" + std::to_string(++born), 1);
        report.born = born;
        report.lost.emplace_back();
        report.lost.back().run = order.run;
        report.lost.back().wasRunning = true;
        send(scheduler, agent, report);
        const auto &[otherAgent, other] = members.at(1 - member);
        wire::EndpointReport otherReport = reportOf(other.endpoint, 1);
        otherReport.born = other.born;
        otherReport.ended = {endOf(++ends, other.run, wire::RunEnding::Broken)};
        return send(scheduler, otherAgent, otherReport);
    }
};

/// Guards against BUDGET: one member of a gang crashes each endpoint that starts it.
TEST(SchedulerGangCrashes, gangWithAMemberThatCrashesItsEndpointsIsGivenUp)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    submitGang(*scheduler);
    takeStarts(crashUnder(*scheduler, 0));
    crashUnder(*scheduler, 0);
    STRCMP_EQUAL("failed", stateOf(*scheduler, "g1").c_str());
}

/// Guards against LOST: a gang was given up for two crashes of which no task of it had met more than one.
TEST(SchedulerGangCrashes, crashesUnderDifferentMembersOfAGangAreNotAddedUp)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    submitGang(*scheduler);
    takeStarts(crashUnder(*scheduler, 0));
    crashUnder(*scheduler, 1);
    STRCMP_EQUAL("running", stateOf(*scheduler, "g1").c_str());
}
