// What the driver for an endpoint reports when calls fail, over real sockets.

#include "endpointcalls.h"
#include "base/httpfixture.h"

// After the others: it redefines new.
#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <sys/resource.h>
#include <vector>

using namespace knapweed;
using namespace knapweed::platform;

namespace
{

using Kind = cell::EndpointError::Kind;

std::string nameOf(const std::optional<Result<cell::RenewalResult, cell::EndpointError>> &result)
{
    return !result ? "no answer" : isOk(*result) ? "answered" : std::to_string(static_cast<int>(error(*result).kind)) + " " + error(*result).detail;
}

} // namespace

TEST_GROUP(EndpointCalls)
{
    HttpFixture http;

    using Results = std::vector<Result<cell::RenewalResult, cell::EndpointError>>;

    /// Renews the lease at the relay's address; @p before runs on the client's thread just before the call is sent.
    std::optional<Result<cell::RenewalResult, cell::EndpointError>> renew(const std::function<void()> &before)
    {
        const std::shared_ptr<Results> results = std::make_shared<Results>();
        http.clientTask().call([&]() {
            before();
            const cell::EndpointDriver driver = makeEndpointDriver(http.client(), http.relay().address());
            driver.renewLease({"i-1", 1, 0, std::nullopt, Milliseconds(0)}, [results](Result<cell::RenewalResult, cell::EndpointError> result) {
                results->push_back(std::move(result));
            });
        });
        http.clientTask().waitFor([results]() {
            return !results->empty();
        });
        return results->empty() ? std::nullopt : std::optional<Result<cell::RenewalResult, cell::EndpointError>>(results->front());
    }

    static bool saysThatNothingListens(const std::optional<Result<cell::RenewalResult, cell::EndpointError>> &result)
    {
        return result && !isOk(*result) && error(*result).kind == Kind::ConnectionFailed;
    }
};

TEST(EndpointCalls, anAbsentListenerIsReportedAsConnectionFailed)
{
    const std::shared_ptr<Results> results = std::make_shared<Results>();
    http.clientTask().call([&]() {
        makeEndpointDriver(http.client(), {"127.0.0.1", 1})
            .renewLease({"i-1", 1, 0, std::nullopt, Milliseconds(0)}, [results](Result<cell::RenewalResult, cell::EndpointError> result) {
                results->push_back(std::move(result));
            });
    });
    CHECK(http.clientTask().waitFor([results]() {
        return !results->empty();
    }));
    CHECK(saysThatNothingListens(results->front()));
}

/// An agent takes a draining endpoint that refuses connections to have left, and its runs to have ended. A kept connection that ends is no such refusal.
TEST(EndpointCalls, theEndOfAKeptConnectionIsNotReportedAsConnectionFailed)
{
    for (int round = 0; round < 20; ++round) {
        renew([]() {});
        const std::optional<Result<cell::RenewalResult, cell::EndpointError>> result = renew([this]() {
            http.relay().cut();
            std::this_thread::sleep_for(Milliseconds(5)); // the end has arrived, and this loop has not seen it yet
        });
        CHECK_TEXT(!saysThatNothingListens(result), nameOf(result).c_str());
    }
}

/// As theEndOfAKeptConnectionIsNotReportedAsConnectionFailed: the fault is this process's own.
TEST(EndpointCalls, aLackOfDescriptorsIsNotReportedAsConnectionFailed)
{
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    const std::optional<Result<cell::RenewalResult, cell::EndpointError>> result = renew([&]() {
        rlimit none = before;
        none.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &none);
    });
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK_TEXT(!saysThatNothingListens(result), nameOf(result).c_str());
}

/// A run that is missing from the lists of an endpoint is taken to have ended. Lists that cannot be read in full say nothing about any run.
TEST(EndpointCalls, listsThatCannotBeReadInFullAreNoAnswer)
{
    const char *whole = R"({"clockMs":5,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    const char *partial[] = {R"({"clockMs":5,"born":7,"ended":[]})",
        R"({"clockMs":5,"born":7,"running":[]})",
        R"({"clockMs":5,"born":7,"running":null,"ended":[]})",
        R"({"clockMs":5,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17","2","",41]],"ended":[]})",
        R"({"clockMs":5,"born":7,"running":[],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})",
        R"({"clockMs":"5","born":7,"running":[],"ended":[]})",
        R"({"clockMs":5,"born":"7","running":[],"ended":[]})"};
    std::string body = whole;
    std::unique_ptr<HttpServer> endpoint;
    http.serverTask().call([&]() {
        endpoint = std::make_unique<HttpServer>(http.serverTask().loop(), Address {"127.0.0.1", 0}, [&body](const HttpRequest &, const HttpResponder &respond) {
            respond(jsonResponse(200, body));
        });
    });
    http.relay().setTarget(endpoint->address());
    const std::optional<Result<cell::RenewalResult, cell::EndpointError>> read = renew([]() {});
    std::string accepted;
    for (const char *text : partial) {
        body = text;
        const std::optional<Result<cell::RenewalResult, cell::EndpointError>> result = renew([]() {});
        accepted += result && !isOk(*result) ? "" : std::string(text) + "\n";
    }
    http.serverTask().call([&endpoint]() {
        endpoint.reset();
    });
    CHECK(read && isOk(*read));
    STRCMP_EQUAL("", accepted.c_str());
}
