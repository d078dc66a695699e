// Figures of the HTTP client and server over loopback. The verdict is on the answers only; the figures are printed.

#include "base/httpfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <memory>
#include <vector>

using namespace knapweed;

namespace
{

/// Callers that each send the next request when the last one is answered.
struct ClosedLoop
{
    HttpFixture &http;
    int remaining; ///< requests still to be sent
    int failures = 0;
    std::vector<Microseconds> latencies;

    void sendNext()
    {
        if (remaining == 0) {
            return;
        }
        --remaining;
        const MonotonicTime sent = std::chrono::steady_clock::now();
        http.client().send(
            http.server().address(), plainRequest("POST", "/n", "{\"kind\":\"alteration-sheet\"}"), Seconds(15), [this, sent](const HttpResult &result) {
                failures += isOk(result) && value(result).status == 200 ? 0 : 1;
                latencies.push_back(std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() - sent));
                sendNext();
            });
    }
};

void measure(int connections, int requests)
{
    HttpFixture http;
    ClosedLoop load {http, requests, 0, {}};
    const MonotonicTime begun = std::chrono::steady_clock::now();
    http.clientTask().call([&]() {
        for (int connection = 0; connection < connections; ++connection) {
            load.sendNext();
        }
    });
    const bool isDone = http.clientTask().waitFor([&]() {
        return load.latencies.size() == static_cast<std::size_t>(requests);
    });
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
    CHECK(isDone);
    LONGS_EQUAL(0, load.failures);
    std::sort(load.latencies.begin(), load.latencies.end());
    const std::size_t last = load.latencies.size() - 1;
    std::printf("\nhttp connections=%d requests=%d per_second=%.0f median_us=%ld p99_us=%ld\n",
        connections,
        requests,
        requests / took.count(),
        static_cast<long>(load.latencies[last / 2].count()),
        static_cast<long>(load.latencies[last * 99 / 100].count()));
}

} // namespace

TEST_GROUP(HttpFigures) {};

TEST(HttpFigures, requestsOnOneConnection)
{
    measure(1, 5000);
}

TEST(HttpFigures, requestsOnManyConnections)
{
    measure(16, 20000);
    measure(64, 20000);
    measure(256, 20000);
}

TEST(HttpFigures, memoryOfAnIdleConnection)
{
    constexpr std::size_t connections = 1000;
    HttpFixture http;
    const std::shared_ptr<std::size_t> answered = std::make_shared<std::size_t>(0);
    const std::size_t before = mallinfo2().uordblks;
    http.clientTask().call([&]() {
        for (std::size_t count = 0; count < connections; ++count) {
            http.client().send(http.server().address(), plainRequest("GET", "/hold"), Seconds(30), [answered](const HttpResult &result) {
                *answered += isOk(result) ? 1 : 0;
            });
        }
    });
    const bool isHeld = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == connections;
    });
    CHECK(isHeld);
    const std::size_t waiting = mallinfo2().uordblks;
    http.releaseHeld("{}");
    const bool isAnswered = http.clientTask().waitFor([answered]() {
        return *answered == connections;
    });
    CHECK(isAnswered);
    const std::size_t idle = mallinfo2().uordblks;
    std::printf("\nhttp heap bytes for client and server end together: long_poll=%zu idle=%zu\n",
        (waiting - before) / connections,
        idle > before ? (idle - before) / connections : 0);
}
