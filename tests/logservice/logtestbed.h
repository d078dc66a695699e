// The simulated log service and a client of it in the test process, connected by HTTP on a free port.
#pragma once

#include "base/eventloop.h"
#include "base/httpserver.h"
#include "logservice/logclient.h"
#include "standins/logstandin.h"

#include <atomic>
#include <condition_variable>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace knapweed::test
{

/// Runs the simulated log service on its own event loop and thread.
class LogService
{
public:
    explicit LogService(standins::LogStandinOptions options = {})
        : standin_(loop_, options)
        , server_(loop_,
              {"127.0.0.1", 0},
              [this](const HttpRequest &request, const HttpResponder &respond) {
                  standin_.handle(request, respond);
              })
        , thread_([this] {
            loop_.run();
        })
    {
    }

    ~LogService()
    {
        loop_.stop();
        thread_.join();
    }

    LogService(const LogService &) = delete;
    LogService &operator=(const LogService &) = delete;

    Address address() const
    {
        return server_.address();
    }

    /// Sets faults as POST /v1/faults does and waits until they are in effect.
    void setFaults(const nlohmann::json &faults)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/faults";
        request.body = faults.dump();
        handleRequest(request);
    }

    /// Appends records as another client does.
    HttpResponse append(const std::vector<std::string> &records)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/streams/knapweedstage/records";
        request.body = nlohmann::json {{"records", records}}.dump();
        return handleRequest(request);
    }

    /// Handles a request without the network and returns the response.
    HttpResponse handleRequest(const HttpRequest &request)
    {
        std::promise<HttpResponse> promise;
        loop_.post([this, &request, &promise] {
            standin_.handle(request, [&promise](HttpResponse response) {
                promise.set_value(std::move(response));
            });
        });
        return promise.get_future().get();
    }

private:
    EventLoop loop_;
    standins::LogStandin standin_;
    HttpServer server_;
    std::thread thread_;
};

/// A client that stores all events it receives.
class Reader
{
public:
    explicit Reader(LogClientOptions options)
        : client_(std::make_unique<LogClient>(std::move(options),
            LogClientEvents {[this](std::int64_t offset, const Record &record) {
                                 const std::lock_guard<std::mutex> lock(mutex_);
                                 records_.emplace_back(offset, record);
                                 changed_.notify_all();
                             },
                [this] {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    ++timesCaughtUp_;
                    changed_.notify_all();
                },
                [this](bool isReachable) {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    reachability_.push_back(isReachable);
                    changed_.notify_all();
                }}))
    {
    }

    LogClient &client()
    {
        return *client_;
    }

    /// Waits until @p condition holds for the events received so far. Returns false after a time-out of 30 s.
    template<typename Condition>
    bool waitUntil(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, Seconds(30), [this, &condition] {
            return condition(*this);
        });
    }

    bool waitForCatchingUp(int times = 1)
    {
        return waitUntil([times](const Reader &reader) {
            return reader.timesCaughtUp_ >= times;
        });
    }

    bool waitForReachability(bool isReachable)
    {
        return waitUntil([isReachable](const Reader &reader) {
            return !reader.reachability_.empty() && reader.reachability_.back() == isReachable;
        });
    }

    // Access only inside waitUntil(), or when the client emits no more events.
    std::vector<std::pair<std::int64_t, Record>> records_;
    std::vector<bool> reachability_;
    int timesCaughtUp_ = 0;

private:
    std::mutex mutex_; ///< guards the events received
    std::condition_variable changed_;
    std::unique_ptr<LogClient> client_; ///< declared last because its callbacks use the other members
};

} // namespace knapweed::test
