// Reads the log from its oldest record on, in order and each offset once, and waits at the service for new records.
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
    /// @p events and @p options must outlive the follower. @p reachability hears whether the last request was answered.
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
    std::int64_t nextOffset_ = 0; ///< offset of the next record to deliver; invariant: never falls
    std::int64_t oldestOffset_ = 0; ///< of the log; invariant: never falls
    bool isCaughtUp_ = false; ///< caughtUp() has been called for what was read so far
};

} // namespace knapweed
