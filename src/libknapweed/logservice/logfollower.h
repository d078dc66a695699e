// Reads the log in order from its oldest record, each offset once, and waits for new records by long polling.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "logservice/logclient.h"
#include "peers/backoff.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <random>

namespace knapweed
{

class LogFollower
{
public:
    /// @p events and @p options must outlive the follower. @p reachability is called after each request and receives
    /// whether the response was usable.
    LogFollower(EventLoop &loop, HttpClient &client, const LogClientOptions &options, const LogClientEvents &events, std::function<void(bool)> reachability);

    void start();

private:
    void read();
    void receive(const HttpResult &result);
    bool receiveRecords(const std::string &body);
    void deliver(std::int64_t offset, const std::string &text);
    bool skipExpired(const std::string &body);
    void updateOldestOffset(std::int64_t oldest);
    void retry();

    EventLoop &loop_;
    HttpClient &client_;
    const LogClientOptions &options_;
    const LogClientEvents &events_;
    std::function<void(bool)> reachability_;
    Backoff backoff_;
    std::mt19937 random_;
    std::int64_t nextOffset_ = 0; ///< offset of the next record to deliver; invariant: never decreases
    std::int64_t oldestOffset_ = 0; ///< offset of the oldest record in the log; invariant: never decreases
    bool isCaughtUp_ = false; ///< caughtUp() has been called and no record was unreadable or skipped since
};

} // namespace knapweed
