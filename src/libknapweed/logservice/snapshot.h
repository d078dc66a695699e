// Snapshots of what the log says, written before the records that said it expire. Any process may write one; the first wins.
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

constexpr std::size_t snapshotPartBytes = std::size_t(128) << 10; ///< of jobs in one record of a snapshot

/// The records of a snapshot. @p configuration holds the configuration and the offset through which both folds have read; its other members are set
/// here. Contract: the fold is complete and has read through the same offset.
std::vector<SnapshotRecord> makeSnapshot(
    const SnapshotRecord &configuration, const JobFold &jobs, const std::string &snapshotId, std::size_t partBytes = snapshotPartBytes);

struct SnapshotPolicy
{
    std::int64_t records = 100000; ///< a snapshot is wanted after this many records: it bounds what a fresh process reads
    Milliseconds interval {600000}; ///< and after this time, because records expire also when few are written
    Milliseconds jitter {2000}; ///< a process waits up to this long for another one's snapshot before it writes
    Milliseconds completionTimeout {30000}; ///< for a snapshot that has begun, before another one is written
};

/// Says when this process writes a snapshot. Pure; the caller applies every record of the log and asks.
class SnapshotSchedule
{
public:
    SnapshotSchedule(SnapshotPolicy policy, std::uint32_t seed);

    void apply(MonotonicTime now, std::int64_t offset, const Record &record);

    /// The offset of the oldest record that the log still has.
    void setOldestOffset(std::int64_t offset);

    /// True when this process should write a snapshot now. It does not say so again until the patience has passed or another one is wanted.
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
    std::int64_t throughOffset_ = 0; ///< of the newest whole snapshot; invariant: never falls
    std::optional<MonotonicTime> lastSnapshotAt_; ///< when the newest whole snapshot was read; at first when the first record was
    std::string partialId_;
    std::set<std::int32_t> partialParts_; ///< parts read of the snapshot partialId_
    std::optional<MonotonicTime> dueAt_; ///< when this process writes, unless another one has; empty when no snapshot is wanted
};

} // namespace knapweed
