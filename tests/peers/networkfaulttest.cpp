// Tests of the peer network with failing connections: after each fault, messages are delivered in both directions again.

#include "base/relay.h"
#include "base/websocketclient.h"
#include "peers/testnode.h"

#include <rapidcheck.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

struct NetworkFault
{
    const char *name;
    void (*inject)(Relay &);
    int times;
};

const std::array<NetworkFault, 6> networkFaults {{
    {"cut once",
        [](Relay &relay) {
            relay.cut();
        },
        1},
    {"cut five times in a row",
        [](Relay &relay) {
            relay.cut();
        },
        5},
    {"frozen for good while new connections work",
        [](Relay &relay) {
            relay.freeze();
        },
        1},
    {"frozen for good, twice",
        [](Relay &relay) {
            relay.freeze();
        },
        2},
    {"cut in the middle of a message",
        [](Relay &relay) {
            relay.cutAfter(700, 700);
            relay.cut();
        },
        1},
    {"delayed by several heartbeat intervals",
        [](Relay &relay) {
            relay.setDelay(Milliseconds(120));
        },
        1},
}};

/// Sends the message repeatedly, as a caller that repeats its request does, until it has arrived once. Returns false after testDeadline.
bool sendUntilReceived(TestNode &from, TestNode &to, const std::string &job)
{
    const MonotonicTime end = std::chrono::steady_clock::now() + testDeadline;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        from.send(to.name(), job);
        const bool isReceived = to.task().waitFor(
            [&]() {
                return to.receivedTimes(job) > 0;
            },
            Milliseconds(50));
        if (isReceived) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(PeerFaults) {};

TEST(PeerFaults, reconnectsAfterEachFault)
{
    for (const NetworkFault &fault : networkFaults) {
        Relay toEntry;
        Relay toAgent;
        TestNode entry(wire::Role::Entry, 1);
        TestNode agent(wire::Role::Agent, 2);
        toEntry.setTarget(entry.listening());
        toAgent.setTarget(agent.listening());
        entry.start({}, toString(toEntry.address()));
        agent.start({toEntry.address()}, toString(toAgent.address()));
        CHECK_TEXT(agent.waitConnected(entry.name()), fault.name);
        CHECK_TEXT(entry.waitConnected(agent.name()), fault.name);
        for (int time = 0; time < fault.times; ++time) {
            fault.inject(toEntry);
            fault.inject(toAgent);
            const std::string job = std::string(fault.name) + std::to_string(time);
            CHECK_TEXT(sendUntilReceived(agent, entry, job), fault.name);
            toEntry.cutAfter(Relay::noLimit, Relay::noLimit);
            toAgent.cutAfter(Relay::noLimit, Relay::noLimit);
            CHECK_TEXT(sendUntilReceived(entry, agent, job), fault.name);
        }
    }
}

TEST(PeerFaults, replacesAnUnresponsiveConnectionAfterTheTimeout)
{
    Relay relay;
    TestNode entry(wire::Role::Entry, 1);
    TestNode agent(wire::Role::Agent, 2);
    relay.setTarget(entry.listening());
    entry.start({}, toString(relay.address()));
    agent.start({relay.address()});
    CHECK(agent.waitConnected(entry.name()));
    const int before = relay.accepted();
    relay.freeze();
    const MonotonicTime frozen = std::chrono::steady_clock::now();

    const bool isReplaced = agent.task().waitFor([&]() {
        return relay.accepted() > before && agent.network().isConnected(entry.name());
    });

    CHECK(isReplaced);
    const std::chrono::steady_clock::duration took = std::chrono::steady_clock::now() - frozen;
    // The last heartbeat that was answered may be one interval old.
    CHECK(took >= testOptions().heartbeatTimeout - testOptions().heartbeatInterval * 2);
    LONGS_EQUAL(2, agent.timesConnected(entry.name()));
}

TEST(PeerFaults, dropsConnectionsThatSendMalformedMessages)
{
    TestNode node(wire::Role::Entry, 1);
    node.start({});
    LoopTask task;
    const bool isHandled = rc::check("random messages close the connection and leave the node serving", [&](const std::vector<std::string> &messages) {
        std::unique_ptr<WebSocketClient> client;
        const std::shared_ptr<bool> isClosed = std::make_shared<bool>(false);
        task.call([&]() {
            WebSocketHooks hooks;
            hooks.opened = [&client, &messages](std::uint64_t connection) {
                for (const std::string &message : messages) {
                    client->send(connection, message);
                }
                client->send(connection, std::string(1, '\xff'));
            };
            hooks.received = [](std::uint64_t, const std::string &) {};
            hooks.closed = [isClosed](std::uint64_t) {
                *isClosed = true;
            };
            client = std::make_unique<WebSocketClient>(task.loop(), hooks);
            client->connect(node.listening());
        });
        const bool isDropped = task.waitFor([isClosed]() {
            return *isClosed;
        });
        task.call([&]() {
            client.reset();
        });
        RC_ASSERT(isDropped);
    });
    CHECK(isHandled);
    const bool isEmpty = node.task().waitFor([&]() {
        return node.network().connections() == 0;
    });
    CHECK(isEmpty);
}

TEST(PeerFaults, decodesRandomBytesWithoutFailing)
{
    const bool isHandled = rc::check("any bytes give a message or an error", [](std::string bytes) {
        const std::uint8_t type = *rc::gen::inRange<std::uint8_t>(0, 30);
        bytes.insert(bytes.begin(), static_cast<char>(type));
        const Result<PeerMessage, CodecError> decoded = decodeMessage(bytes);
        RC_ASSERT(decoded.index() < 2);
    });
    CHECK(isHandled);
}
