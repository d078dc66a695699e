// Sends configuration changes and reports their outcome.

#include "tool/configurationclient.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ostream>
#include <random>

namespace knapweed
{

namespace
{

/// Returns the version that @p changeId produced, or 0 if the history does not contain the change.
std::int64_t findVersionInHistory(const Invocation &invocation, const std::string &changeId)
{
    const Result<HttpResponse, EntryError> response = sendEntryRequest(invocation, {"GET", "/v1/configuration/history", {}, {}});
    if (!isOk(response) || value(response).status != 200) {
        return 0;
    }
    for (const nlohmann::json &version : arrayMember(bodyOf(value(response)), "versions")) {
        if (textMember(version, "change") == changeId && version.value("version", nlohmann::json()).is_number_integer()) {
            return version["version"].get<std::int64_t>();
        }
    }
    return 0;
}

/// Returns success if @p outcome is unknown but the history contains the change, otherwise @p outcome.
ChangeOutcome resolveUnknownOutcome(const Invocation &invocation, const ConfigurationChange &change, ChangeOutcome outcome)
{
    const std::int64_t version = outcome.code == ExitCode::Unknown ? findVersionInHistory(invocation, change.changeId) : 0;
    if (version != 0) {
        return {ExitCode::Success, version, {}, {}};
    }
    return outcome;
}

} // namespace

Result<HttpResponse, EntryError> fetchConfiguration(const Invocation &invocation)
{
    return sendEntryRequest(invocation, {"GET", "/v1/configuration", {}, {}});
}

ChangeOutcome sendChange(const Invocation &invocation, const ConfigurationChange &change)
{
    const nlohmann::json body = {
        {"base_version", change.baseVersion},
        {"author", change.author},
        {"change", change.changeId},
        {"configuration", nlohmann::json::parse(change.document, nullptr, false)},
    };
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const Result<HttpResponse, EntryError> response = sendEntryRequest(invocation, {"PUT", "/v1/configuration", text, {}});
    if (!isOk(response)) {
        return resolveUnknownOutcome(invocation, change, {error(response).code, 0, {}, error(response).detail});
    }
    const nlohmann::json answer = bodyOf(value(response));
    const ExitCode code = exitCodeOf(value(response).status, textMember(answer, "error"));
    if (code != ExitCode::Success) {
        return resolveUnknownOutcome(invocation, change, {code, 0, value(response), {}});
    }
    if (!answer.contains("version") || !answer["version"].is_number_integer()) {
        return {ExitCode::Unknown, 0, {}, "the entry's answer names no version"};
    }
    return {ExitCode::Success, answer["version"].get<std::int64_t>(), {}, {}};
}

ExitCode reportChange(const Invocation &invocation, const ConfigurationChange &change, const ChangeOutcome &outcome)
{
    if (outcome.code == ExitCode::Success) {
        if (invocation.has("json")) {
            printJson(invocation, {{"version", outcome.version}, {"change", change.changeId}});
        } else {
            invocation.environment.output << "version " << outcome.version << " accepted\n";
        }
        return ExitCode::Success;
    }
    if (!outcome.detail.empty()) {
        fail(invocation, outcome.code, outcome.detail);
    } else {
        reportRefusal(invocation, outcome.response);
    }
    if (outcome.code == ExitCode::Unknown) {
        fail(invocation, outcome.code, "look for change " + change.changeId + " in knapweedctl config history before you try again");
    }
    return outcome.code;
}

Result<std::string, UsageError> authorOf(const Invocation &invocation)
{
    const std::function<std::string(const std::string &)> &variable = invocation.environment.variable;
    const std::string authorVariable = variable("KNAPWEED_AUTHOR");
    const std::string author = invocation.option("author", authorVariable.empty() ? variable("USER") : authorVariable);
    if (author.empty()) {
        return UsageError {"--author: found nothing, allowed is your name or rota (or the variable KNAPWEED_AUTHOR)"};
    }
    return author;
}

std::string randomId(const std::string &prefix)
{
    std::random_device device;
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
    return prefix + text.data();
}

} // namespace knapweed
