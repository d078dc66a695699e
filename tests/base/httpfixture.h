// A server and a client, each on a task of its own, with a relay between them.
#pragma once

#include "base/httpclient.h"
#include "base/httpserver.h"
#include "base/looptask.h"
#include "base/relay.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweed
{

/// Answers with what was asked; "/hold" is answered by releaseHeld(), "/large?bytes=N" with N bytes.
class HttpFixture
{
public:
    explicit HttpFixture(HttpServerOptions options = {})
    {
        serverTask_.call([&]() {
            server_ = std::make_unique<HttpServer>(
                serverTask_.loop(),
                Address {"127.0.0.1", 0},
                [this](const HttpRequest &request, const HttpResponder &respond) {
                    handle(request, respond);
                },
                options);
        });
        clientTask_.call([this]() {
            client_ = std::make_unique<HttpClient>(clientTask_.loop());
        });
        relay_.setTarget(server_->address());
    }

    ~HttpFixture()
    {
        clientTask_.call([this]() {
            client_.reset();
        });
        serverTask_.call([this]() {
            held_.clear();
            server_.reset();
        });
    }

    HttpServer &server()
    {
        return *server_;
    }

    HttpClient &client()
    {
        return *client_;
    }

    LoopTask &serverTask()
    {
        return serverTask_;
    }

    LoopTask &clientTask()
    {
        return clientTask_;
    }

    Relay &relay()
    {
        return relay_;
    }

    /// The answer, or nothing when the callback has not run within the deadline of tests.
    std::optional<HttpResult> fetch(const Address &target, const HttpRequest &request, Milliseconds timeout = Milliseconds(15000))
    {
        const std::shared_ptr<std::vector<HttpResult>> results = std::make_shared<std::vector<HttpResult>>();
        clientTask_.call([&]() {
            client_->send(target, request, timeout, [results](HttpResult result) {
                results->push_back(std::move(result));
            });
        });
        const bool isAnswered = clientTask_.waitFor([results]() {
            return !results->empty();
        });
        return isAnswered && results->size() == 1 ? std::optional<HttpResult>(results->front()) : std::nullopt;
    }

    std::optional<HttpResult> fetch(const HttpRequest &request, Milliseconds timeout = Milliseconds(15000))
    {
        return fetch(server_->address(), request, timeout);
    }

    std::size_t heldRequests()
    {
        std::size_t count = 0;
        serverTask_.call([&]() {
            count = held_.size();
        });
        return count;
    }

    void releaseHeld(const std::string &body)
    {
        serverTask_.call([&]() {
            releaseHeldNow(body);
        });
    }

    /// On the server's thread only.
    void releaseHeldNow(const std::string &body)
    {
        for (const HttpResponder &respond : held_) {
            respond(jsonResponse(200, body));
        }
        held_.clear();
    }

private:
    void handle(const HttpRequest &request, const HttpResponder &respond)
    {
        if (request.path == "/hold") {
            held_.push_back(respond);
            return;
        }
        if (request.path == "/large") {
            respond(jsonResponse(200, std::string(std::stoul(request.query.at("bytes")), 'x')));
            return;
        }
        HttpResponse response = jsonResponse(200, request.method);
        response.body.append(" ").append(request.path).append(" ").append(request.body);
        for (const auto &[name, text] : request.query) {
            response.body.append(" ").append(name).append("=").append(text);
        }
        for (const auto &[name, text] : request.headers) {
            response.body.append(" ").append(name).append(":").append(text);
        }
        respond(response);
    }

    LoopTask serverTask_;
    LoopTask clientTask_;
    Relay relay_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<HttpClient> client_;
    std::vector<HttpResponder> held_;
};

/// A request with as little in it as can be.
inline HttpRequest plainRequest(const std::string &method, const std::string &path, std::string body = {})
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = std::move(body);
    return request;
}

} // namespace knapweed
