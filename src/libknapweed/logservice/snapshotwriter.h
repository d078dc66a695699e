// Writes the snapshots of this process. The text is generated on a separate thread from a copy of the fold, so that the owner's event loop is not blocked.
#pragma once

#include "logservice/logclient.h"
#include "logservice/snapshot.h"

#include <functional>
#include <future>
#include <string>

namespace knapweed
{

class SnapshotWriter
{
public:
    /// @p process distinguishes the snapshots of this process from those of other processes. @p client must outlive the writer.
    SnapshotWriter(LogClient &client, std::int64_t process, SnapshotPolicy policy = {});
    ~SnapshotWriter(); ///< waits for a pending snapshot
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    SnapshotSchedule &schedule();

    /// Begins a snapshot if one is due. @p fillConfiguration sets the configuration and the offset up to which it has been folded. Precondition: the folds
    /// are complete and the log has been read to its end at least once.
    void tick(MonotonicTime now, const JobFold &jobs, const std::function<void(SnapshotRecord &)> &fillConfiguration);

private:
    LogClient &client_;
    std::string process_;
    SnapshotSchedule schedule_;
    std::future<void> writing_; ///< the last snapshot begun; invalid if there has been none
};

} // namespace knapweed
