// Operator command status.

#include "tool/entryclient.h"
#include "tool/statustext.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace knapweed
{

namespace
{

ExitCode showStatus(const Invocation &invocation)
{
    const Result<HttpResponse, EntryError> response = sendEntryRequest(invocation, {"GET", "/v1/status", {}, {}});
    if (!isOk(response)) {
        return fail(invocation, error(response).code, error(response).detail);
    }
    if (value(response).status != 200) {
        return reportRefusal(invocation, value(response));
    }
    const nlohmann::json status = bodyOf(value(response));
    if (invocation.has("json")) {
        printJson(invocation, status);
    } else {
        invocation.environment.output << formatStatus(status, std::chrono::system_clock::now());
    }
    return ExitCode::Success;
}

} // namespace

const std::vector<Command> &statusCommands()
{
    static const std::vector<Command> commands {
        {"status",
            {},
            "Show accounts, workers, configuration, exceptions and the log service at a glance",
            {},
            "  knapweedctl status\n  knapweedctl status --json\n",
            showStatus},
    };
    return commands;
}

} // namespace knapweed
