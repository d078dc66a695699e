// Measurements of the peer network over loopback. Latency and memory are only printed; the tests check the delivery of messages and the budget for
// heartbeat bytes.

#include "base/relay.h"
#include "peers/testnode.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <future>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

using namespace knapweed;

TEST_GROUP(PeerFigures) {};

TEST(PeerFigures, roundTripOfAMessage)
{
    constexpr std::size_t rounds = 5000;
    TestNode entry(wire::Role::Entry, 1);
    TestNode agent(wire::Role::Agent, 2);
    entry.start({});
    agent.start({entry.listening()});
    CHECK(agent.waitConnected(entry.name()));
    std::vector<Microseconds> latencies;
    MonotonicTime sent;
    wire::PlacementWithdrawal ping;
    ping.job = "j-0123456789abcdef";
    ping.home = "echo";
    std::promise<void> done;
    agent.task().call([&]() {
        agent.setReceived([&]() {
            latencies.push_back(std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() - sent));
            if (latencies.size() == rounds) {
                done.set_value();
                return;
            }
            sent = std::chrono::steady_clock::now();
            agent.network().send(entry.name(), ping);
        });
        sent = std::chrono::steady_clock::now();
        agent.network().send(entry.name(), ping);
    });
    CHECK(done.get_future().wait_for(testDeadline) == std::future_status::ready);
    std::sort(latencies.begin(), latencies.end());
    std::printf("\npeer round trips=%zu median_us=%ld p99_us=%ld\n",
        rounds,
        static_cast<long>(latencies[rounds / 2].count()),
        static_cast<long>(latencies[rounds * 99 / 100].count()));
}

TEST(PeerFigures, memoryOfAnIdleConnection)
{
    constexpr std::size_t agents = 40;
    TestNode entry(wire::Role::Entry, 1);
    entry.start({});
    std::vector<std::unique_ptr<TestNode>> nodes;
    nodes.reserve(agents);
    for (std::size_t count = 0; count < agents; ++count) {
        nodes.push_back(std::make_unique<TestNode>(wire::Role::Agent, 2));
    }
    const std::size_t before = mallinfo2().uordblks;
    for (const std::unique_ptr<TestNode> &node : nodes) {
        node->start({entry.listening()});
    }
    const bool isConnected = entry.task().waitFor([&]() {
        return entry.network().roster().size() == agents + 1;
    });
    CHECK(isConnected);
    const std::size_t after = mallinfo2().uordblks;
    std::printf("\npeer heap bytes for both ends of a connection together=%zu\n", (after - before) / agents);
}

TEST(PeerFigures, heartbeatBytes)
{
    constexpr Seconds learning {5}; // after its start a process requests rosters more often
    constexpr Seconds measured {6}; // the measured period; it contains two rosters
    constexpr std::size_t budget = 15000 / 194; // bytes per second: control budget of a node / connections of an entry in a fleet of 195 machines
    Relay relay;
    TestNode first(wire::Role::Entry, 1, {"127.0.0.1", 0}, PeerNetworkOptions());
    TestNode second(wire::Role::Entry, 2, {"127.0.0.1", 0}, PeerNetworkOptions());
    TestNode third(wire::Role::Entry, 3, {"127.0.0.1", 0}, PeerNetworkOptions());
    TestNode agent(wire::Role::Agent, 4, {"127.0.0.1", 0}, PeerNetworkOptions());
    relay.setTarget(first.listening());
    first.start({}, toString(relay.address()));
    second.start({first.listening()});
    third.start({first.listening()});
    CHECK(second.waitConnected(third.name()));
    agent.start({relay.address()});
    CHECK(agent.waitConnected(third.name()));
    CHECK(agent.waitConnected(first.name()));
    std::this_thread::sleep_for(learning);
    const int connections = relay.accepted();
    const std::size_t before = relay.carried();
    std::this_thread::sleep_for(measured);
    const std::size_t bytes = relay.carried() - before;
    std::printf("\npeer heartbeats, three entries: connections=%d bytes_per_second_and_connection=%zu\n",
        connections,
        bytes / static_cast<std::size_t>(measured.count()) / static_cast<std::size_t>(connections));
    CHECK(bytes / static_cast<std::size_t>(measured.count()) / static_cast<std::size_t>(connections) <= budget);
    CHECK(agent.waitConnected(first.name()));
}
