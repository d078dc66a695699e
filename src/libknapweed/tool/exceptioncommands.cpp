// Operator commands for exceptions: add, remove and list. Each change reads the configuration, edits it, and submits it
// with the version it read as the base version.

#include "operators/configuration.h"
#include "operators/timestamp.h"
#include "tool/configurationclient.h"
#include "tool/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace knapweed
{

namespace
{

constexpr int maxChangeAttempts = 5; // adding or removing one exception applies to any base version, so it is retried after a concurrent change

struct VersionedConfiguration
{
    std::int64_t version = 0;
    Configuration configuration;
};

/// Edits the configuration in place; an error aborts the change.
using Edit = std::function<Result<Done, UsageError>(Configuration &)>;

Result<VersionedConfiguration, EntryError> readConfiguration(const Invocation &invocation)
{
    const Result<HttpResponse, EntryError> response = fetchConfiguration(invocation);
    if (!isOk(response)) {
        return error(response);
    }
    const nlohmann::json body = bodyOf(value(response));
    if (value(response).status != 200) {
        return EntryError {exitCodeOf(value(response).status, textMember(body, "error")), textMember(body, "error") + ": " + textMember(body, "detail")};
    }
    const nlohmann::json configuration = body.value("configuration", nlohmann::json::object());
    const Result<Configuration, ConfigurationError> parsed = parseConfiguration(configuration.dump());
    if (!isOk(parsed) || !body.contains("version") || !body["version"].is_number_integer()) {
        return EntryError {ExitCode::Refused, "the entry's configuration can't be read by this version of the tool"};
    }
    return VersionedConfiguration {body["version"].get<std::int64_t>(), value(parsed)};
}

ExitCode change(const Invocation &invocation, const Edit &edit)
{
    const Result<std::string, UsageError> author = authorOf(invocation);
    if (!isOk(author)) {
        return fail(invocation, ExitCode::Usage, error(author).detail);
    }
    ConfigurationChange configurationChange;
    ChangeOutcome outcome;
    for (int attempt = 0; attempt < maxChangeAttempts; ++attempt) {
        Result<VersionedConfiguration, EntryError> current = readConfiguration(invocation);
        if (!isOk(current)) {
            return fail(invocation, error(current).code, error(current).detail);
        }
        const Result<Done, UsageError> edited = edit(value(current).configuration);
        if (!isOk(edited)) {
            return fail(invocation, ExitCode::Usage, error(edited).detail);
        }
        configurationChange = {value(current).version, value(author), randomId("c-"), formatConfiguration(value(current).configuration)};
        outcome = sendChange(invocation, configurationChange);
        if (outcome.code != ExitCode::StaleBase) {
            break;
        }
    }
    return reportChange(invocation, configurationChange, outcome);
}

Result<ConfigurationException, UsageError> exceptionOf(const Invocation &invocation)
{
    for (const char *required : {"subject", "setting", "value", "reason"}) {
        if (invocation.option(required).empty()) {
            return UsageError {std::string("--") + required + ": found nothing, allowed is a text; every exception names " + required};
        }
    }
    ConfigurationException exception;
    exception.id = invocation.option("id", randomId("x-"));
    exception.subject = invocation.option("subject");
    exception.setting = invocation.option("setting");
    exception.reason = invocation.option("reason");
    const nlohmann::json given = nlohmann::json::parse(invocation.option("value"), nullptr, false);
    if (given.is_discarded()) {
        return UsageError {"--value: found " + invocation.option("value") + ", allowed is JSON such as 2000 or true"};
    }
    exception.value = given.dump();
    exception.addedAt = std::chrono::system_clock::now();
    if (invocation.has("expires")) {
        exception.expiresAt = parseTimestamp(invocation.option("expires"));
        if (!exception.expiresAt) {
            return UsageError {"--expires: found " + invocation.option("expires") + ", allowed is a time in UTC such as 2026-12-31T00:00:00Z"};
        }
    }
    return exception;
}

ExitCode add(const Invocation &invocation)
{
    Result<ConfigurationException, UsageError> exception = exceptionOf(invocation);
    const Result<std::string, UsageError> author = authorOf(invocation);
    if (!isOk(exception)) {
        return fail(invocation, ExitCode::Usage, error(exception).detail);
    }
    value(exception).author = isOk(author) ? value(author) : "";
    return change(invocation, [&](Configuration &configuration) -> Result<Done, UsageError> {
        configuration.exceptions.push_back(value(exception));
        const Result<Configuration, ConfigurationError> checked = parseConfiguration(formatConfiguration(configuration));
        if (!isOk(checked)) {
            return UsageError {error(checked).lines.front()};
        }
        return Done {};
    });
}

ExitCode remove(const Invocation &invocation)
{
    const std::string &id = invocation.arguments.at(0);
    return change(invocation, [&](Configuration &configuration) -> Result<Done, UsageError> {
        const std::size_t removed = std::erase_if(configuration.exceptions, [&](const ConfigurationException &exception) {
            return exception.id == id;
        });
        if (removed == 0) {
            return UsageError {"ID: found " + id + ", allowed is the id of an exception that exception list shows"};
        }
        return Done {};
    });
}

ExitCode list(const Invocation &invocation)
{
    const Result<HttpResponse, EntryError> response = fetchConfiguration(invocation);
    if (!isOk(response)) {
        return fail(invocation, error(response).code, error(response).detail);
    }
    if (value(response).status != 200) {
        return reportRefusal(invocation, value(response));
    }
    const nlohmann::json configuration = bodyOf(value(response)).value("configuration", nlohmann::json::object());
    const nlohmann::json exceptions = arrayMember(configuration, "exceptions");
    if (invocation.has("json")) {
        printJson(invocation, {{"exceptions", exceptions}});
        return ExitCode::Success;
    }
    const std::vector<std::string> keys {"id", "subject", "setting", "value", "author", "added_at", "expires_at", "reason"};
    std::vector<std::vector<std::string>> rows {{"ID", "SUBJECT", "SETTING", "VALUE", "AUTHOR", "ADDED", "EXPIRES", "REASON"}};
    for (const nlohmann::json &exception : exceptions) {
        std::vector<std::string> &row = rows.emplace_back();
        for (const std::string &key : keys) {
            row.push_back(textMember(exception, key));
        }
    }
    invocation.environment.output << formatTable(rows);
    return ExitCode::Success;
}

} // namespace

const std::vector<Command> &exceptionCommands()
{
    const ToolOption author {"author", "NAME", "who makes the change; default is the variable KNAPWEED_AUTHOR or USER"};
    static const std::vector<Command> commands {
        {"exception add",
            {},
            "Let one account or worker differ from the rule, with a written reason",
            {
                {"subject", "SUBJECT", "account:NAME or worker:ID, required"},
                {"setting", "SETTING", "for an account burst, queued_limit, requests_per_second or weight; for a worker excluded; required"},
                {"value", "JSON", "the value that holds instead, required"},
                {"reason", "TEXT", "why, for the next shift; required"},
                {"expires", "TIME", "when the rule holds again, such as 2026-12-31T00:00:00Z; default is never"},
                {"id", "ID", "id of the exception; default is a new one"},
                author,
            },
            "  knapweedctl exception add --subject account:kothari-fit --setting queued_limit --value 2000 \\\n"
            "    --reason 'fitting week of two airlines' --expires 2026-12-31T00:00:00Z\n"
            "  knapweedctl exception add --subject worker:w3 --setting excluded --value true --reason 'fan broken, ticket 88'\n",
            add},
        {"exception remove", {"ID"}, "Take an exception back", {author}, "  knapweedctl exception remove x-5f0c\n", remove},
        {"exception list", {}, "Show all exceptions with their reasons", {}, "  knapweedctl exception list\n", list},
    };
    return commands;
}

} // namespace knapweed
