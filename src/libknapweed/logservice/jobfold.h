// State of each job according to the log. A pure fold: every process that applies the records in log order reaches the same state.
#pragma once

#include "logservice/records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweed
{

struct FoldedJob
{
    SubmitRecord submit; ///< owner and ownerNonce are updated by each valid claim
    std::optional<StartRecord> start; ///< the first valid start; invariant: never replaced
    std::set<std::pair<std::int64_t, std::int32_t>> abandoned; ///< (owner, number) of abandoned attempts; invariant: never contains the valid start's attempt
    std::optional<OutcomeRecord> outcome; ///< the first valid outcome; invariant: never replaced
    std::int64_t outcomeOffset = 0; ///< offset of the outcome record; meaningless without an outcome
};

/// A fold that has read the log from its first record without a gap is complete. A gap occurs when the log's oldest records have expired or the reader
/// was too slow. After a gap the effect of a record is uncertain, because an earlier record for the same job may be missing. The fold then buffers the
/// records it reads until it has read all parts of a snapshot, restores the state of the snapshot and applies the newer records again.
class JobFold
{
public:
    /// Ignores configuration records. Snapshots add the jobs that this fold lacks because of a gap.
    /// Ignores a record before nextOffset(), because it has already been applied. A record after nextOffset() indicates a gap.
    void apply(std::int64_t offset, const Record &record);

    /// False from a gap until a whole snapshot or the end of the log has been read. An incomplete fold must not be used to decide whether a start is valid.
    bool isComplete() const;

    /// Marks the fold as complete after the end of the log has been read: no further state can be recovered.
    void setCaughtUp();

    /// The offset after the last applied record. A snapshot taken now covers all records before it.
    std::int64_t nextOffset() const;

    const FoldedJob *job(const std::string &id) const;
    const std::map<std::string, FoldedJob> &jobs() const;

    /// True if @p start is the valid start of its job, with the same attempt, lead and nonce. A start after an outcome is never valid.
    bool isValidStart(const StartRecord &start) const;
    bool isAbandoned(const wire::AttemptId &attempt) const;

    /// Evicts the finished jobs with the oldest outcomes until @p keepNewest finished jobs remain. The outcomes are ordered by log offset, so processes that
    /// call this after every record with the same limit evict the same jobs.
    void evictFinished(std::size_t keepNewest);

    /// JSON text of the state, without the inputs of finished jobs. Applying a snapshot never overwrites the state of a complete fold.
    std::string snapshot() const;

    /// The snapshot divided into at least one text of at most about @p partBytes bytes each. A text with a single larger job exceeds the limit.
    std::vector<std::string> snapshotParts(std::size_t partBytes) const;

private:
    using OffsetRecord = std::pair<std::int64_t, Record>;

    void applyJobRecord(std::int64_t offset, const Record &record);
    void applySubmit(const SubmitRecord &record);
    void applyClaim(const ClaimRecord &record);
    void applyStart(const StartRecord &record);
    void applyAbandon(const AbandonRecord &record);
    void applyOutcome(std::int64_t offset, const OutcomeRecord &record);
    void applySnapshot(const SnapshotRecord &record);
    void restore(const std::map<std::string, FoldedJob> &jobs, std::int64_t throughOffset);
    void addMissingJobs(const std::map<std::string, FoldedJob> &jobs);
    void checkInvariants(const FoldedJob &job) const;

    bool isComplete_ = true;
    std::int64_t nextOffset_ = 0; ///< invariant: never decreases
    std::vector<OffsetRecord> recordsSinceGap_; ///< job records read since the gap; invariant: empty when complete
    std::map<std::string, std::map<std::int32_t, std::map<std::string, FoldedJob>>> partialSnapshots_; ///< by id and part; invariant: empty when complete
    std::map<std::string, FoldedJob> jobs_;
    std::map<std::int64_t, std::string> finished_; ///< job ids by offset of the outcome record; invariant: contains exactly the jobs with an outcome
};

} // namespace knapweed
