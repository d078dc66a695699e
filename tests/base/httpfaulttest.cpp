// Contract of the HTTP client and server when connections fail or send nonsense.

#include "base/httpfixture.h"

#include <rapidcheck.h>

// After the others: it redefines new.
#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace knapweed;

namespace
{

struct ClientFault
{
    const char *name;
    const char *path;
    std::size_t bytesToServer; ///< carried before the relay cuts
    std::size_t bytesBack;
    bool isFrozen; ///< the connection goes silent once the server has the request
    bool isTargetAbsent; ///< nothing listens
    HttpError::Kind expected;
};

const std::array<ClientFault, 7> clientFaults {{
    {"nothing listens", "/n", Relay::noLimit, Relay::noLimit, false, true, HttpError::Kind::NotSent},
    {"cut in the request's head", "/n", 20, Relay::noLimit, false, false, HttpError::Kind::Interrupted},
    {"cut in the request's body", "/n", 1000, Relay::noLimit, false, false, HttpError::Kind::Interrupted},
    {"cut in the answer's head", "/n", Relay::noLimit, 10, false, false, HttpError::Kind::Interrupted},
    {"cut in the answer's body", "/large?bytes=1000000", Relay::noLimit, 200000, false, false, HttpError::Kind::Interrupted},
    {"silent after the request", "/hold", Relay::noLimit, Relay::noLimit, true, false, HttpError::Kind::TimedOut},
    {"no answer in time", "/hold", Relay::noLimit, Relay::noLimit, false, false, HttpError::Kind::TimedOut},
}};

/// Sends bytes on a plain connection and reads until the server closes it; ends the sending side first when @p ends.
std::string sendRaw(const Address &target, const std::string &bytes, bool ends)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(target.port);
    inet_pton(AF_INET, target.ip.c_str(), &name.sin_addr);
    std::string answer;
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0) {
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (ends) {
            shutdown(descriptor, SHUT_WR);
        }
        std::array<char, 4096> buffer;
        pollfd polled {descriptor, POLLIN, 0};
        while (poll(&polled, 1, 2000) > 0) {
            const ssize_t length = recv(descriptor, buffer.data(), buffer.size(), 0);
            if (length <= 0) {
                break;
            }
            answer.append(buffer.data(), static_cast<std::size_t>(length));
        }
    }
    ::close(descriptor);
    return answer;
}

} // namespace

TEST_GROUP(HttpFaults) {};

TEST(HttpFaults, tellsTruthfullyHowARequestFailed)
{
    for (const ClientFault &fault : clientFaults) {
        HttpFixture http;
        http.relay().cutAfter(fault.bytesToServer, fault.bytesBack);
        const Address target = fault.isTargetAbsent ? Address {"127.0.0.1", 1} : http.relay().address();
        const std::shared_ptr<std::vector<HttpResult>> results = std::make_shared<std::vector<HttpResult>>();
        http.clientTask().call([&]() {
            const HttpRequest request = plainRequest("POST", fault.path, std::string(3000, 'u'));
            http.client().send(target, request, Milliseconds(800), [results](HttpResult result) {
                results->push_back(std::move(result));
            });
        });
        if (fault.isFrozen) {
            const bool isHeld = http.serverTask().waitFor([&]() {
                return http.server().openRequests() == 1;
            });
            CHECK_TEXT(isHeld, fault.name);
            http.relay().freeze();
            http.releaseHeld("lost");
        }
        const bool isAnswered = http.clientTask().waitFor([results]() {
            return !results->empty();
        });
        CHECK_TEXT(isAnswered, fault.name);
        CHECK_TEXT(!isOk(results->front()), fault.name);
        LONGS_EQUAL_TEXT(static_cast<int>(fault.expected), static_cast<int>(error(results->front()).kind), fault.name);

        http.relay().cutAfter(Relay::noLimit, Relay::noLimit);
        const std::optional<HttpResult> after = http.fetch(http.relay().address(), plainRequest("GET", "/n"));
        CHECK_TEXT(after && isOk(*after), fault.name);
        LONGS_EQUAL_TEXT(1, results->size(), fault.name);
    }
}

/// A request that is reported as not sent has not reached the server, also not later: whoever sends an order relies on it to give the order to another
/// endpoint.
TEST(HttpFaults, aRequestWhoseTimeEndsBeforeItIsSentNeverArrives)
{
    constexpr Milliseconds timeout {50};
    for (const char *method : {"POST", "GET"}) {
        HttpFixture http;
        const std::shared_ptr<std::vector<HttpResult>> results = std::make_shared<std::vector<HttpResult>>();
        http.clientTask().call([&]() {
            http.client().send(
                http.server().address(), plainRequest(method, "/hold", std::string(method) == "POST" ? "order" : ""), timeout, [results](HttpResult result) {
                    results->push_back(std::move(result));
                });
            std::this_thread::sleep_for(timeout * 3); // as a process that gets no processor time
        });
        const bool isAnswered = http.clientTask().waitFor([results]() {
            return !results->empty();
        });
        CHECK_TEXT(isAnswered, method);
        CHECK_TEXT(!isOk(results->front()), method);
        std::this_thread::sleep_for(Milliseconds(200));
        const bool mayHaveArrived = error(results->front()).kind != HttpError::Kind::NotSent;
        CHECK_TEXT(mayHaveArrived || http.heldRequests() == 0, method);
    }
}

TEST(HttpFaults, doesNotReuseAConnectionThatTheServerClosed)
{
    HttpFixture http;
    for (int count = 0; count < 20; ++count) {
        const std::optional<HttpResult> result = http.fetch(http.relay().address(), plainRequest("GET", "/n"));
        CHECK(result && isOk(*result));
        http.relay().cut();
        // The client must have seen the end before the next request; the loops share nothing but the socket. Each call lets its loop poll the sockets once
        // more.
        for (int turn = 0; turn < 5; ++turn) {
            http.clientTask().call([]() {});
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }
    LONGS_EQUAL(20, http.relay().accepted());
}

/// An order that is sent twice by itself may be carried out twice.
/// Guards against time-outs that add up: each idle connection of the pool that had gone silent cost one more request its whole time.
TEST(HttpFaults, usesNoIdleConnectionThatMayHaveGoneSilentWithAnother)
{
    HttpFixture http;
    http.relay().setDelay(Milliseconds(50));
    const std::shared_ptr<int> answers = std::make_shared<int>(0);
    http.clientTask().call([&]() {
        for (int i = 0; i < 3; ++i) {
            http.client().send(http.relay().address(), {"GET", "/n", {}, {}, {}}, Milliseconds(5000), [answers](const HttpResult &result) {
                *answers += isOk(result) ? 1 : 0;
            });
        }
    });
    CHECK(http.clientTask().waitFor([answers]() {
        return *answers == 3;
    }));
    LONGS_EQUAL(3, http.relay().accepted());
    http.relay().freeze();
    const std::optional<HttpResult> silent = http.fetch(http.relay().address(), {"GET", "/n", {}, {}, {}}, Milliseconds(500));
    CHECK(silent && !isOk(*silent) && error(*silent).kind == HttpError::Kind::TimedOut);
    const std::optional<HttpResult> next = http.fetch(http.relay().address(), {"GET", "/n", {}, {}, {}}, Milliseconds(2000));
    CHECK(next && isOk(*next));
    LONGS_EQUAL(4, http.relay().accepted());
}

TEST(HttpFaults, doesNotSendARequestAgainWhenAKeptConnectionEnds)
{
    HttpFixture http;
    const std::shared_ptr<std::vector<HttpResult>> results = std::make_shared<std::vector<HttpResult>>();
    CHECK(http.fetch(http.relay().address(), plainRequest("POST", "/n", "first")).has_value());
    http.clientTask().call([&]() {
        http.client().send(http.relay().address(), plainRequest("POST", "/hold", "order"), Milliseconds(15000), [results](HttpResult result) {
            results->push_back(std::move(result));
        });
    });
    CHECK(http.serverTask().waitFor([&]() {
        return http.server().openRequests() == 1;
    }));
    LONGS_EQUAL(1, http.relay().accepted());
    http.relay().cut();
    CHECK(http.clientTask().waitFor([results]() {
        return !results->empty();
    }));
    std::this_thread::sleep_for(Milliseconds(100));
    LONGS_EQUAL(1, http.heldRequests());
    LONGS_EQUAL(1, http.relay().accepted());
    LONGS_EQUAL(static_cast<int>(HttpError::Kind::Interrupted), static_cast<int>(error(results->front()).kind));
}

TEST(HttpFaults, refusesChunkedBodies)
{
    HttpFixture http;
    const std::string answer =
        sendRaw(http.server().address(), "POST /n HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false);
    STRCMP_CONTAINS("HTTP/1.1 411", answer.c_str());
}

TEST(HttpFaults, answersPipelinedRequestsInOrder)
{
    HttpFixture http;
    const std::string answer = sendRaw(http.server().address(),
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "HEAD /second HTTP/1.1\r\nHost: a\r\n\r\n",
        false);
    const std::size_t first = answer.find("GET /first");
    const std::size_t second = answer.find("HTTP/1.1 405");
    CHECK(first < second);
    CHECK(second != std::string::npos);
}

TEST_GROUP(OpenFinding) {};

/// Guards against jobs that are refused or taken with another body: libwebsockets reads the body of a pipelined request from the start of its head.
TEST(OpenFinding, bodyOfAPipelinedRequestIsItsOwn)
{
    HttpFixture http;
    const std::string answer = sendRaw(http.server().address(),
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
        false);
    STRCMP_CONTAINS("POST /second body", answer.c_str());
}

TEST(HttpFaults, survivesBytesAfterABody)
{
    HttpFixture http;
    sendRaw(http.server().address(),
        "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
        "GET /second HTTP/1.1\r\nHost: a\r\n\r\n",
        false);
    const std::optional<HttpResult> after = http.fetch(plainRequest("POST", "/n", "b"));
    CHECK(after && isOk(*after));
}

TEST(HttpFaults, dropsACallerThatNeverEndsItsBody)
{
    HttpServerOptions options;
    options.idleTimeout = Seconds(1);
    HttpFixture http(options);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(http.server().address().port);
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    CHECK(connect(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0);
    const std::string part = "POST /n HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc";
    LONGS_EQUAL(part.size(), send(descriptor, part.data(), part.size(), MSG_NOSIGNAL));
    const bool isOpen = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == 1;
    });
    const bool isDropped = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == 0;
    });
    ::close(descriptor);
    CHECK(isOpen);
    CHECK(isDropped);
}

TEST(HttpFaults, survivesTruncatedAndRandomBytes)
{
    HttpFixture http;
    const std::string whole = "POST /v1/jobs?a=b&c HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nhello";
    const bool isHandled = rc::check("truncated and changed requests leave the server serving", [&]() {
        const std::size_t length = *rc::gen::inRange<std::size_t>(0, whole.size());
        std::string bytes = whole.substr(0, length);
        if (!bytes.empty()) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        sendRaw(http.server().address(), bytes, true);
        RC_ASSERT(http.fetch(plainRequest("GET", "/n")).has_value());
    });
    CHECK(isHandled);
    const bool isRandomHandled = rc::check("random bytes leave the server serving", [&](const std::string &bytes) {
        sendRaw(http.server().address(), bytes, true);
        RC_ASSERT(http.fetch(plainRequest("GET", "/n")).has_value());
    });
    CHECK(isRandomHandled);
    // The last answer may arrive before the server's loop has removed its request.
    const bool isNoneLeft = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == 0;
    });
    CHECK(isNoneLeft);
}
