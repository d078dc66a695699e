// A writer and a reader for each record type. Enumerators are written as their numbers in peers.thrift, which never change their meaning.

#include "logservice/recordjson.h"

#include <map>

namespace knapweed::recordjson
{

namespace
{

using nlohmann::json;

template<typename Enum>
Enum readEnum(const json &value, const std::map<int, const char *> &names)
{
    const int number = value.get<int>();
    if (names.count(number) == 0) {
        throw json::other_error::create(599, "unknown enumeration value " + std::to_string(number), &value);
    }
    return static_cast<Enum>(number);
}

json specToJson(const wire::JobSpec &spec)
{
    return {{"account", spec.account},
        {"kind", spec.kind},
        {"tasks", spec.tasks},
        {"accelerators_per_task", spec.acceleratorsPerTask},
        {"processors_per_task", spec.processorsPerTask},
        {"memory_mib_per_task", spec.memoryMibPerTask},
        {"adjacency", static_cast<int>(spec.adjacency)},
        {"repeatable", spec.repeatable},
        {"checkpointable", spec.checkpointable},
        {"declared_run_ms", spec.declaredRunMs},
        {"urgent", spec.urgent},
        {"input", spec.input}};
}

wire::JobSpec readSpec(const json &value)
{
    wire::JobSpec spec;
    value.at("account").get_to(spec.account);
    value.at("kind").get_to(spec.kind);
    value.at("tasks").get_to(spec.tasks);
    value.at("accelerators_per_task").get_to(spec.acceleratorsPerTask);
    value.at("processors_per_task").get_to(spec.processorsPerTask);
    value.at("memory_mib_per_task").get_to(spec.memoryMibPerTask);
    spec.adjacency = readEnum<wire::Adjacency::type>(value.at("adjacency"), wire::_Adjacency_VALUES_TO_NAMES);
    value.at("repeatable").get_to(spec.repeatable);
    value.at("checkpointable").get_to(spec.checkpointable);
    value.at("declared_run_ms").get_to(spec.declaredRunMs);
    value.at("urgent").get_to(spec.urgent);
    value.at("input").get_to(spec.input);
    return spec;
}

json partToJson(const wire::PartResult &part)
{
    return {{"worker", part.worker}, {"output", part.output}, {"length", part.length}, {"digest", part.digest}};
}

wire::PartResult readPart(const json &value)
{
    wire::PartResult part;
    value.at("worker").get_to(part.worker);
    value.at("output").get_to(part.output);
    value.at("length").get_to(part.length);
    value.at("digest").get_to(part.digest);
    return part;
}

std::int64_t toEpoch(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

} // namespace

json toJson(const wire::AttemptId &attempt)
{
    return {{"job", attempt.job}, {"owner", attempt.owner}, {"number", attempt.number}};
}

json toJson(const SubmitRecord &record)
{
    return {{"type", "submit"},
        {"job", record.job},
        {"key", record.key},
        {"owner", record.owner},
        {"owner_nonce", record.ownerNonce},
        {"spec", specToJson(record.spec)},
        {"request_digest", record.requestDigest},
        {"recoverable", record.isRecoverable},
        {"accepted_at_ms", toEpoch(record.acceptedAt)}};
}

json toJson(const ClaimRecord &record)
{
    return {{"type", "claim"}, {"job", record.job}, {"previous_nonce", record.previousNonce}, {"owner", record.owner}, {"owner_nonce", record.ownerNonce}};
}

json toJson(const StartRecord &record)
{
    return {{"type", "start"}, {"attempt", toJson(record.attempt)}, {"lead", record.lead}, {"lead_nonce", record.leadNonce}};
}

json toJson(const AbandonRecord &record)
{
    return {{"type", "abandon"}, {"attempt", toJson(record.attempt)}, {"by", record.by}};
}

json toJson(const OutcomeRecord &record)
{
    json parts = json::array();
    for (const wire::PartResult &part : record.parts) {
        parts.push_back(partToJson(part));
    }
    return {{"type", "outcome"},
        {"job", record.job},
        {"owner_nonce", record.ownerNonce},
        {"outcome", static_cast<int>(record.outcome)},
        {"reason", static_cast<int>(record.reason)},
        {"detail", record.detail},
        {"parts", std::move(parts)}};
}

json toJson(const ConfigurationRecord &record)
{
    return {
        {"type", "configuration"}, {"base_version", record.baseVersion}, {"change", record.changeId}, {"author", record.author}, {"document", record.document}};
}

json toJson(const SnapshotRecord &record)
{
    return {{"type", "snapshot"},
        {"snapshot", record.snapshotId},
        {"part", record.part},
        {"parts", record.parts},
        {"configuration_version", record.configurationVersion},
        {"configuration_author", record.configurationAuthor},
        {"configuration_document", record.configurationDocument},
        {"jobs", record.jobs},
        {"through_offset", record.throughOffset}};
}

wire::AttemptId readAttempt(const json &value)
{
    wire::AttemptId attempt;
    value.at("job").get_to(attempt.job);
    value.at("owner").get_to(attempt.owner);
    value.at("number").get_to(attempt.number);
    return attempt;
}

SubmitRecord readSubmit(const json &value)
{
    SubmitRecord record;
    value.at("job").get_to(record.job);
    value.at("key").get_to(record.key);
    value.at("owner").get_to(record.owner);
    value.at("owner_nonce").get_to(record.ownerNonce);
    record.spec = readSpec(value.at("spec"));
    value.at("request_digest").get_to(record.requestDigest);
    value.at("recoverable").get_to(record.isRecoverable);
    record.acceptedAt = WallTime(Milliseconds(value.at("accepted_at_ms").get<std::int64_t>()));
    return record;
}

ClaimRecord readClaim(const json &value)
{
    ClaimRecord record;
    value.at("job").get_to(record.job);
    value.at("previous_nonce").get_to(record.previousNonce);
    value.at("owner").get_to(record.owner);
    value.at("owner_nonce").get_to(record.ownerNonce);
    return record;
}

StartRecord readStart(const json &value)
{
    StartRecord record;
    record.attempt = readAttempt(value.at("attempt"));
    value.at("lead").get_to(record.lead);
    value.at("lead_nonce").get_to(record.leadNonce);
    return record;
}

AbandonRecord readAbandon(const json &value)
{
    AbandonRecord record;
    record.attempt = readAttempt(value.at("attempt"));
    value.at("by").get_to(record.by);
    return record;
}

OutcomeRecord readOutcome(const json &value)
{
    OutcomeRecord record;
    value.at("owner_nonce").get_to(record.ownerNonce);
    value.at("job").get_to(record.job);
    record.outcome = readEnum<wire::Outcome::type>(value.at("outcome"), wire::_Outcome_VALUES_TO_NAMES);
    record.reason = readEnum<wire::Reason::type>(value.at("reason"), wire::_Reason_VALUES_TO_NAMES);
    value.at("detail").get_to(record.detail);
    for (const json &part : value.at("parts")) {
        record.parts.push_back(readPart(part));
    }
    return record;
}

ConfigurationRecord readConfiguration(const json &value)
{
    ConfigurationRecord record;
    value.at("base_version").get_to(record.baseVersion);
    value.at("change").get_to(record.changeId);
    value.at("author").get_to(record.author);
    value.at("document").get_to(record.document);
    return record;
}

SnapshotRecord readSnapshot(const json &value)
{
    SnapshotRecord record;
    value.at("snapshot").get_to(record.snapshotId);
    value.at("part").get_to(record.part);
    value.at("parts").get_to(record.parts);
    value.at("configuration_version").get_to(record.configurationVersion);
    value.at("configuration_author").get_to(record.configurationAuthor);
    value.at("configuration_document").get_to(record.configurationDocument);
    value.at("jobs").get_to(record.jobs);
    value.at("through_offset").get_to(record.throughOffset);
    return record;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace knapweed::recordjson
