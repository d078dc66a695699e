// Appends records to the log service in order and in batches, and retries a batch until the service acknowledges or rejects it.
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
    /// @p reachability is called on the loop's thread after each request and receives whether the service answered it.
    LogAppender(EventLoop &loop, HttpClient &client, const LogClientOptions &options, std::function<void(bool)> reachability);

    /// Queues the text of a record. Returns false if the queue is full. Thread-safe.
    bool append(std::string text);

    /// Number of records that have not been acknowledged. Thread-safe.
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
    bool isNotified_ = false; ///< a call of takeQueued() has been posted to the loop

    // Used only on the loop's thread.
    std::deque<std::string> waiting_; ///< the first elements may be part of the pending request; they are removed when it is acknowledged
    bool isSending_ = false;
    bool isScheduled_ = false; ///< invariant: false while isSending_
    std::size_t batchSizeLimit_; ///< maximum number of records in the next request; 1 after the service has rejected a batch
};

} // namespace knapweed
