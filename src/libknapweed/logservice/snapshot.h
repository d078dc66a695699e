// Snapshots of the state in the log, written before the records that establish it expire. Any process may write a snapshot; the others then skip theirs.
#pragma once

#include "base/clock.h"
#include "logservice/jobfold.h"
#include "logservice/records.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweed
{

constexpr std::size_t snapshotPartBytes = std::size_t(128) << 10; ///< size of the jobs in one record of a snapshot

/// Builds the records of a snapshot. @p configuration contains the configuration and the offset up to which both folds have read; this function sets the
/// other members. Precondition: the job fold is complete and has read up to the same offset.
std::vector<SnapshotRecord> makeSnapshot(
    const SnapshotRecord &configuration, const JobFold &jobs, const std::string &snapshotId, std::size_t partBytes = snapshotPartBytes);

struct SnapshotPolicy
{
    std::int64_t records = 100000; ///< a snapshot is due after this many records, which limits how many a new process must read
    Milliseconds interval {600000}; ///< a snapshot is also due after this time, because records expire even when few are written
    Milliseconds jitter {2000}; ///< maximum random delay before writing, so that usually only one process writes
    Milliseconds completionTimeout {30000}; ///< another snapshot may be written if one that was begun is not complete after this
};

/// Decides when this process writes a snapshot. Uses no clock; the caller applies every record of the log and polls beginIfDue().
class SnapshotSchedule
{
public:
    SnapshotSchedule(SnapshotPolicy policy, std::uint32_t seed);

    void apply(MonotonicTime now, std::int64_t offset, const Record &record);

    /// Sets the offset of the oldest record that remains in the log.
    void setOldestOffset(std::int64_t offset);

    /// Returns true if this process must write a snapshot now. Returns false afterwards until the completion time-out has passed or another snapshot is due.
    bool beginIfDue(MonotonicTime now);

private:
    void applySnapshot(MonotonicTime now, const SnapshotRecord &record);
    bool isSnapshotNeeded(MonotonicTime now) const;
    bool isNearExpiry() const;
    Milliseconds jitter();

    SnapshotPolicy policy_;
    std::minstd_rand random_;
    std::int64_t oldestOffset_ = 0;
    std::int64_t nextOffset_ = 0;
    std::int64_t throughOffset_ = 0; ///< throughOffset of the newest whole snapshot; invariant: never decreases
    std::optional<MonotonicTime> lastSnapshotAt_; ///< when the newest whole snapshot was read; initially when the first record was read
    std::string partialId_;
    std::set<std::int32_t> partialParts_; ///< parts of the snapshot partialId_ that have been read
    std::optional<MonotonicTime> dueAt_; ///< when this process writes a snapshot unless another process has done so; empty when none is due
};

} // namespace knapweed
