// What the log says of each job. Pure: apply() the records in log order; every process comes to the same state.
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
    SubmitRecord submit; ///< owner and ownerNonce are those after the last valid claim
    std::optional<StartRecord> start; ///< the first valid start; invariant: never replaced
    std::set<std::pair<std::int64_t, std::int32_t>> abandoned; ///< (owner, number) of abandoned attempts; invariant: never holds the valid start's attempt
    std::optional<OutcomeRecord> outcome; ///< the first; invariant: never replaced
    std::int64_t outcomeOffset = 0; ///< where the outcome stands in the log; meaningless without one
};

/// A fold that has read the log without a gap from its first record is complete. After a gap (the log's oldest records have expired, or the reader was
/// too slow) a record may mean something else than it seems, because an earlier one for the same job may be missing. The fold then keeps the records
/// that it reads until a whole snapshot arrives, takes the snapshot's state, and applies again the records that are newer than the snapshot.
class JobFold
{
public:
    /// Records that are not about jobs are ignored, but for snapshots, which fill in what a fold with a gap has missed.
    /// A record before nextOffset() has been applied already and is ignored. One after it shows a gap.
    void apply(std::int64_t offset, const Record &record);

    /// False from a gap until a whole snapshot or the end of the log has been read. An incomplete fold must not decide whether a start is valid.
    bool isComplete() const;

    /// The end of the log has been read: what the fold holds now is all that can be known.
    void setCaughtUp();

    /// The offset after the last record applied; a snapshot taken now holds all records before it.
    std::int64_t nextOffset() const;

    const FoldedJob *job(const std::string &id) const;
    const std::map<std::string, FoldedJob> &jobs() const;

    /// True when @p start is the job's valid start: the same attempt, lead and nonce. A start after an outcome is never valid.
    bool isValidStart(const StartRecord &start) const;
    bool isAbandoned(const wire::AttemptId &attempt) const;

    /// Forgets the jobs whose outcomes are the oldest, so that @p keepNewest finished jobs are left. The order is the log's, so that processes that call
    /// it after every record with the same number forget the same jobs.
    void evictFinished(std::size_t keepNewest);

    /// JSON text of the state, without the inputs of finished jobs. A snapshot never overwrites what a complete fold knows.
    std::string snapshot() const;

    /// The same in several texts of about @p partBytes or, for one larger job, more. At least one.
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
    std::int64_t nextOffset_ = 0; ///< invariant: never falls
    std::vector<OffsetRecord> recordsSinceGap_; ///< job records read since the gap; invariant: empty when complete
    std::map<std::string, std::map<std::int32_t, std::map<std::string, FoldedJob>>> partialSnapshots_; ///< by id and part; invariant: empty when complete
    std::map<std::string, FoldedJob> jobs_;
    std::map<std::int64_t, std::string> finished_; ///< offset of the outcome record -> job; invariant: exactly the jobs with an outcome
};

} // namespace knapweed
