// The client of the platform's log service: batches appends, retries them through outages, and follows the log from its oldest record.
// An append may take effect more than once (its acknowledgement can be lost); the folds tolerate that. Runs on its own task and event loop.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "logservice/records.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweed
{

struct LogClientOptions
{
    Address service;
    std::string stream = "knapweedstage";
    Milliseconds requestTimeout {2000};
    Milliseconds followWait {1000}; ///< how long one read waits at the service for new records
    Milliseconds batchDelay {2}; ///< appends wait this long for others to share a batch
    Milliseconds retryDelay {50}; ///< first delay after a failure; doubles with jitter up to retryLimit
    Milliseconds maxRetryDelay {1000};
    std::size_t batchLimit = 256; ///< records in one append
    std::size_t batchBytes = std::size_t(512) << 10; ///< of records in one append; one larger record goes alone
    std::size_t queueLimit = 20000; ///< appends that may wait; more are refused
};

/// All callbacks run on the log task's thread; give functions that post to the receiver's own loop. The last two may be empty.
struct LogClientEvents
{
    std::function<void(std::int64_t offset, const Record &record)> record;
    std::function<void()> caughtUp; ///< the follower has read to the end: the first time, and again after records that it could not read or had expired
    std::function<void(bool isReachable)> reachability; ///< the first result, and each change; a service that refuses by its rate limit is reachable
    std::function<void(std::int64_t offset)> skipped = {}; ///< records before this offset have expired unread; the next one read is at it or after it
    std::function<void(std::int64_t offset)> oldestOffsetChanged = {}; ///< the log's oldest record has moved to this offset
};

class LogClient
{
public:
    LogClient(LogClientOptions options, LogClientEvents events);
    ~LogClient(); ///< stops the task and waits for it
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    /// Queues a record. Returns false when the queue is full: the record is not appended. From any thread.
    bool append(const Record &record);

    /// Records queued or under way. From any thread.
    std::size_t pendingAppends() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace knapweed
