// Reading and changing the configuration through an entry.
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
    std::string changeId; ///< lets the tool find the change when its answer is lost
    std::string document;
};

/// What became of a change.
struct ChangeOutcome
{
    ExitCode code = ExitCode::Success;
    std::int64_t version = 0; ///< when accepted
    HttpResponse response; ///< the entry's refusal, when it gave one
    std::string detail; ///< when there is no response
};

/// The answer to GET /v1/configuration.
Result<HttpResponse, EntryError> fetchConfiguration(const Invocation &invocation);

/// Sends the change. When its answer is lost or late, looks for it in the history before it says that the outcome is unknown.
ChangeOutcome sendChange(const Invocation &invocation, const ConfigurationChange &change);

/// Prints what became of the change and returns its code.
ExitCode reportChange(const Invocation &invocation, const ConfigurationChange &change, const ChangeOutcome &outcome);

/// --author, or the variables KNAPWEED_AUTHOR or USER.
Result<std::string, UsageError> authorOf(const Invocation &invocation);

/// @p prefix and 16 random hexadecimal digits.
std::string randomId(const std::string &prefix);

} // namespace knapweed
