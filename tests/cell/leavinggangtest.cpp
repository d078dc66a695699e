// Urgent gangs on endpoints that leave before the gang's predicted end.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(LeavingGang, SchedulerFixture)
{
    std::unique_ptr<Scheduler> scheduler;
    std::vector<wire::StartOrder> orders;
    std::string roomDomain; ///< failure domain of i-3

    /// A gang of two fills i-1 and i-2; i-3 is free if @p hasRoom.
    void startGang(bool moves, bool hasRoom, const std::string &queue = "urgent", bool hasCheckpoints = false)
    {
        loadPolicy.movesGangsOfLeavingEndpoints = moves;
        scheduler = std::make_unique<Scheduler>(SchedulerOptions {1, lease, servesEvacuations, loadPolicy});
        scheduler->load(records, now, wall);
        scheduler->setConfiguration(plainConfiguration());
        scheduler->confirmTerm(now + Seconds(1), now, wall);
        scheduler->confirmLeases(BootTime::max());
        scheduler->applyEvacuations({0, {}}, now);
        scheduler->beginRecovery(now);
        scheduler->tick(now, wall);
        send(*scheduler, "a1", reportOf("i-1", 1));
        send(*scheduler, "a2", reportOf("i-2", 1));
        Step step = plainStep(2, {1000, 1000, 8});
        step.isGang = true;
        step.hasCheckpoints = hasCheckpoints;
        step.estimate = Milliseconds(4000);
        JobSpec job = plainJob("gang", queue, {step});
        orders = startsOf(send(*scheduler, "entry", submitOf(job)));
        LONGS_EQUAL(2, orders.size());
        if (hasRoom) {
            send(*scheduler, "a3", roomReport());
        }
    }

    wire::EndpointReport roomReport() const
    {
        wire::EndpointReport report = reportOf("i-3", 1);
        report.failureDomain = roomDomain;
        return report;
    }

    /// The gang shows its progress, and i-1 says that it leaves.
    SchedulerOutput drain(int percent, Milliseconds age, Milliseconds remaining)
    {
        advance(age);
        SchedulerOutput all;
        for (const wire::StartOrder &order : orders) {
            wire::EndpointReport report = reportOf(order.endpoint, 1);
            report.running = {rowOf(order.run, percent)};
            report.draining = order.endpoint == "i-1";
            report.leavesInMs = report.draining ? remaining.count() : 0;
            const SchedulerOutput output = send(*scheduler, "a" + order.endpoint.substr(2), report);
            all.messages.insert(all.messages.end(), output.messages.begin(), output.messages.end());
        }
        if (scheduler->endpoints().count("a3") != 0) {
            const SchedulerOutput output = send(*scheduler, "a3", roomReport());
            all.messages.insert(all.messages.end(), output.messages.begin(), output.messages.end());
        }
        advance(Milliseconds(300));
        const SchedulerOutput output = settle(*scheduler);
        all.messages.insert(all.messages.end(), output.messages.begin(), output.messages.end());
        return all;
    }
};

/// Guards against late urgent gangs: the gang ran until its endpoint had left, and started again 3 to 4 s late.
TEST(LeavingGang, gangThatWouldBeLostIsStoppedAtOnce)
{
    startGang(true, true);
    LONGS_EQUAL(2, messagesOf<wire::StopOrder>(drain(20, Milliseconds(1000), Milliseconds(1800))).size());
}

TEST(LeavingGang, gangStartsAgainElsewhere)
{
    startGang(true, true);
    drain(20, Milliseconds(1000), Milliseconds(1800));
    std::vector<wire::StartOrder> again;
    for (const wire::StartOrder &order : orders) {
        wire::EndpointReport report = reportOf(order.endpoint, 1);
        report.draining = order.endpoint == "i-1";
        report.leavesInMs = 1500;
        report.ended = {endOf(1, order.run, wire::RunEnding::Stopped)};
        for (const wire::StartOrder &start : startsOf(send(*scheduler, "a" + order.endpoint.substr(2), report))) {
            again.push_back(start);
        }
    }
    LONGS_EQUAL(2, again.size());
    for (const wire::StartOrder &order : again) {
        CHECK(order.endpoint != "i-1");
    }
}

/// Guards against wasted work: a gang that ends before its endpoint leaves is left to finish.
TEST(LeavingGang, gangThatEndsInTimeGoesOn)
{
    startGang(true, true);
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(drain(80, Milliseconds(3500), Milliseconds(2500))).size());
}

/// Guards against wasted work: without room elsewhere the gang would only wait.
TEST(LeavingGang, gangWithoutRoomElsewhereGoesOn)
{
    startGang(true, false);
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(drain(20, Milliseconds(1000), Milliseconds(1800))).size());
}

/// Guards against a gang that is stopped although it could only be started again where nothing may start.
TEST(LeavingGang, gangWithRoomOnlyInAnEvacuatedDomainGoesOn)
{
    servesEvacuations = true;
    roomDomain = "west-b";
    startGang(true, true);
    scheduler->applyEvacuations({2, {{"west-b", 1}}}, now);
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(drain(20, Milliseconds(1000), Milliseconds(1800))).size());
}

TEST(LeavingGang, gangWithCheckpointsGoesOn)
{
    startGang(true, true, "urgent", true);
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(drain(20, Milliseconds(1000), Milliseconds(1800))).size());
}

TEST(LeavingGang, gangOfALaterPriorityGoesOn)
{
    startGang(true, true, "usual");
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(drain(20, Milliseconds(1000), Milliseconds(1800))).size());
}

/// Guards against a change for deployments that do not ask for it.
TEST(LeavingGang, nothingIsStoppedWithoutTheOption)
{
    startGang(false, true);
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(drain(20, Milliseconds(1000), Milliseconds(1800))).size());
}
