// Operator commands for the whole configuration: config get, config set and config history.

#include "operators/configuration.h"
#include "tool/configurationclient.h"
#include "tool/table.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace knapweed
{

namespace
{

ExitCode get(const Invocation &invocation)
{
    const Result<HttpResponse, EntryError> response = fetchConfiguration(invocation);
    if (!isOk(response)) {
        return fail(invocation, error(response).code, error(response).detail);
    }
    if (value(response).status != 200) {
        return reportRefusal(invocation, value(response));
    }
    const nlohmann::json body = bodyOf(value(response));
    if (invocation.has("json")) {
        printJson(invocation, body);
        return ExitCode::Success;
    }
    invocation.environment.errors << "version " << textMember(body, "version") << " by " << textMember(body, "author") << '\n';
    invocation.environment.output << body.value("configuration", nlohmann::json::object()).dump(2) << '\n';
    return ExitCode::Success;
}

ExitCode set(const Invocation &invocation)
{
    if (!invocation.has("base")) {
        return fail(invocation, ExitCode::Usage, "--base: found nothing, allowed is the version that the change is based on, as config get shows it");
    }
    const Result<std::int64_t, UsageError> base = integerOption(invocation, "base", 0);
    const Result<std::string, UsageError> author = authorOf(invocation);
    const Result<std::string, UsageError> document = readInput(invocation, invocation.arguments.at(0));
    if (!isOk(base)) {
        return fail(invocation, ExitCode::Usage, error(base).detail);
    }
    if (!isOk(author)) {
        return fail(invocation, ExitCode::Usage, error(author).detail);
    }
    if (!isOk(document)) {
        return fail(invocation, ExitCode::Usage, error(document).detail);
    }
    const Result<Configuration, ConfigurationError> parsed = parseConfiguration(value(document));
    if (!isOk(parsed)) {
        for (const std::string &line : error(parsed).lines) {
            fail(invocation, ExitCode::Usage, invocation.arguments.at(0) + ": " + line);
        }
        return ExitCode::Usage;
    }
    const std::string changeId = invocation.option("change", randomId("c-"));
    const ConfigurationChange configurationChange {value(base), value(author), changeId, value(document)};
    return reportChange(invocation, configurationChange, sendChange(invocation, configurationChange));
}

ExitCode history(const Invocation &invocation)
{
    const Result<HttpResponse, EntryError> response = sendEntryRequest(invocation, {"GET", "/v1/configuration/history", {}, {}});
    if (!isOk(response)) {
        return fail(invocation, error(response).code, error(response).detail);
    }
    if (value(response).status != 200) {
        return reportRefusal(invocation, value(response));
    }
    const nlohmann::json body = bodyOf(value(response));
    if (invocation.has("json")) {
        printJson(invocation, body);
        return ExitCode::Success;
    }
    std::vector<std::vector<std::string>> rows {{"VERSION", "AUTHOR", "CHANGE"}};
    for (const nlohmann::json &version : arrayMember(body, "versions")) {
        rows.push_back({textMember(version, "version"), textMember(version, "author"), textMember(version, "change")});
    }
    invocation.environment.output << formatTable(rows);
    return ExitCode::Success;
}

} // namespace

const std::vector<Command> &configurationCommands()
{
    static const std::vector<Command> commands {
        {"config get",
            {},
            "Print the configuration in force; its version and author go to standard error. It holds the accounts' tokens",
            {},
            "  knapweedctl config get > configuration.json\n"
            "  knapweedctl config get --json | python3 -c 'import json, sys; print(json.load(sys.stdin)[\"version\"])'\n",
            get},
        {"config set",
            {"FILE"},
            "Put the configuration in FILE (or standard input with -) in force everywhere",
            {
                {"base", "VERSION", "version that the change is based on, required; refused when another one is in force"},
                {"author", "NAME", "who makes the change; default is the variable KNAPWEED_AUTHOR or USER"},
                {"change", "ID", "id of the change, for a retry of one whose outcome is unknown; default is a new one"},
            },
            "  knapweedctl config get > configuration.json        # says: version 7 by rota-b\n"
            "  editor configuration.json\n"
            "  knapweedctl config set --base 7 --author rota-a configuration.json\n",
            set},
        {"config history", {}, "Show the newest accepted versions and their authors", {}, "  knapweedctl config history\n", history},
    };
    return commands;
}

} // namespace knapweed
