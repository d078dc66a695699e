// Reads and changes the configuration through an entry.
#pragma once

#include "tool/entryclient.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace knapweed
{

struct ConfigurationChange
{
    std::int64_t baseVersion = 0;
    std::string author;
    std::string changeId; ///< identifies the change in the history if the entry's answer is lost
    std::string document;
};

/// The outcome of a change.
struct ChangeOutcome
{
    ExitCode code = ExitCode::Success;
    std::int64_t version = 0; ///< the new version if the change was accepted
    HttpResponse response; ///< the entry's refusal, if there is one
    std::string detail; ///< error message if there is no response
};

/// Sends GET /v1/configuration.
Result<HttpResponse, EntryError> fetchConfiguration(const Invocation &invocation);

/// Sends the change. If the answer is lost or late, looks up the change in the history before it reports an unknown outcome.
ChangeOutcome sendChange(const Invocation &invocation, const ConfigurationChange &change);

/// Prints the outcome of the change and returns its exit code.
ExitCode reportChange(const Invocation &invocation, const ConfigurationChange &change, const ChangeOutcome &outcome);

/// Returns the value of --author, or of the environment variables KNAPWEED_AUTHOR or USER, in this order.
Result<std::string, UsageError> authorOf(const Invocation &invocation);

/// Returns @p prefix followed by 16 random hexadecimal digits.
std::string randomId(const std::string &prefix);

} // namespace knapweed
