// Contract of a graceful stop: closing the listener cuts off no request.

#include "base/httpfixture.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace knapweed;

namespace
{

/// Callers on kept connections, each with the next request at once, until told to stop or refused.
struct Callers
{
    HttpFixture &http;
    std::array<int, 3> failures {0, 0, 0}; ///< by HttpError::Kind
    int answered = 0;
    int running = 0;
    bool isStopped = false;

    void sendNext()
    {
        const std::string path = answered % 10 == 0 ? "/large?bytes=300000" : "/n";
        http.client().send(http.server().address(), plainRequest("POST", path, "b"), Seconds(15), [this](const HttpResult &result) {
            if (!isOk(result)) {
                ++failures.at(static_cast<std::size_t>(error(result).kind));
                --running;
                return;
            }
            ++answered;
            if (isStopped) {
                --running;
                return;
            }
            sendNext();
        });
    }
};

} // namespace

TEST_GROUP(HttpClosing) {};

TEST(HttpClosing, answersAllOpenRequests)
{
    constexpr std::size_t polls = 50;
    HttpFixture http;
    const std::shared_ptr<std::size_t> polled = std::make_shared<std::size_t>(0);
    http.clientTask().call([&]() {
        for (std::size_t count = 0; count < polls; ++count) {
            http.client().send(http.server().address(), plainRequest("GET", "/hold"), Seconds(15), [polled](const HttpResult &result) {
                *polled += isOk(result) && value(result).body == "still running" ? 1 : 0;
            });
        }
    });
    const bool isHeld = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == polls;
    });
    CHECK(isHeld);
    http.serverTask().call([&]() {
        http.server().closeListener();
    });
    const std::optional<HttpResult> late = http.fetch(http.relay().address(), plainRequest("GET", "/n"));
    CHECK(late && !isOk(*late));
    LONGS_EQUAL(polls, http.heldRequests());
    http.releaseHeld("still running");

    const bool isPolled = http.clientTask().waitFor([&]() {
        return *polled == polls;
    });
    CHECK(isPolled);
}

TEST(HttpClosing, cutsOffNothingUnderLoad)
{
    constexpr int rounds = 20;
    constexpr int callers = 32;
    int answered = 0;
    int interrupted = 0;
    for (int round = 0; round < rounds; ++round) {
        HttpFixture http;
        Callers load {http};
        http.clientTask().call([&]() {
            for (int caller = 0; caller < callers; ++caller) {
                ++load.running;
                load.sendNext();
            }
        });
        const int before = 50 * (round + 1);
        const bool isLoaded = http.clientTask().waitFor([&]() {
            return load.answered > before;
        });
        CHECK(isLoaded);
        http.serverTask().call([&]() {
            http.server().closeListener();
        });
        // Each kept connection gets one more answer, with "connection: close"; then there is nothing to connect to.
        const bool isOver = http.clientTask().waitFor([&]() {
            return load.running == 0;
        });
        CHECK(isOver);
        answered += load.answered;
        interrupted += load.failures.at(static_cast<std::size_t>(HttpError::Kind::Interrupted));
        LONGS_EQUAL(0, load.failures.at(static_cast<std::size_t>(HttpError::Kind::TimedOut)));
        LONGS_EQUAL(callers, load.failures.at(static_cast<std::size_t>(HttpError::Kind::NotSent)));
    }
    std::printf("\nhttp closing under load: rounds=%d answered=%d interrupted=%d\n", rounds, answered, interrupted);
    LONGS_EQUAL(0, interrupted);
}
