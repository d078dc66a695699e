// Conversion of records to and from JSON, used for single records and for snapshots. The readers throw nlohmann::json::exception on malformed input,
// which their callers convert to their own errors.
#pragma once

#include "logservice/records.h"

#include <nlohmann/json.hpp>

namespace knapweed::recordjson
{

nlohmann::json toJson(const wire::AttemptId &attempt);
nlohmann::json toJson(const SubmitRecord &record);
nlohmann::json toJson(const ClaimRecord &record);
nlohmann::json toJson(const StartRecord &record);
nlohmann::json toJson(const AbandonRecord &record);
nlohmann::json toJson(const OutcomeRecord &record);
nlohmann::json toJson(const ConfigurationRecord &record);
nlohmann::json toJson(const SnapshotRecord &record);

wire::AttemptId readAttempt(const nlohmann::json &json);
SubmitRecord readSubmit(const nlohmann::json &json);
ClaimRecord readClaim(const nlohmann::json &json);
StartRecord readStart(const nlohmann::json &json);
AbandonRecord readAbandon(const nlohmann::json &json);
OutcomeRecord readOutcome(const nlohmann::json &json);
ConfigurationRecord readConfiguration(const nlohmann::json &json);
SnapshotRecord readSnapshot(const nlohmann::json &json);

/// JSON text. Invalid UTF-8 is replaced, so that this never throws.
std::string dump(const nlohmann::json &json);

} // namespace knapweed::recordjson
