// Speeds of endpoints across a change of scheduler: the agents keep them.

#include "cell/agentfixture.h"
#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentSpeed, AgentFixture) {void stateSpeed(int permille) {wire::EndpointGrant grant;
grant.generation = 7;
grant.endpoint = "i-1";
grant.born = 100;
grant.__set_speedPermille(permille);
agent->receive(schedulerName, grant);
now += Seconds(1);
agent->tick();
}
}
;

/// Guards against the loss of learned speeds when the scheduler changes.
TEST(AgentSpeed, speedIsReturnedWithTheBootForWhichItHolds)
{
    CHECK_FALSE(lastReport().__isset.speedPermille);
    stateSpeed(600);
    CHECK_TRUE(lastReport().__isset.speedPermille);
    LONGS_EQUAL(600, lastReport().speedPermille);
    LONGS_EQUAL(100, lastReport().speedBorn);
}

/// Guards against the speed of a boot being taken for that of the next one.
TEST(AgentSpeed, nextBootStartsWithoutIt)
{
    stateSpeed(600);
    crashEndpoint(2);
    beginIncarnation(200);
    CHECK_FALSE(lastReport().__isset.speedPermille);
}

TEST_GROUP_BASE(SchedulerSpeed, SchedulerFixture) {
    wire::EndpointReport reportWithSpeed(int permille, std::int64_t born) {wire::EndpointReport report = reportOf("i-1", 1);
report.__set_speedPermille(permille);
report.__set_speedBorn(born);
return report;
}
}
;

TEST(SchedulerSpeed, newSchedulerTakesTheSpeedFromTheReport)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    const auto grants = messagesOf<wire::EndpointGrant>(send(*scheduler, "a1", reportWithSpeed(600, 100)));
    CHECK_FALSE(grants.empty());
    CHECK_FALSE(grants.front().second.__isset.speedPermille); // nothing has changed
}

/// Guards against the speed of an earlier boot being taken over.
TEST(SchedulerSpeed, speedOfAnotherBootIsReplaced)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    const auto grants = messagesOf<wire::EndpointGrant>(send(*scheduler, "a1", reportWithSpeed(600, 99)));
    CHECK_FALSE(grants.empty());
    CHECK_FALSE(grants.front().second.__isset.speedPermille); // the usual speed, which the report does not contradict
}

/// Guards against speeds that are learned but never reach the agents.
TEST(SchedulerSpeed, learnedSpeedIsSentUntilTheAgentReturnsIt)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    std::map<std::string, std::vector<wire::StartOrder>> orders;
    for (const char *id : {"i-1", "i-2"}) {
        send(*scheduler, std::string("a") + (id + 2), reportOf(id, 1));
    }
    for (const wire::StartOrder &order : startsOf(send(*scheduler, "entry", submitOf(plainJob("wide", "usual", {plainStep(16, {1000, 1000, 1})}))))) {
        orders[order.endpoint].push_back(order);
    }
    LONGS_EQUAL(8, orders["i-1"].size());
    LONGS_EQUAL(8, orders["i-2"].size());
    int stated = 0;
    for (int second = 1; second <= 4; ++second) {
        advance(Seconds(1));
        for (const char *id : {"i-1", "i-2"}) {
            wire::EndpointReport report = reportOf(id, 1);
            for (const wire::StartOrder &order : orders[id]) {
                report.running.push_back(rowOf(order.run, second * (std::string(id) == "i-1" ? 6 : 20)));
            }
            const auto grants = messagesOf<wire::EndpointGrant>(send(*scheduler, std::string("a") + (id + 2), report));
            if (std::string(id) == "i-1" && grants.front().second.__isset.speedPermille) {
                stated = grants.front().second.speedPermille;
            }
        }
        send(*scheduler, "entry", submitOf(plainJob("next" + std::to_string(second), "usual", {plainStep(1, {1000, 1000, 8})}))); // causes a planning round
    }
    CHECK(stated > 200);
    CHECK(stated < 800);
    const auto grants = messagesOf<wire::EndpointGrant>(send(*scheduler, "a1", reportWithSpeed(stated, 100)));
    CHECK_FALSE(grants.front().second.__isset.speedPermille && std::abs(grants.front().second.speedPermille - stated) * 20 < stated);
}
