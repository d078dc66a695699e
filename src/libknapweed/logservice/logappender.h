// Appends records to the log service in their order, several in one request, and repeats a request until the service has acknowledged it.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "logservice/logclient.h"
#include "peers/backoff.h"

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <string>

namespace knapweed
{

class LogAppender
{
public:
    /// @p reachability hears on the loop's thread whether the last request was answered.
    LogAppender(EventLoop &loop, HttpClient &client, const LogClientOptions &options, std::function<void(bool)> reachability);

    /// Queues a record's text; false when the queue is full. From any thread.
    bool append(std::string text);

    /// From any thread.
    std::size_t pending() const;

private:
    void takeQueued();
    void scheduleSend(Milliseconds delay);
    void send();
    std::size_t batchSize() const;
    std::string batchBody(std::size_t size) const;
    void receive(std::size_t size, const HttpResult &result);
    void acknowledge(std::size_t size);
    void handleRejectedBatch(std::size_t size, const std::string &detail);
    void retry();

    EventLoop &loop_;
    HttpClient &client_;
    const LogClientOptions &options_;
    std::function<void(bool)> reachability_;
    Backoff backoff_;
    std::mt19937 random_;

    std::atomic<std::size_t> pending_ {0}; ///< records in queued_ and waiting_

    std::mutex mutex_; ///< guards queued_ and isNotified_
    std::deque<std::string> queued_;
    bool isNotified_ = false; ///< the loop has been told of queued_

    // The loop thread's own.
    std::deque<std::string> waiting_; ///< the first ones may be in the request under way; they leave when it is acknowledged
    bool isSending_ = false;
    bool isScheduled_ = false; ///< invariant: not while isSending_
    std::size_t batchSizeLimit_; ///< records in the next request; 1 after the service has found a batch unacceptable
};

} // namespace knapweed
