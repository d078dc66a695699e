// Records stored in the platform's log service. Their order in the log determines which are valid, so every process folds them to the same state.
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

/// Durable acceptance of a job. The first submit record for a job id is valid; job ids are derived from account and idempotency key.
struct SubmitRecord
{
    std::string job;
    std::string key; ///< idempotency key, empty when the caller gave none
    std::string owner; ///< address of the entry that runs the job's attempts
    std::int64_t ownerNonce = 0; ///< random number of the owner process; differs after a restart
    wire::JobSpec spec;
    std::string requestDigest; ///< distinguishes a retry from a different request with the same key
    bool isRecoverable = false; ///< the caller received 202, so an entry that takes over the job must run it
    WallTime acceptedAt;
};

/// Takeover of a job by another entry. Valid if previousNonce is the job's owner nonce at this offset of the log (compare-and-set).
struct ClaimRecord
{
    std::string job;
    std::int64_t previousNonce = 0;
    std::string owner;
    std::int64_t ownerNonce = 0;
};

/// Appended by a lead before it sends go for a job that is not repeatable. Valid if the attempt belongs to the job's owner at this offset of the log, so
/// that a claim invalidates the attempts of the previous owner. Only the first valid start of a job counts.
struct StartRecord
{
    wire::AttemptId attempt;
    std::string lead;
    std::int64_t leadNonce = 0; ///< random per append, so that a lead can identify its own record
};

/// Prohibits the start of an attempt. Valid if no valid start of the same attempt precedes it in the log.
struct AbandonRecord
{
    wire::AttemptId attempt;
    std::string by;
};

/// Final outcome of a job with a submit record. Valid if ownerNonce is the owner's nonce at this offset of the log. Only the first valid outcome counts.
struct OutcomeRecord
{
    std::string job;
    std::int64_t ownerNonce = 0;
    wire::Outcome::type outcome = wire::Outcome::Unknown;
    wire::Reason::type reason = wire::Reason::None;
    std::string detail;
    std::vector<wire::PartResult> parts;
};

/// A change of configuration. Valid if baseVersion is the current version at this offset of the log; the new version is then baseVersion + 1.
struct ConfigurationRecord
{
    std::int64_t baseVersion = 0;
    std::string changeId; ///< random per change, so that its author can identify it
    std::string author;
    std::string document; ///< the whole configuration as JSON
};

/// Contains the configuration and the jobs, so that processes can restore them after older records have expired. A large snapshot is split into several
/// records with the same snapshotId and throughOffset, each of which contains the configuration and some of the jobs.
struct SnapshotRecord
{
    std::string snapshotId; ///< unique per snapshot, to distinguish the records of different snapshots
    std::int32_t part = 0;
    std::int32_t parts = 1; ///< number of records of the snapshot; invariant: 0 <= part < parts
    std::int64_t configurationVersion = 0;
    std::string configurationAuthor;
    std::string configurationDocument;
    std::string jobs; ///< JSON of JobFold::snapshot(), or one of JobFold::snapshotParts()
    std::int64_t throughOffset = 0; ///< the snapshot covers all records before this offset
};

using Record = std::variant<SubmitRecord, ClaimRecord, StartRecord, AbandonRecord, OutcomeRecord, ConfigurationRecord, SnapshotRecord>;

struct RecordError
{
    std::string detail;
};

/// Text of a JSON object with a "type" member.
std::string encodeRecord(const Record &record);

/// Never throws.
Result<Record, RecordError> decodeRecord(const std::string &text);

} // namespace knapweed
