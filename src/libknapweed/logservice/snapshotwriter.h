// Writes this process's snapshots. The text is made on a thread of its own from a copy of the fold, so that the owner's loop does not wait for it.
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
    /// @p process tells the snapshots of this process from those of others. @p client must outlive the writer.
    SnapshotWriter(LogClient &client, std::int64_t process, SnapshotPolicy policy = {});
    ~SnapshotWriter(); ///< waits for a snapshot under way
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    SnapshotSchedule &schedule();

    /// Begins a snapshot when one is due. @p fillConfiguration sets the configuration and the offset through which it has been folded. Contract: the
    /// folds are complete and the log has been read to its end once.
    void tick(MonotonicTime now, const JobFold &jobs, const std::function<void(SnapshotRecord &)> &fillConfiguration);

private:
    LogClient &client_;
    std::string process_;
    SnapshotSchedule schedule_;
    std::future<void> writing_; ///< the snapshot under way; invalid when there has been none
};

} // namespace knapweed
