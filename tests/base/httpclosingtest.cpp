// Contract of a graceful stop: closing the listener cuts off no request.

#include "base/httpfixture.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
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

/// A caller's plain socket, connected to @p address.
int connectTo(const Address &address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    return connect(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0 ? descriptor : -1;
}

bool sendRequest(int descriptor)
{
    const std::string request = "GET /n HTTP/1.1\r\nhost: a\r\n\r\n";
    return write(descriptor, request.data(), request.size()) == static_cast<ssize_t>(request.size());
}

bool isWholeLastAnswer(const std::string &answer)
{
    const std::string body = "\r\n\r\nGET /n ";
    const bool isWhole = answer.size() > body.size() && answer.compare(answer.size() - body.size(), body.size(), body) == 0;
    return isWhole && answer.find("connection: close\r\n") != std::string::npos;
}

std::string readToEnd(int descriptor)
{
    std::string text;
    std::array<char, 4096> part {};
    for (ssize_t length = read(descriptor, part.data(), part.size()); length > 0; length = read(descriptor, part.data(), part.size())) {
        text.append(part.data(), static_cast<std::size_t>(length));
    }
    close(descriptor);
    return text;
}

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

// Guards against LOST: callers keep using connections to a server that is about to end.
TEST(HttpClosing, tellsCallersToCloseWhileItStillAccepts)
{
    HttpFixture http;
    const int kept = connectTo(http.server().address());
    http.serverTask().call([&]() {
        http.server().closeConnectionsAfterAnswers();
    });
    CHECK(http.server().isListening());
    const int late = connectTo(http.server().address());
    for (const int descriptor : {kept, late}) {
        CHECK(sendRequest(descriptor));
        CHECK(isWholeLastAnswer(readToEnd(descriptor)));
    }
}

// Guards against LOST: a server that was held up ends before it has read what its callers have sent meanwhile.
TEST(HttpClosing, requestsThatHaveNotBeenReadAreWaitedFor)
{
    HttpFixture http;
    const int kept = connectTo(http.server().address());
    const bool isAccepted = http.serverTask().waitFor([&]() {
        return http.server().openConnections() == 1;
    });
    CHECK(isAccepted);
    int late = -1;
    bool isIdleCallerWaiting = true;
    bool isCallerWaiting = false;
    bool isLateCallerWaiting = false;
    std::size_t openRequests = 1;
    http.serverTask().call([&]() {
        isIdleCallerWaiting = http.server().hasWaitingCallers();
        sendRequest(kept);
        isCallerWaiting = http.server().hasWaitingCallers();
        late = connectTo(http.server().address());
        sendRequest(late);
        http.server().closeListener();
        openRequests = http.server().openRequests();
        isLateCallerWaiting = http.server().openConnections() == 2 && http.server().hasWaitingCallers();
    });
    CHECK(!isIdleCallerWaiting);
    CHECK(isCallerWaiting);
    CHECK(isLateCallerWaiting);
    LONGS_EQUAL(0, openRequests);
    for (const int descriptor : {kept, late}) {
        CHECK(isWholeLastAnswer(readToEnd(descriptor)));
    }
    const bool isOver = http.serverTask().waitFor([&]() {
        return http.server().openConnections() == 0 && !http.server().hasWaitingCallers();
    });
    CHECK(isOver);
}
