// Contract of the HTTP server and client, over loopback.

#include "base/httpclient.h"
#include "base/httpserver.h"
#include "base/looptask.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace knapweed;

namespace
{

HttpResponse echo(const HttpRequest &request)
{
    HttpResponse response = jsonResponse(200, request.method + ' ' + request.path + ' ' + request.body);
    for (const auto &[name, text] : request.query) {
        response.body.append(" ").append(name).append("=").append(text);
    }
    for (const auto &[name, text] : request.headers) {
        response.body.append(" ").append(name).append(":").append(text);
    }
    return response;
}

} // namespace

TEST_GROUP(Http)
{
    std::unique_ptr<LoopTask> serverTask;
    std::unique_ptr<LoopTask> clientTask;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
    std::vector<HttpResponder> held; ///< answers to "/hold", given by the test

    void setup() override
    {
        serverTask = std::make_unique<LoopTask>();
        clientTask = std::make_unique<LoopTask>();
        serverTask->call([this]() {
            server =
                std::make_unique<HttpServer>(serverTask->loop(), Address {"127.0.0.1", 0}, [this](const HttpRequest &request, const HttpResponder &respond) {
                    if (request.path == "/hold") {
                        held.push_back(respond);
                        return;
                    }
                    respond(echo(request));
                });
        });
        clientTask->call([this]() {
            client = std::make_unique<HttpClient>(clientTask->loop());
        });
        CHECK(server->isListening());
    }

    void teardown() override
    {
        clientTask->call([this]() {
            client.reset();
        });
        serverTask->call([this]() {
            held.clear();
            server.reset();
        });
        clientTask.reset();
        serverTask.reset();
    }

    HttpResult fetch(const HttpRequest &request, Milliseconds timeout = Milliseconds(10000))
    {
        std::optional<HttpResult> result;
        clientTask->call([&]() {
            client->send(server->address(), request, timeout, [&result](HttpResult answer) {
                result = std::move(answer);
            });
        });
        const bool isAnswered = clientTask->waitFor([&result]() {
            return result.has_value();
        });
        CHECK(isAnswered);
        return *result;
    }
};

TEST(Http, echoesMethodPathQueryHeadersAndBody)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/jobs/a%20b?wait_ms=5&x=1";
    request.headers["authorization"] = "Bearer t";
    request.headers["idempotency-key"] = "k1";
    request.headers["prefer"] = "respond-async";
    request.body = "text";

    const HttpResult result = fetch(request);

    CHECK(isOk(result));
    STRCMP_EQUAL("POST /v1/jobs/a b text wait_ms=5 x=1 authorization:Bearer t idempotency-key:k1 prefer:respond-async", value(result).body.c_str());
    STRCMP_EQUAL("application/json", value(result).headers.at("content-type").c_str());
}

TEST(Http, servesManyRequestsOneAfterAnother)
{
    for (int count = 0; count < 300; ++count) {
        HttpRequest request;
        request.method = count % 4 == 0 ? "GET" : count % 4 == 1 ? "POST" : count % 4 == 2 ? "PUT" : "DELETE";
        request.path = "/n" + std::to_string(count);
        request.body = count % 4 == 1 || count % 4 == 2 ? std::string(static_cast<std::size_t>(count) * 10, 'b') : "";
        const HttpResult result = fetch(request);
        CHECK(isOk(result));
        STRCMP_EQUAL((request.method + ' ' + request.path + ' ' + request.body).c_str(), value(result).body.c_str());
    }
}
