// Fake entry for the tests of knapweedctl. Answers each request with the next queued response and records the requests.
#pragma once

#include "base/eventloop.h"
#include "base/httpserver.h"

#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace knapweed
{

class FakeEntry
{
public:
    FakeEntry()
    {
        std::promise<Address> started;
        thread_ = std::thread([this, &started] {
            serve(started);
        });
        address_ = started.get_future().get();
    }

    ~FakeEntry()
    {
        loop_.stop();
        thread_.join();
    }

    Address address() const
    {
        return address_;
    }

    /// Queues the response to the next request without one. A response with status 0 is never sent, so the request times out.
    void enqueueResponse(const HttpResponse &response)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        responses_.push_back(response);
    }

    std::vector<HttpRequest> requests() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return requests_;
    }

private:
    void serve(std::promise<Address> &started)
    {
        HttpServer server(loop_, {"127.0.0.1", 0}, [this](const HttpRequest &request, const HttpResponder &respond) {
            answer(request, respond);
        });
        started.set_value(server.address());
        loop_.run();
    }

    void answer(const HttpRequest &request, const HttpResponder &respond)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        requests_.push_back(request);
        if (responses_.empty()) {
            respond(jsonResponse(500, R"({"error":"no_answer_given"})"));
            return;
        }
        const HttpResponse response = responses_.front();
        responses_.pop_front();
        if (response.status != 0) {
            respond(response);
        }
    }

    EventLoop loop_;
    mutable std::mutex mutex_;
    std::vector<HttpRequest> requests_; ///< guarded by mutex_
    std::deque<HttpResponse> responses_; ///< guarded by mutex_
    Address address_;
    std::thread thread_;
};

} // namespace knapweed
