// All fields are read through one table, which also detects unknown fields.

#include "callers/jobrequest.h"

#include "base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace knapweed
{

namespace
{

using nlohmann::json;
using FieldError = std::optional<std::string>;
using FieldReader = std::function<FieldError(const json &, JobRequest &)>;

constexpr std::int64_t maximumDeclaredRunMs = std::int64_t(1000) * 3600 * 24 * 365;

std::string found(const json &value)
{
    return "found " + value.dump(-1, ' ', false, json::error_handler_t::replace).substr(0, 40);
}

FieldError readInteger(const json &value, std::int64_t lowest, std::int64_t highest, std::int64_t &target)
{
    const bool isHuge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(highest);
    if (!value.is_number_integer() || isHuge || value.get<std::int64_t>() < lowest || value.get<std::int64_t>() > highest) {
        return found(value) + ", allowed is an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
    }
    target = value.get<std::int64_t>();
    return std::nullopt;
}

template<typename Integer>
FieldReader integerField(Integer wire::JobSpec::*member, std::int64_t lowest, std::int64_t highest)
{
    return [member, lowest, highest](const json &value, JobRequest &request) {
        std::int64_t number = 0;
        FieldError fault = readInteger(value, lowest, highest, number);
        if (!fault) {
            request.spec.*member = static_cast<Integer>(number);
        }
        return fault;
    };
}

FieldReader booleanField(bool wire::JobSpec::*member)
{
    return [member](const json &value, JobRequest &request) -> FieldError {
        if (!value.is_boolean()) {
            return found(value) + ", allowed is true or false";
        }
        request.spec.*member = value.get<bool>();
        return std::nullopt;
    };
}

bool isKindName(const std::string &name)
{
    static const char *const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !name.empty() && name.size() <= 64 && name.find_first_not_of(allowed) == std::string::npos;
}

FieldError readKind(const json &value, JobRequest &request)
{
    if (!value.is_string() || !isKindName(value.get<std::string>())) {
        return found(value) + ", allowed is 1 to 64 of A-Z a-z 0-9 . _ -";
    }
    request.spec.kind = value.get<std::string>();
    return std::nullopt;
}

FieldError readAdjacency(const json &value, JobRequest &request)
{
    static const std::map<std::string, wire::Adjacency::type> names = {
        {"none", wire::Adjacency::None}, {"worker", wire::Adjacency::Worker}, {"rack", wire::Adjacency::Rack}};
    const auto entry = names.find(value.is_string() ? value.get<std::string>() : std::string());
    if (entry == names.end()) {
        return found(value) + ", allowed is \"none\", \"worker\" or \"rack\"";
    }
    request.spec.adjacency = entry->second;
    return std::nullopt;
}

FieldError readInput(const json &value, JobRequest &request)
{
    if (!value.is_string()) {
        return found(value) + ", allowed is a string";
    }
    request.spec.input = value.get<std::string>();
    return std::nullopt;
}

FieldError readDeadline(const json &value, JobRequest &request)
{
    std::int64_t milliseconds = 0;
    FieldError fault = readInteger(value, 1, maximumDeadline.count(), milliseconds);
    request.deadline = Milliseconds(milliseconds);
    return fault;
}

const std::map<std::string, FieldReader> &fieldReaders()
{
    static const std::map<std::string, FieldReader> readers = {
        {"kind", readKind},
        {"tasks", integerField(&wire::JobSpec::tasks, 1, maximumGangTasks)},
        {"accelerators_per_task", integerField(&wire::JobSpec::acceleratorsPerTask, 1, maximumAcceleratorsPerTask)},
        {"processors_per_task", integerField(&wire::JobSpec::processorsPerTask, 0, 4096)},
        {"memory_mib_per_task", integerField(&wire::JobSpec::memoryMibPerTask, 0, std::int64_t(1) << 30)},
        {"adjacency", readAdjacency},
        {"repeatable", booleanField(&wire::JobSpec::repeatable)},
        {"checkpointable", booleanField(&wire::JobSpec::checkpointable)},
        {"declared_run_ms", integerField(&wire::JobSpec::declaredRunMs, 0, maximumDeclaredRunMs)},
        {"urgent", booleanField(&wire::JobSpec::urgent)},
        {"deadline_ms", readDeadline},
        {"input", readInput},
    };
    return readers;
}

} // namespace

Result<JobRequest, RequestError> parseJobRequest(const std::string &body)
{
    JsonReport report;
    const json document = parseJson(body, report);
    if (!report.faults.empty()) {
        return RequestError {400, "bad_json", "", report.faults.front()};
    }
    if (!document.is_object()) {
        return RequestError {400, "bad_json", "", "found a body that is not a JSON object"};
    }
    JobRequest request;
    for (const auto &[name, member] : document.items()) {
        const auto reader = fieldReaders().find(name);
        if (reader == fieldReaders().end()) {
            return RequestError {400, "unknown_field", name.substr(0, 64), "unknown field; docs/interfaces/callers.md lists those allowed"};
        }
        const FieldError fault = reader->second(member, request);
        if (fault) {
            return RequestError {400, "bad_value", name, name + ": " + *fault};
        }
    }
    if (request.spec.kind.empty()) {
        return RequestError {400, "missing_field", "kind", "kind: found nothing, allowed is 1 to 64 of A-Z a-z 0-9 . _ -"};
    }
    return request;
}

} // namespace knapweed
