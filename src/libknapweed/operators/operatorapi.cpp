// Serves the operators' configuration interface.

#include "operators/operatorapi.h"

#include "base/jsonreader.h"
#include "base/logging.h"
#include "base/token.h"

#include <nlohmann/json.hpp>

#include <array>
#include <optional>
#include <random>

namespace knapweed
{

namespace
{

/// The parsed body of PUT /v1/configuration.
struct ChangeRequest
{
    std::int64_t baseVersion = 0;
    std::string author;
    std::string changeId; ///< empty when the request has none
    Configuration configuration;
};

std::string randomChangeId()
{
    std::random_device device;
    std::string id = "c-";
    for (int word = 0; word < 4; ++word) {
        std::array<char, 16> text {};
        std::snprintf(text.data(), text.size(), "%08x", device());
        id += text.data();
    }
    return id;
}

HttpResponse faultResponse(int status, const char *code, const std::vector<std::string> &lines)
{
    const nlohmann::json body = {{"error", code}, {"detail", lines.front()}, {"lines", lines}};
    return jsonResponse(status, body.dump());
}

Result<ChangeRequest, HttpResponse> parseChange(const std::string &body)
{
    JsonReport report;
    const nlohmann::json document = parseJson(body, report);
    if (!report.faults.empty()) {
        return faultResponse(400, "bad_request", report.faults);
    }
    ChangeRequest change;
    JsonObjectReader root(&document, "", report);
    change.baseVersion = root.integer("base_version", {0, INT64_MAX - 1, std::nullopt});
    change.author = root.text("author", {TextRule::Form::Line, 1, 100, std::nullopt});
    change.changeId = root.text("change", {TextRule::Form::Identifier, 8, 64, std::string()});
    const nlohmann::json *configuration = root.member("configuration");
    if (configuration == nullptr) {
        root.fault("configuration", "nothing", "a configuration, the whole of it");
    }
    root.finish();
    if (!report.faults.empty()) {
        return faultResponse(400, "bad_request", report.faults);
    }
    Result<Configuration, ConfigurationError> parsed = parseConfiguration(configuration->dump());
    if (!isOk(parsed)) {
        return faultResponse(422, "invalid_configuration", error(parsed).lines);
    }
    change.configuration = std::move(value(parsed));
    return change;
}

HttpResponse acceptedResponse(std::int64_t version, const std::string &changeId)
{
    const nlohmann::json body = {{"version", version}, {"change", changeId}};
    return jsonResponse(200, body.dump());
}

/// The response to a change whose id was accepted before.
HttpResponse retryResponse(const ConfigurationVersion &accepted, const Configuration &configuration)
{
    if (accepted.document != formatConfiguration(configuration)) {
        return faultResponse(422, "change_id_reused", {faultLine("change", "an id that another change has", "a new id for each change")});
    }
    return acceptedResponse(accepted.version, accepted.changeId);
}

HttpResponse configurationResponse(const ConfigurationVersion &current)
{
    const nlohmann::json body = {
        {"version", current.version},
        {"author", current.author},
        {"change", current.changeId},
        {"configuration", nlohmann::json::parse(current.document)},
    };
    return jsonResponse(200, body.dump());
}

HttpResponse historyResponse(const std::vector<ConfigurationVersion> &history)
{
    nlohmann::json versions = nlohmann::json::array();
    for (const ConfigurationVersion &version : history) {
        versions.push_back({{"version", version.version}, {"author", version.author}, {"change", version.changeId}});
    }
    const nlohmann::json body = {{"versions", versions}};
    return jsonResponse(200, body.dump());
}

HttpResponse wrongMethodResponse(const char *allowed)
{
    const nlohmann::json body = {{"error", "method_not_allowed"}, {"detail", std::string("allowed is ") + allowed}};
    return jsonResponse(405, body.dump());
}

} // namespace

HttpResponse unauthorizedResponse()
{
    return jsonResponse(401, R"({"error":"unauthorized","detail":"the header Authorization must be Bearer and the operators' token"})");
}

OperatorApi::OperatorApi(const ConfigurationFold &fold, OperatorApiOptions options, OperatorApiHooks hooks)
    : fold_(fold)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
{
}

bool OperatorApi::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const bool isConfiguration = request.path == "/v1/configuration";
    if (!isConfiguration && request.path != "/v1/configuration/history") {
        return false;
    }
    if (!isAuthorized(request)) {
        respond(unauthorizedResponse());
    } else if (isConfiguration && request.method == "PUT") {
        change(request, respond);
    } else if (request.method != "GET") {
        respond(wrongMethodResponse(isConfiguration ? "GET or PUT" : "GET"));
    } else {
        respond(isConfiguration ? configurationResponse(fold_.current()) : historyResponse(fold_.history()));
    }
    return true;
}

void OperatorApi::recordApplied(const ConfigurationRecord &record, ConfigurationFold::Verdict verdict)
{
    switch (verdict) {
    case ConfigurationFold::Verdict::Accepted:
        logEvent(LogLevel::Info,
            "configuration_accepted",
            {{"version", std::to_string(record.baseVersion + 1)}, {"author", record.author}, {"change", record.changeId}});
        answer(record.changeId, acceptedResponse(record.baseVersion + 1, record.changeId));
        break;
    case ConfigurationFold::Verdict::Stale:
        answer(record.changeId, staleResponse());
        break;
    case ConfigurationFold::Verdict::Invalid:
        answer(record.changeId, faultResponse(422, "invalid_configuration", {"the log holds this change in a form that can't be read"}));
        break;
    case ConfigurationFold::Verdict::Ignored:
        break; // evaluated when a snapshot has been read; expire() then finds the result in the history
    }
}

bool OperatorApi::isAuthorized(const HttpRequest &request) const
{
    return isSameToken(bearerToken(request), options_.operatorToken);
}

std::size_t OperatorApi::pendingChanges() const
{
    return waiters_.size();
}

void OperatorApi::change(const HttpRequest &request, const HttpResponder &respond)
{
    const Result<ChangeRequest, HttpResponse> parsed = parseChange(request.body);
    if (!isOk(parsed)) {
        respond(error(parsed));
        return;
    }
    const ChangeRequest &change = value(parsed);
    if (const ConfigurationVersion *version = change.changeId.empty() ? nullptr : fold_.accepted(change.changeId)) {
        respond(retryResponse(*version, change.configuration));
        return;
    }
    if (change.baseVersion < fold_.version()) {
        respond(staleResponse());
        return;
    }
    const std::vector<std::string> faults = hooks_.check ? hooks_.check(change.configuration) : std::vector<std::string>();
    if (!faults.empty()) {
        respond(faultResponse(422, "invalid_configuration", faults));
        return;
    }
    const std::string changeId = change.changeId.empty() ? randomChangeId() : change.changeId;
    appendChange({change.baseVersion, changeId, change.author, formatConfiguration(change.configuration)}, respond);
}

void OperatorApi::appendChange(const ConfigurationRecord &record, const HttpResponder &respond)
{
    const std::uint64_t waiter = nextWaiter_++;
    waiters_[waiter] = {record.changeId, respond};
    if (!hooks_.append(record)) {
        waiters_.erase(waiter);
        respond(jsonResponse(503, R"({"error":"log_unavailable","detail":"too much waits for the log service; the change was not made"})"));
        return;
    }
    hooks_.callAfter(options_.changeTimeout, [this, waiter] {
        expire(waiter);
    });
}

void OperatorApi::expire(std::uint64_t waiter)
{
    const std::map<std::uint64_t, Waiter>::iterator found = waiters_.find(waiter);
    if (found == waiters_.end()) {
        return;
    }
    const Waiter expired = found->second;
    waiters_.erase(found);
    if (const ConfigurationVersion *version = fold_.accepted(expired.changeId)) {
        expired.respond(acceptedResponse(version->version, expired.changeId));
        return;
    }
    const nlohmann::json body = {
        {"error", "unknown"},
        {"detail", "the change was not read back from the log in time; it may still be accepted, look for it in the history"},
        {"change", expired.changeId},
    };
    logEvent(LogLevel::Warning, "configuration_change_unknown", {{"change", expired.changeId}});
    expired.respond(jsonResponse(504, body.dump()));
}

void OperatorApi::answer(const std::string &changeId, const HttpResponse &response)
{
    std::vector<Waiter> matching;
    for (std::map<std::uint64_t, Waiter>::iterator it = waiters_.begin(); it != waiters_.end();) {
        if (it->second.changeId != changeId) {
            ++it;
            continue;
        }
        matching.push_back(it->second);
        it = waiters_.erase(it);
    }
    for (const Waiter &waiter : matching) {
        waiter.respond(response);
    }
}

HttpResponse OperatorApi::staleResponse() const
{
    const ConfigurationVersion &current = fold_.current();
    const nlohmann::json body = {
        {"error", "stale_base_version"},
        {"detail", "version " + std::to_string(current.version) + " by " + current.author + " is in force; read it and base the change on it"},
        {"version", current.version},
        {"author", current.author},
    };
    return jsonResponse(409, body.dump());
}

} // namespace knapweed
