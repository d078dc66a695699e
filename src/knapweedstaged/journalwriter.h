// Writes the records of one term to the store, in order and with one append in progress at a time. Records that arrive meanwhile are batched into the next
// append. An append whose outcome is unknown is repeated under the same sequence number, which the store executes only once.
#pragma once

#include "base/eventloop.h"
#include "cell/writequeue.h"
#include "storeclient.h"

#include <functional>
#include <memory>

namespace knapweed
{

/// Topic of the jobs' records. The leader reads it at the start of its term and is then its only writer.
constexpr const char *jobTopic = "keyed.jobs";

struct JournalEvents
{
    std::function<void(std::uint64_t write)> stored; ///< all writes up to and including this number are durable
    std::function<void(bool isReachable)> reachable;
    std::function<void()> fenced; ///< a later term has started, so that all further appends would be refused
};

class JournalWriter
{
public:
    JournalWriter(EventLoop &loop, platform::StoreClient &store, std::int64_t generation, JournalEvents events);

    /// Fences all earlier generations. @p opened runs once the store has confirmed it.
    void open(std::function<void()> opened);

    /// Queues records to be written. @p lastWrite is the number of the last one.
    void write(std::vector<cell::StoreWrite> records, std::uint64_t lastWrite);

    /// Runs @p confirmed once the store has confirmed, by an append sent after this call, that no later term has fenced the journal.
    void confirm(std::function<void()> confirmed);

    /// Removes the record of @p key from the queue. Returns false when it may have been written. To be called only from the event reachable(false).
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
    std::function<void()> opened_; ///< set until the store has raised the producer's epoch
    std::vector<std::function<void()>> awaitedConfirmations_; ///< wait for the next append to be sent
    std::vector<std::function<void()>> sentConfirmations_; ///< wait for the append in progress
    cell::WriteQueue queue_;
    bool isSending_ = false;
    bool isConfirmationOnly_ = false; ///< the append in progress has no records and no number of its own
    bool isFenced_ = false;
    bool isReachable_ = true;
    int failures_ = 0; ///< consecutive failed appends
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< shared with pending callbacks; false once this object is destroyed
public:
    ~JournalWriter();
    JournalWriter(const JournalWriter &) = delete;
    JournalWriter &operator=(const JournalWriter &) = delete;
};

} // namespace knapweed
