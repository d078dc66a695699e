// What the log says of each job. Pure: apply() the records in log order; every process comes to the same state.
#pragma once

#include "logservice/records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace knapweed
{

struct FoldedJob
{
    SubmitRecord submit; ///< owner and ownerNonce are those after the last valid claim
    std::optional<StartRecord> start; ///< the first valid start; invariant: never replaced
    std::set<std::pair<std::int64_t, std::int32_t>> abandoned; ///< (owner, number) of abandoned attempts; invariant: never holds the valid start's attempt
    std::optional<OutcomeRecord> outcome; ///< the first; invariant: never replaced
};

class JobFold
{
public:
    /// Records that are not about jobs are ignored, but for snapshots, which fill in jobs not yet known.
    void apply(std::int64_t offset, const Record &record);

    const FoldedJob *job(const std::string &id) const;
    const std::map<std::string, FoldedJob> &jobs() const;

    /// True when @p start is the job's valid start: the same attempt, lead and nonce.
    bool isValidStart(const StartRecord &start) const;
    bool isAbandoned(const wire::AttemptId &attempt) const;

    /// Forgets jobs with an outcome older than @p retention, by the offsets' own count of records; see the cpp.
    void forgetFinished(std::size_t keepNewest);

    /// JSON text of the state, and back; a snapshot never overwrites what is known.
    std::string snapshot() const;

private:
    std::map<std::string, FoldedJob> jobs_;
    std::map<std::int64_t, std::string> finished_; ///< offset of the outcome record -> job; invariant: exactly the jobs with an outcome
};

} // namespace knapweed
