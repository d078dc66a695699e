// Injects a single fault at each step of an attempt: lost, duplicated and late messages; killed, frozen and disconnected processes. Also limits the time
// that a part runs without the rest of its gang.

#include "gangs/simulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace knapweed;
using namespace knapweed::gangs;
using namespace knapweed::gangs::test;

namespace
{

constexpr Milliseconds lease {3000};
/// One lease plus a margin for the tick interval. Calls to workers and endpoints take effect immediately in these tests.
constexpr Milliseconds incompleteRunBound = lease + Milliseconds(100);

wire::JobSpec job(const std::string &input, bool repeatable = true)
{
    wire::JobSpec spec;
    spec.repeatable = repeatable;
    spec.input = input;
    return spec;
}

template<typename Message>
bool is(const PeerMessage &message)
{
    return std::holds_alternative<Message>(message);
}

struct Step
{
    const char *name;
    bool (*matches)(const PeerMessage &message);
};

const Step steps[] = {
    {"GangRequest", is<wire::GangRequest>},
    {"GangAck", is<wire::GangAck>},
    {"HoldRequest", is<wire::HoldRequest>},
    {"HoldReply", is<wire::HoldReply>},
    {"ArmRequest", is<wire::ArmRequest>},
    {"ArmReply", is<wire::ArmReply>},
    {"GoRequest", is<wire::GoRequest>},
    {"GoReply", is<wire::GoReply>},
    {"RenewRequest", is<wire::RenewRequest>},
    {"RenewReply", is<wire::RenewReply>},
    {"PartReport", is<wire::PartReport>},
    {"PartAck", is<wire::PartAck>},
    {"OutcomeReport", is<wire::OutcomeReport>},
    {"OutcomeAck", is<wire::OutcomeAck>},
};

struct MessageFault
{
    const char *name;
    Simulation::Delivery delivery;
};

const MessageFault messageFaults[] = {
    {"lost", {0, Milliseconds(0)}},
    {"duplicated", {3, Milliseconds(0)}},
    {"late by 400 ms", {1, Milliseconds(400)}},
    {"late by 6 s and duplicated", {2, Milliseconds(6000)}},
};

struct ProcessFault
{
    const char *name;
    void (*apply)(Simulation &simulation, int agent);
};

const ProcessFault processFaults[] = {
    {"killed",
        [](Simulation &simulation, int agent) {
            simulation.kill(agent, Milliseconds(500));
        }},
    {"killed for 9 s",
        [](Simulation &simulation, int agent) {
            simulation.kill(agent, Milliseconds(9000));
        }},
    {"crashed with its endpoint",
        [](Simulation &simulation, int agent) {
            simulation.crash(agent, Milliseconds(9000));
        }},
    {"frozen within its lease",
        [](Simulation &simulation, int agent) {
            simulation.freeze(agent, Milliseconds(1000));
        }},
    {"frozen past its lease",
        [](Simulation &simulation, int agent) {
            simulation.freeze(agent, Milliseconds(7000));
        }},
    {"disconnected from all peers",
        [](Simulation &simulation, int agent) {
            simulation.disconnect(agent, Milliseconds(7000));
        }},
};

void checkEnded(Simulation &simulation, const AttemptKey &key, const std::string &label)
{
    for (const std::string &violation : simulation.violations()) {
        std::string text = label;
        text.append(": ").append(violation);
        FAIL(text.c_str());
    }
    CHECK_TEXT(simulation.attempt(key).ended, label.c_str());
    for (int agent = 0; agent < 3; ++agent) {
        CHECK_TEXT(!simulation.core(agent).isBusy(), label.c_str());
        CHECK_TEXT(simulation.worker(agent).leases.empty(), label.c_str());
    }
}

} // namespace

TEST_GROUP(GangFaults) {};

TEST(GangFaults, completesWhenTheFirstMessageOfAnyKindIsFaulty)
{
    for (const Step &step : steps) {
        for (const MessageFault &fault : messageFaults) {
            for (const bool repeatable : {true, false}) {
                Simulation simulation(11, 3, {});
                int seen = 0;
                simulation.interceptMessage = [&step, &fault, &seen](const std::string &, const std::string &, const PeerMessage &message) {
                    return step.matches(message) && seen++ == 0 ? fault.delivery : Simulation::Delivery {};
                };
                const AttemptKey key = simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("1500", repeatable), lease);
                simulation.run(Milliseconds(20000));
                const std::string label = std::string(step.name) + ' ' + fault.name;
                checkEnded(simulation, key, label);
                LONGS_EQUAL_TEXT(1, seen > 0, label.c_str());
                LONGS_EQUAL_TEXT(1, simulation.outcomes(wire::Outcome::Completed), label.c_str());
            }
        }
    }
}

TEST(GangFaults, runsWholeGangOrStopsWhenAProcessFailsAtAnyStep)
{
    Milliseconds longest {0};
    int cases = 0;
    for (const Step &step : steps) {
        for (const ProcessFault &fault : processFaults) {
            for (int variant = 0; variant < 8; ++variant) {
                Simulation simulation(12, 3, {});
                const int victim = variant % 2; // agent 0 is the lead
                const int occurrence = variant < 4 ? 1 : 2;
                const bool repeatable = (variant / 2) % 2 == 0;
                int seen = 0;
                simulation.interceptMessage = [&](const std::string &, const std::string &, const PeerMessage &message) {
                    if (step.matches(message) && ++seen == occurrence) {
                        fault.apply(simulation, victim);
                    }
                    return Simulation::Delivery {};
                };
                const AttemptKey key = simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("5000", repeatable), lease);
                simulation.run(Milliseconds(45000));
                checkEnded(simulation, key, std::string(step.name) + ' ' + fault.name);
                CHECK_TEXT(simulation.longestIncompleteRun() <= incompleteRunBound, step.name);
                longest = std::max(longest, simulation.longestIncompleteRun());
                ++cases;
            }
        }
    }
    std::printf("%d cases, longest incomplete run %lld ms, limit %lld ms\n",
        cases,
        static_cast<long long>(longest.count()),
        static_cast<long long>(incompleteRunBound.count()));
}

TEST(GangFaults, stopsWithinOneLeaseOfACrashWhenAnotherMemberIsDisconnectedLater)
{
    Simulation simulation(13, 3, {});
    simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("60000"), lease);
    simulation.run(Milliseconds(5000));
    simulation.crash(2, Milliseconds(30000));
    simulation.run(Milliseconds(2300));
    simulation.disconnect(1, Milliseconds(20000));
    simulation.run(Milliseconds(20000));
    CHECK(simulation.longestIncompleteRun() > Milliseconds(0));
    CHECK(simulation.longestIncompleteRun() <= incompleteRunBound);
}

TEST(GangFaults, delayedRenewalsDoNotLengthenTheLease)
{
    Simulation simulation(14, 3, {});
    simulation.interceptMessage = [&simulation](const std::string &, const std::string &to, const PeerMessage &message) {
        const bool late =
            to == "agent:1" && simulation.now() > MonotonicTime(Milliseconds(1003000)) && (is<wire::RenewRequest>(message) || is<wire::StopRequest>(message));
        return Simulation::Delivery {1, Milliseconds(late ? 1500 : 0)};
    };
    simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("60000"), lease);
    simulation.run(Milliseconds(3500));
    simulation.crash(2, Milliseconds(30000));
    simulation.run(Milliseconds(20000));
    CHECK(simulation.longestIncompleteRun() > Milliseconds(0));
    CHECK(simulation.longestIncompleteRun() <= incompleteRunBound);
}

TEST(GangFaults, stopsTheGangWhenAnEndpointBecomesUnresponsive)
{
    Simulation simulation(15, 3, {});
    simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("60000"), lease);
    simulation.run(Milliseconds(5000));
    simulation.failEndpoint(2);
    simulation.run(Milliseconds(20000));
    CHECK(simulation.longestIncompleteRun() > Milliseconds(0));
    CHECK(simulation.longestIncompleteRun() <= Simulation::incompleteRunLimit(lease));
}

TEST(GangFaults, crossedGangsDoNotDeadlock)
{
    Simulation simulation(16, 2, {});
    std::vector<AttemptKey> attempts;
    for (int count = 0; count < 20; ++count) {
        attempts.push_back(simulation.submitOn({0, 1}, {{0}, {0}}, job("10"), lease));
        attempts.push_back(simulation.submitOn({1, 0}, {{0}, {0}}, job("10"), lease));
        simulation.run(Milliseconds(200));
    }
    simulation.run(Milliseconds(3000));
    for (const AttemptKey &key : attempts) {
        CHECK(simulation.attempt(key).ended);
    }
    CHECK(!simulation.core(0).isBusy() && !simulation.core(1).isBusy());
    CHECK(simulation.outcomes(wire::Outcome::Completed) > 0);
    LONGS_EQUAL(0, simulation.violations().size());
}
