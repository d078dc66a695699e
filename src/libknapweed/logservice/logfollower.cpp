// Until the follower has caught up, read requests have no wait time, so that an empty response indicates the end of the log immediately.

#include "logservice/logfollower.h"

#include "base/logging.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <string>

namespace knapweed
{

namespace
{

constexpr int maxRecordsPerRead = 1000;
constexpr int statusOk = 200;
constexpr int statusGone = 410;

} // namespace

LogFollower::LogFollower(
    EventLoop &loop, HttpClient &client, const LogClientOptions &options, const LogClientEvents &events, std::function<void(bool)> reachability)
    : loop_(loop)
    , client_(client)
    , options_(options)
    , events_(events)
    , reachability_(std::move(reachability))
    , backoff_ {options.retryDelay, options.maxRetryDelay}
    , random_(std::random_device()())
{
}

void LogFollower::start()
{
    read();
}

void LogFollower::read()
{
    const Milliseconds wait = isCaughtUp_ ? options_.followWait : Milliseconds(0);
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/streams/" + options_.stream + "/records?from=" + std::to_string(nextOffset_) + "&limit=" + std::to_string(maxRecordsPerRead)
        + "&wait_ms=" + std::to_string(wait.count());
    client_.send(options_.service, std::move(request), wait + options_.requestTimeout, [this](const HttpResult &result) {
        receive(result);
    });
}

void LogFollower::receive(const HttpResult &result)
{
    const int status = isOk(result) ? value(result).status : 0;
    const bool isUsable = (status == statusOk && receiveRecords(value(result).body)) || (status == statusGone && skipExpired(value(result).body));
    reachability_(isUsable);
    if (!isUsable) {
        retry();
        return;
    }
    backoff_.failures = 0;
    read();
}

bool LogFollower::receiveRecords(const std::string &body)
{
    const nlohmann::json response = nlohmann::json::parse(body, nullptr, false);
    try {
        const nlohmann::json &records = response.at("records");
        for (const nlohmann::json &record : records) {
            deliver(record.at("offset").get<std::int64_t>(), record.at("value").get_ref<const std::string &>());
        }
        updateOldestOffset(response.value("oldest_offset", std::int64_t(0)));
        if (records.empty() && !isCaughtUp_) {
            isCaughtUp_ = true;
            events_.caughtUp();
        }
        return true;
    } catch (const nlohmann::json::exception &failure) {
        logEvent(LogLevel::Warning, "log_answer_malformed", {{"stream", options_.stream}, {"detail", failure.what()}});
        return false;
    }
}

void LogFollower::deliver(std::int64_t offset, const std::string &text)
{
    if (offset < nextOffset_) {
        return;
    }
    if (offset > nextOffset_) {
        isCaughtUp_ = false;
    }
    nextOffset_ = offset + 1;
    const Result<Record, RecordError> record = decodeRecord(text);
    if (!isOk(record)) {
        isCaughtUp_ = false;
        logEvent(LogLevel::Warning, "log_record_unreadable", {{"offset", std::to_string(offset)}, {"detail", error(record).detail}});
        return;
    }
    events_.record(offset, value(record));
}

bool LogFollower::skipExpired(const std::string &body)
{
    const nlohmann::json response = nlohmann::json::parse(body, nullptr, false);
    if (!response.is_object() || !response.contains("oldest_offset") || !response.at("oldest_offset").is_number_integer()) {
        return false;
    }
    const std::int64_t oldest = response.at("oldest_offset").get<std::int64_t>();
    if (oldest <= nextOffset_) {
        return false;
    }
    logEvent(LogLevel::Warning, "log_records_expired", {{"from", std::to_string(nextOffset_)}, {"oldest", std::to_string(oldest)}});
    nextOffset_ = oldest;
    isCaughtUp_ = false;
    if (events_.skipped) {
        events_.skipped(oldest);
    }
    updateOldestOffset(oldest);
    return true;
}

void LogFollower::updateOldestOffset(std::int64_t oldest)
{
    if (oldest <= oldestOffset_) {
        return;
    }
    oldestOffset_ = oldest;
    if (events_.oldestOffsetChanged) {
        events_.oldestOffsetChanged(oldest);
    }
}

void LogFollower::retry()
{
    loop_.callAfter(nextDelay(backoff_, random_), [this] {
        read();
    });
}

} // namespace knapweed
