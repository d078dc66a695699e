// Client of the platform's log service: batches appends, retries them during outages, and follows the log from its oldest record.
// An append may take effect more than once because its acknowledgement can be lost; the folds tolerate duplicates. Runs an event loop on its own thread.
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
    Milliseconds followWait {1000}; ///< how long the service holds a read request open while there are no new records
    Milliseconds batchDelay {2}; ///< delay before an append is sent, so that further appends can join its batch
    Milliseconds retryDelay {50}; ///< first delay after a failure; doubles with jitter up to maxRetryDelay
    Milliseconds maxRetryDelay {1000};
    std::size_t batchLimit = 256; ///< records per append request
    std::size_t batchBytes = std::size_t(512) << 10; ///< total size of the records in an append request; a larger record is sent alone
    std::size_t queueLimit = 20000; ///< maximum number of unacknowledged records; further appends are rejected
};

/// All callbacks run on the client's thread, so they should post to the receiver's own event loop. The last two may be empty.
struct LogClientEvents
{
    std::function<void(std::int64_t offset, const Record &record)> record;
    std::function<void()> caughtUp; ///< the end of the log has been read: for the first time, or again after records that were unreadable or had expired
    std::function<void(bool isReachable)> reachability; ///< first result and each change; a service that rejects requests by its rate limit is reachable
    std::function<void(std::int64_t offset)> skipped = {}; ///< records before this offset expired unread; the next record has this offset or a later one
    std::function<void(std::int64_t offset)> oldestOffsetChanged = {}; ///< offset of the log's oldest record after it has increased
};

class LogClient
{
public:
    LogClient(LogClientOptions options, LogClientEvents events);
    ~LogClient(); ///< stops the client's thread and waits for it
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    /// Queues a record. Returns false if the queue is full and the record will not be appended. Thread-safe.
    bool append(const Record &record);

    /// Number of records that have not been acknowledged. Thread-safe.
    std::size_t pendingAppends() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace knapweed
