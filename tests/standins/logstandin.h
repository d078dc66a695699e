// Test stand-in for the platform's log service: in-memory streams of records with offsets, limited retention and a limited append rate.
#pragma once

#include "standins/standin.h"

#include <cstdint>
#include <list>
#include <map>

namespace knapweed::standins
{

struct LogStandinOptions
{
    std::int64_t retentionRecords = 1000000; ///< maximum number of records in a stream; the oldest records expire first
    int appendsPerSecond = 500; ///< appends above this rate are answered with status 429
};

class LogStandin
{
public:
    LogStandin(EventLoop &loop, LogStandinOptions options);

    void handle(const HttpRequest &request, const HttpResponder &respond);
    FaultGate &faults();

private:
    struct Stream
    {
        std::int64_t oldest = 0;
        std::deque<std::string> records;

        std::int64_t next() const;
    };

    /// A pending read that waits for new records.
    struct Waiter
    {
        std::string stream;
        std::int64_t from = 0;
        std::int64_t limit = 0;
        HttpResponder respond;
        TimerId timer = 0;
    };

    void serve(const HttpRequest &request, const HttpResponder &respond);
    void append(const std::string &name, const HttpRequest &request, const HttpResponder &respond);
    void read(const std::string &name, const HttpRequest &request, const HttpResponder &respond);
    HttpResponse readNow(const Stream &stream, std::int64_t from, std::int64_t limit) const;
    void store(Stream &stream, const nlohmann::json &records);
    void expire(Stream &stream) const;
    void answerWaiters(const std::string &name);
    bool consumeAppendToken();
    bool setFault(const std::string &name, const nlohmann::json &value);

    EventLoop &loop_;
    LogStandinOptions options_;
    FaultGate faults_;
    std::map<std::string, Stream> streams_;
    std::list<Waiter> waiters_;
    int appendsToRepeat_ = 0;
    double appendTokens_; ///< invariant: between 0 and the burst size
    MonotonicTime tokensUpdatedAt_;
};

} // namespace knapweed::standins
