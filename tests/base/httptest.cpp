// Contract of the HTTP server and client between healthy processes.

#include "base/httpfixture.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace knapweed;

TEST_GROUP(Http) {};

TEST(Http, echoesMethodPathQueryHeadersAndBody)
{
    HttpFixture http;
    HttpRequest request = plainRequest("POST", "/v1/jobs/a%20b?wait_ms=5&x=1", "text");
    request.headers["authorization"] = "Bearer t";
    request.headers["idempotency-key"] = "k1";
    request.headers["prefer"] = "respond-async";

    const std::optional<HttpResult> result = http.fetch(request);

    CHECK(result && isOk(*result));
    STRCMP_EQUAL("POST /v1/jobs/a b text wait_ms=5 x=1 authorization:Bearer t idempotency-key:k1 prefer:respond-async", value(*result).body.c_str());
    STRCMP_EQUAL("application/json", value(*result).headers.at("content-type").c_str());
}

TEST(Http, servesRequestsOneAfterAnotherOnOneConnection)
{
    constexpr int requests = 300;
    const std::array<const char *, 3> methods {"GET", "POST", "PUT"};
    HttpFixture http;
    for (int count = 0; count < requests; ++count) {
        const std::string method = methods.at(static_cast<std::size_t>(count) % methods.size());
        const std::string body = method == "GET" ? std::string() : std::string(static_cast<std::size_t>(count) * 10, 'b');
        const std::optional<HttpResult> result = http.fetch(http.relay().address(), plainRequest(method, "/n", body));
        CHECK(result && isOk(*result));
        const std::string expected = std::string(method).append(" /n ").append(body);
        CHECK(value(*result).body == expected);
    }
    LONGS_EQUAL(1, http.relay().accepted());
}

TEST(Http, servesDeletesAmongOthers)
{
    constexpr int requests = 100;
    HttpFixture http;
    for (int count = 0; count < requests; ++count) {
        const std::string method = count % 2 == 0 ? "DELETE" : "GET";
        const std::optional<HttpResult> result = http.fetch(plainRequest(method, "/n"));
        CHECK(result && isOk(*result));
        STRCMP_EQUAL((method + " /n ").c_str(), value(*result).body.c_str());
    }
}

TEST(Http, givesEachServerOfALoopItsOwnRequests)
{
    HttpFixture http;
    std::unique_ptr<HttpServer> other;
    http.serverTask().call([&]() {
        other = std::make_unique<HttpServer>(http.serverTask().loop(), Address {"127.0.0.1", 0}, [](const HttpRequest &, const HttpResponder &respond) {
            respond(jsonResponse(200, "other"));
        });
    });
    const std::optional<HttpResult> first = http.fetch(plainRequest("GET", "/n"));
    const std::optional<HttpResult> second = http.fetch(other->address(), plainRequest("GET", "/n"));
    http.serverTask().call([&]() {
        other.reset();
    });
    CHECK(first && isOk(*first) && second && isOk(*second));
    STRCMP_EQUAL("GET /n ", value(*first).body.c_str());
    STRCMP_EQUAL("other", value(*second).body.c_str());
}

TEST(Http, answersEachOfManyConcurrentRequestsWhileLongPollsWait)
{
    constexpr std::size_t polls = 20;
    constexpr std::size_t requests = 500;
    HttpFixture http;
    const std::shared_ptr<std::vector<std::string>> answers = std::make_shared<std::vector<std::string>>(requests);
    const std::shared_ptr<std::size_t> polled = std::make_shared<std::size_t>(0);
    const std::shared_ptr<std::size_t> answered = std::make_shared<std::size_t>(0);
    http.clientTask().call([&]() {
        for (std::size_t count = 0; count < polls; ++count) {
            http.client().send(http.server().address(), plainRequest("GET", "/hold"), Seconds(15), [polled](const HttpResult &result) {
                *polled += isOk(result) && value(result).body == "held" ? 1 : 0;
            });
        }
        for (std::size_t count = 0; count < requests; ++count) {
            const HttpRequest request = plainRequest("POST", "/n", std::to_string(count));
            http.client().send(http.server().address(), request, Seconds(15), [answers, answered, count](const HttpResult &result) {
                answers->at(count) = isOk(result) ? value(result).body : error(result).detail;
                ++*answered;
            });
        }
    });
    const bool isAnswered = http.clientTask().waitFor([&]() {
        return *answered == requests;
    });
    CHECK(isAnswered);
    LONGS_EQUAL(0, *polled);
    for (std::size_t count = 0; count < requests; ++count) {
        STRCMP_EQUAL(("POST /n " + std::to_string(count)).c_str(), answers->at(count).c_str());
    }
    http.releaseHeld("held");
    const bool isPolled = http.clientTask().waitFor([&]() {
        return *polled == polls;
    });
    CHECK(isPolled);
}

TEST(Http, carriesBodiesOfAnySizeUnderTheLimit)
{
    constexpr std::size_t limit = std::size_t(8) << 20;
    HttpServerOptions options;
    options.maximumBodyBytes = limit;
    HttpFixture http(options);
    for (const std::size_t bytes : {std::size_t(0), std::size_t(1), std::size_t(4095), std::size_t(65536), std::size_t(65537), std::size_t(1000000), limit}) {
        const std::string body(bytes, 'u');
        const std::optional<HttpResult> up = http.fetch(plainRequest("POST", "/n", body));
        CHECK(up && isOk(*up));
        CHECK(value(*up).body == "POST /n " + body);
        const std::optional<HttpResult> down = http.fetch(plainRequest("GET", "/large?bytes=" + std::to_string(bytes)));
        CHECK(down && isOk(*down));
        CHECK(value(*down).body == std::string(bytes, 'x'));
    }
}

TEST(Http, refusesBodiesOverTheLimitAndGoesOn)
{
    HttpServerOptions options;
    options.maximumBodyBytes = 1000;
    HttpFixture http(options);
    for (const std::size_t bytes : {std::size_t(1001), std::size_t(100000), std::size_t(10) << 20}) {
        const std::optional<HttpResult> result = http.fetch(http.relay().address(), plainRequest("POST", "/n", std::string(bytes, 'u')));
        CHECK(result && isOk(*result));
        LONGS_EQUAL(413, value(*result).status);
        STRCMP_CONTAINS("\"error\":\"body_too_large\"", value(*result).body.c_str());
    }
    const std::optional<HttpResult> after = http.fetch(http.relay().address(), plainRequest("POST", "/n", "small"));
    CHECK(after && isOk(*after));
    LONGS_EQUAL(200, value(*after).status);
    LONGS_EQUAL(1, http.relay().accepted());
}

TEST(Http, holdsAnAnswerLongerThanTheLibrarysOwnTimeouts)
{
    // The library's default for an answer is 5 s; this is the duration under test, not a wait for something else.
    constexpr Milliseconds held {6500};
    HttpFixture http;
    for (const char *method : {"GET", "POST"}) {
        http.serverTask().call([&]() {
            http.serverTask().loop().callAfter(held, [&http]() {
                http.releaseHeldNow("late");
            });
        });
        const std::optional<HttpResult> result = http.fetch(plainRequest(method, "/hold", *method == 'P' ? "body" : ""));
        CHECK(result && isOk(*result));
        STRCMP_EQUAL("late", value(*result).body.c_str());
    }
}

TEST(Http, isNotHarmedByCallersThatGoAway)
{
    constexpr int callers = 20;
    HttpFixture http;
    for (int count = 0; count < callers; ++count) {
        http.clientTask().call([&]() {
            http.client().send(http.relay().address(), plainRequest("GET", "/hold"), Seconds(15), [](const HttpResult &) {});
        });
    }
    const bool isHeld = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == callers;
    });
    CHECK(isHeld);
    http.relay().cut();
    const bool isGone = http.serverTask().waitFor([&]() {
        return http.server().openRequests() == 0;
    });
    CHECK(isGone);
    http.releaseHeld("too late");

    const std::optional<HttpResult> after = http.fetch(plainRequest("GET", "/n"));
    CHECK(after && isOk(*after));
}

TEST(Http, tellsThatAPortCannotBeHad)
{
    HttpFixture http;
    bool isListening = true;
    http.serverTask().call([&]() {
        const HttpServer second(http.serverTask().loop(), http.server().address(), [](const HttpRequest &, const HttpResponder &) {});
        isListening = second.isListening();
    });
    CHECK(!isListening);
}

TEST(Http, refusesMethodsThatItDoesNotServe)
{
    HttpFixture http;
    const std::optional<HttpResult> result = http.fetch(plainRequest("PATCH", "/n"));
    CHECK(result && isOk(*result));
    LONGS_EQUAL(405, value(*result).status);
}
