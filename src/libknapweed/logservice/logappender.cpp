// Sends one request at a time, so that records keep their order even when a request is retried.

#include "logservice/logappender.h"

#include "base/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace knapweed
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusTooMany = 429;

} // namespace

LogAppender::LogAppender(EventLoop &loop, HttpClient &client, const LogClientOptions &options, std::function<void(bool)> reachability)
    : loop_(loop)
    , client_(client)
    , options_(options)
    , reachability_(std::move(reachability))
    , backoff_ {options.retryDelay, options.maxRetryDelay}
    , random_(std::random_device()())
    , batchSizeLimit_(options.batchLimit)
{
}

bool LogAppender::append(std::string text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_ >= options_.queueLimit) {
        return false;
    }
    ++pending_;
    queued_.push_back(std::move(text));
    if (!isNotified_) {
        isNotified_ = true;
        loop_.post([this] {
            takeQueued();
        });
    }
    return true;
}

std::size_t LogAppender::pending() const
{
    return pending_;
}

void LogAppender::takeQueued()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::move(queued_.begin(), queued_.end(), std::back_inserter(waiting_));
        queued_.clear();
        isNotified_ = false;
    }
    if (!isSending_ && !isScheduled_) {
        scheduleSend(options_.batchDelay);
    }
}

void LogAppender::scheduleSend(Milliseconds delay)
{
    assert(!isSending_ && !isScheduled_);
    if (delay <= Milliseconds(0)) {
        send();
        return;
    }
    isScheduled_ = true;
    loop_.callAfter(delay, [this] {
        isScheduled_ = false;
        send();
    });
}

void LogAppender::send()
{
    assert(!isSending_ && !waiting_.empty());
    isSending_ = true;
    const std::size_t size = batchSize();
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/streams/" + options_.stream + "/records";
    request.headers["content-type"] = "application/json";
    request.body = batchBody(size);
    client_.send(options_.service, std::move(request), options_.requestTimeout, [this, size](const HttpResult &result) {
        receive(size, result);
    });
}

std::size_t LogAppender::batchSize() const
{
    const std::size_t maxSize = std::min(waiting_.size(), batchSizeLimit_);
    std::size_t size = 1;
    std::size_t bytes = waiting_.front().size();
    while (size < maxSize && bytes + waiting_.at(size).size() <= options_.batchBytes) {
        bytes += waiting_.at(size).size();
        ++size;
    }
    return size;
}

std::string LogAppender::batchBody(std::size_t size) const
{
    nlohmann::json records = nlohmann::json::array();
    for (std::size_t index = 0; index < size; ++index) {
        records.push_back(waiting_.at(index));
    }
    return nlohmann::json {{"records", std::move(records)}}.dump();
}

void LogAppender::receive(std::size_t size, const HttpResult &result)
{
    assert(isSending_ && size <= waiting_.size());
    isSending_ = false;
    const int status = isOk(result) ? value(result).status : 0;
    reachability_(status != 0 && (status < 500 || status == statusTooMany));
    if (status == statusOk) {
        acknowledge(size);
    } else if (status == statusBadRequest || status == statusTooLarge) {
        handleRejectedBatch(size, value(result).body);
    } else {
        retry();
    }
}

void LogAppender::acknowledge(std::size_t size)
{
    waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(size));
    pending_ -= size;
    backoff_.failures = 0;
    batchSizeLimit_ = options_.batchLimit;
    if (!waiting_.empty()) {
        scheduleSend(options_.batchDelay);
    }
}

void LogAppender::handleRejectedBatch(std::size_t size, const std::string &detail)
{
    if (size > 1) {
        batchSizeLimit_ = 1;
        scheduleSend(Milliseconds(0));
        return;
    }
    logEvent(LogLevel::Error, "log_record_refused", {{"stream", options_.stream}, {"detail", detail}});
    acknowledge(size);
}

void LogAppender::retry()
{
    scheduleSend(nextDelay(backoff_, random_));
}

} // namespace knapweed
