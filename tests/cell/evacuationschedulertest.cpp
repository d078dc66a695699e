// The scheduler while failure domains are evacuated: nothing is planned there, and what is planned but not sent is withdrawn.

#include "cell/schedulerfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(SchedulerEvacuation, SchedulerFixture)
{
    std::unique_ptr<Scheduler> scheduler;

    void setup() override
    {
        servesEvacuations = true;
        scheduler = makeScheduler(1);
    }

    void apply(std::int64_t position, const std::map<std::string, std::int64_t> &domains)
    {
        Evacuations state;
        state.position = position;
        state.domains = domains;
        scheduler->applyEvacuations(state, now);
    }

    wire::EndpointReport reportIn(const std::string &endpoint, const std::string &domain, std::int64_t generation = 1)
    {
        wire::EndpointReport report = reportOf(endpoint, generation);
        report.failureDomain = domain;
        return report;
    }

    /// Endpoint "a" in west-a, "b" and "c" in west-b.
    void reportEndpoints()
    {
        send(*scheduler, "a", reportIn("i-a", "west-a"));
        send(*scheduler, "b", reportIn("i-b", "west-b"));
        send(*scheduler, "c", reportIn("i-c", "west-b"));
    }

    SchedulerOutput submit(const std::string &id, int tasks, int accelerators)
    {
        return send(*scheduler, "entry", submitOf(plainJob(id, "usual", {plainStep(tasks, {1000, 100, accelerators})})));
    }

    wire::StartResult resultOf(const wire::StartOrder &order, wire::StartOutcome::type outcome)
    {
        wire::StartResult result;
        result.generation = order.generation;
        result.endpoint = order.endpoint;
        result.born = order.born;
        result.run = order.run;
        result.outcome = outcome;
        return result;
    }
};

/// Guards against EVAC: a scheduler starts work before its entry has read which failure domains are evacuated.
TEST(SchedulerEvacuation, startsNothingBeforeTheStateIsKnown)
{
    reportEndpoints();
    LONGS_EQUAL(0, startsOf(submit("j1", 1, 1)).size());
    apply(0, {});
    LONGS_EQUAL(1, startsOf(settle(*scheduler)).size());
}

/// Guards against EVAC.
TEST(SchedulerEvacuation, startsNothingInAnEvacuatedDomainUntilTheRequestIsRevoked)
{
    apply(6, {{"west-a", 5}});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    LONGS_EQUAL(0, startsOf(submit("j1", 1, 1)).size());
    apply(5, {}); // an older state
    LONGS_EQUAL(0, startsOf(settle(*scheduler)).size());
    apply(8, {});
    const std::vector<wire::StartOrder> orders = startsOf(settle(*scheduler));
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(8, orders.front().evacuationPosition);
    CHECK(orders.front().__isset.isEvacuated);
    CHECK_FALSE(orders.front().isEvacuated);
}

/// Guards against EVAC: a start that waits for its record is sent although the request has arrived meanwhile.
TEST(SchedulerEvacuation, plannedGangIsWithdrawnAndPlannedElsewhere)
{
    apply(4, {});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    send(*scheduler, "b", reportIn("i-b", "west-b"));
    JobSpec spec = plainJob("j1", "usual", {plainStep(2, {1000, 100, 8})});
    spec.steps.front().isGang = true;
    scheduler->receive("entry", submitOf(spec), now, wall);
    scheduler->stored(scheduler->takeOutput().lastWrite, now);
    scheduler->tick(now, wall);
    const SchedulerOutput planned = scheduler->takeOutput();
    CHECK(!planned.writes.empty());
    CHECK(startsOf(planned).empty());
    apply(6, {{"west-a", 5}});
    scheduler->stored(planned.lastWrite, now);
    LONGS_EQUAL(0, startsOf(settle(*scheduler)).size());
    send(*scheduler, "c", reportIn("i-c", "west-b"));
    LONGS_EQUAL(2, scheduler->endpoints().at("b").runs.size() + scheduler->endpoints().at("c").runs.size());
    LONGS_EQUAL(0, scheduler->endpoints().at("a").runs.size());
}

/// Guards against EVAC by way of a gang or a reservation that counts on endpoints of an evacuated domain: it would wait for them, or hold others for it.
TEST(SchedulerEvacuation, capacityOfAnEvacuatedDomainHoldsNothingBack)
{
    apply(6, {{"west-a", 5}});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    send(*scheduler, "b", reportIn("i-b", "west-b"));
    JobSpec spec = plainJob("gang", "usual", {plainStep(2, {1000, 100, 8})});
    spec.steps.front().isGang = true;
    LONGS_EQUAL(0, startsOf(send(*scheduler, "entry", submitOf(spec))).size());
    LONGS_EQUAL(0, scheduler->endpoints().at("b").runs.size());
    apply(8, {});
    LONGS_EQUAL(2, startsOf(settle(*scheduler)).size());
}

/// Guards against EVAC: the agent knows of a request that the scheduler has not read, and the scheduler orders the same start again and again.
TEST(SchedulerEvacuation, takesTheStateOfAnAgentThatRefuses)
{
    apply(4, {});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    const std::vector<wire::StartOrder> orders = startsOf(submit("j1", 1, 1));
    LONGS_EQUAL(1, orders.size());
    wire::StartResult result = resultOf(orders.front(), wire::StartOutcome::Evacuated);
    Evacuations state;
    state.position = 6;
    state.domains["west-a"] = 5;
    result.__set_evacuations(wireEvacuations(state));
    LONGS_EQUAL(0, startsOf(send(*scheduler, "a", result)).size());
    LONGS_EQUAL(0, startsOf(send(*scheduler, "a", reportIn("i-a", "west-a"))).size());
    LONGS_EQUAL(0, scheduler->endpoints().at("a").runs.size());
    LONGS_EQUAL(1, startsOf(send(*scheduler, "b", reportIn("i-b", "west-b"))).size());
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
}

/// Guards against orders in a loop: an agent that knows no state yet refuses and has none to return.
TEST(SchedulerEvacuation, waitsForTheNextReportOfAnAgentThatRefusesWithoutAState)
{
    apply(4, {});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    const std::vector<wire::StartOrder> orders = startsOf(submit("j1", 1, 1));
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(0, startsOf(send(*scheduler, "a", resultOf(orders.front(), wire::StartOutcome::Evacuated))).size());
    LONGS_EQUAL(1, startsOf(send(*scheduler, "a", reportIn("i-a", "west-a"))).size());
}

/// Guards against work that is lost for nothing, and against an operator who is told that nothing runs in the domain while something does.
TEST(SchedulerEvacuation, runningWorkGoesOnAndIsCountedUntilItEnds)
{
    apply(4, {});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    const std::vector<wire::StartOrder> orders = startsOf(submit("j1", 1, 1));
    LONGS_EQUAL(1, orders.size());
    apply(6, {{"west-a", 5}});
    wire::EndpointReport report = reportIn("i-a", "west-a");
    report.running = {rowOf(orders.front().run)};
    CHECK(messagesOf<wire::StopOrder>(send(*scheduler, "a", report)).empty());
    LONGS_EQUAL(1, scheduler->evacuationRuns().at("west-a"));
    report = reportIn("i-a", "west-a");
    report.ended = {endOf(1, orders.front().run, wire::RunEnding::Done)};
    send(*scheduler, "a", report);
    LONGS_EQUAL(0, scheduler->evacuationRuns().at("west-a"));
    CHECK(scheduler->isBusy()); // the end is still to be logged
    advance(Milliseconds(200));
    settle(*scheduler);
    CHECK_FALSE(scheduler->isBusy());
}

/// Guards against EVAC: a later scheduler forgets what the earlier one knew.
TEST(SchedulerEvacuation, nextSchedulerStartsNothingInTheDomainEither)
{
    apply(6, {{"west-a", 5}});
    LONGS_EQUAL(0, startsOf(submit("j1", 1, 1)).size());
    scheduler = makeScheduler(2);
    send(*scheduler, "a", reportIn("i-a", "west-a", 2));
    send(*scheduler, "b", reportIn("i-b", "west-b", 2));
    advance(lease + Seconds(1));
    LONGS_EQUAL(0, startsOf(settle(*scheduler)).size());
    send(*scheduler, "a", reportIn("i-a", "west-a", 2));
    send(*scheduler, "b", reportIn("i-b", "west-b", 2));
    apply(6, {{"west-a", 5}});
    const std::vector<wire::StartOrder> orders = startsOf(settle(*scheduler));
    LONGS_EQUAL(1, orders.size());
    STRCMP_EQUAL("i-b", orders.front().endpoint.c_str());
}

/// Guards against a change for deployments that have no bound for evacuations.
TEST(SchedulerEvacuation, withoutTheSettingRequestsHaveNoEffect)
{
    servesEvacuations = false;
    scheduler = makeScheduler(1);
    apply(6, {{"west-a", 5}});
    send(*scheduler, "a", reportIn("i-a", "west-a"));
    const std::vector<wire::StartOrder> orders = startsOf(submit("j1", 1, 1));
    LONGS_EQUAL(1, orders.size());
    CHECK_FALSE(orders.front().__isset.evacuationPosition);
    CHECK(scheduler->evacuationRuns().empty());
}
