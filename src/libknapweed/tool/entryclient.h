// Sends requests to an entry, reads members of the answers, and maps the answers to exit codes.
#pragma once

#include "base/http.h"
#include "tool/command.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace knapweed
{

struct EntryRequest
{
    std::string method;
    std::string path; ///< path with the query string
    std::string body;
    HttpHeaders headers;
    Milliseconds timeout {30000}; ///< the default of --timeout-ms
};

/// The reason why a request yielded no usable answer, and the exit code for it.
struct EntryError
{
    ExitCode code = ExitCode::Unreachable;
    std::string detail;
};

/// Sends @p request and waits for the answer. The options or the environment variables specify the entry and the token.
Result<HttpResponse, EntryError> sendEntryRequest(const Invocation &invocation, const EntryRequest &request);

/// Returns the exit code for an answer with HTTP status @p status and error code @p errorCode.
ExitCode exitCodeOf(int status, const std::string &errorCode);

/// Returns the JSON object in the body, or an empty object if the body is anything else.
nlohmann::json bodyOf(const HttpResponse &response);

/// Returns a member as text: a string unquoted, any other value as JSON, and an empty string for an absent or null member. Never throws.
std::string textMember(const nlohmann::json &object, const std::string &key);

/// Returns an array member, or an empty array if the member is absent or not an array.
nlohmann::json arrayMember(const nlohmann::json &object, const std::string &key);

/// Prints the lines of a refusal to standard error, and with --json the body to standard output. Returns the exit code.
ExitCode reportRefusal(const Invocation &invocation, const HttpResponse &response);

/// Prints @p body to standard output as one line of JSON.
void printJson(const Invocation &invocation, const nlohmann::json &body);

} // namespace knapweed
