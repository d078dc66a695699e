// The records that the system keeps on the platform's log service. The order of the log decides: every process folds the same records the same way.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "peers/gen/peers_types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweed
{

/// Durable acceptance of a job. The first for its job id wins; job ids are derived from account and idempotency key.
struct SubmitRecord
{
    std::string job;
    std::string key; ///< idempotency key, empty when the caller gave none
    std::string owner; ///< address of the entry that runs the job's attempts
    std::int64_t ownerNonce = 0; ///< the owner process's random number, different after a restart
    wire::JobSpec spec;
    std::string requestDigest; ///< tells a retry from another request under the same key
    bool isRecoverable = false; ///< the caller is told 202, so an entry that takes the job over must run it
    WallTime acceptedAt;
};

/// Another entry takes over a job. Valid when previousNonce is the job's owner nonce at that place of the log: a compare-and-set.
struct ClaimRecord
{
    std::string job;
    std::int64_t previousNonce = 0;
    std::string owner;
    std::int64_t ownerNonce = 0;
};

/// A lead is about to send go for a job that is not repeatable. Valid when the attempt is of the job's owner at that place of the log, so that a claim
/// invalidates the earlier owner's attempts. Only the first valid one for a job counts.
struct StartRecord
{
    wire::AttemptId attempt;
    std::string lead;
    std::int64_t leadNonce = 0; ///< random for each append, so that a lead recognises its own record
};

/// The attempt must never start. Valid when no valid start of the same attempt stands before it.
struct AbandonRecord
{
    wire::AttemptId attempt;
    std::string by;
};

/// The final outcome of a job with a submit record. Valid when ownerNonce is that of the job's owner at that place of the log. The first valid one wins.
struct OutcomeRecord
{
    std::string job;
    std::int64_t ownerNonce = 0;
    wire::Outcome::type outcome = wire::Outcome::Unknown;
    wire::Reason::type reason = wire::Reason::None;
    std::string detail;
    std::vector<wire::PartResult> parts;
};

/// A change of configuration. Valid when baseVersion is the version in force at that place of the log; then its version is baseVersion + 1.
struct ConfigurationRecord
{
    std::int64_t baseVersion = 0;
    std::string changeId; ///< random for each change, so that its author recognises it
    std::string author;
    std::string document; ///< the whole configuration, JSON
};

/// Restates a configuration and the jobs, so that processes find them after older records have expired. A large snapshot is split into several
/// records with the same snapshotId and throughOffset; each of them holds the configuration and some of the jobs.
struct SnapshotRecord
{
    std::string snapshotId; ///< random for each snapshot, so that records of two snapshots are told apart
    std::int32_t part = 0;
    std::int32_t parts = 1; ///< records in the whole snapshot; invariant: 0 <= part < parts
    std::int64_t configurationVersion = 0;
    std::string configurationAuthor;
    std::string configurationDocument;
    std::string jobs; ///< JSON of JobFold::snapshot(), or one of JobFold::snapshotParts()
    std::int64_t throughOffset = 0; ///< the snapshot holds all records before this offset
};

using Record = std::variant<SubmitRecord, ClaimRecord, StartRecord, AbandonRecord, OutcomeRecord, ConfigurationRecord, SnapshotRecord>;

struct RecordError
{
    std::string detail;
};

/// JSON object text with a "type" member.
std::string encodeRecord(const Record &record);

/// Never throws.
Result<Record, RecordError> decodeRecord(const std::string &text);

} // namespace knapweed
