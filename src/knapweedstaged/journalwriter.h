// Writes a tenure's records to the store, in order, one append at a time: what comes while one is under way goes with the next. An append whose fate is
// unknown is repeated under its own number, which the store executes once.
#pragma once

#include "base/eventloop.h"
#include "cell/writequeue.h"
#include "storeclient.h"

#include <functional>
#include <memory>

namespace knapweed
{

/// The topic of the jobs' records, which a tenure reads at its start and then writes alone.
constexpr const char *jobTopic = "keyed.jobs";

struct JournalEvents
{
    std::function<void(std::uint64_t write)> stored; ///< all writes up to this number are durable
    std::function<void(bool isReachable)> reachable;
    std::function<void()> fenced; ///< a later tenure has begun: nothing can be written any more
};

class JournalWriter
{
public:
    JournalWriter(EventLoop &loop, platform::StoreClient &store, std::int64_t generation, JournalEvents events);

    /// Shuts out all earlier generations; @p opened runs once that is done.
    void open(std::function<void()> opened);

    /// Takes records whose last has the number @p lastWrite.
    void write(std::vector<cell::StoreWrite> records, std::uint64_t lastWrite);

    /// Takes the record of @p key back. False when it may have been written. To be called only from the event reachable(false).
    bool retract(const std::string &key);

private:
    void sendNext();
    void send();
    void retry(Milliseconds delay);
    void handle(const Result<platform::Appended, platform::StoreError> &result);
    void setReachable(bool isReachable);

    EventLoop &loop_;
    platform::StoreClient &store_;
    JournalEvents events_;
    platform::Producer producer_;
    std::function<void()> opened_; ///< set until the epoch is raised
    cell::WriteQueue queue_;
    bool isSending_ = false;
    bool isFenced_ = false;
    bool isReachable_ = true;
    int failures_ = 0; ///< in a row
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< false once this object is gone
public:
    ~JournalWriter();
    JournalWriter(const JournalWriter &) = delete;
    JournalWriter &operator=(const JournalWriter &) = delete;
};

} // namespace knapweed
