// One request of the tool to an entry, and what its answer means for the exit code.
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
    std::string path; ///< with its query
    std::string body;
    HttpHeaders headers;
    Milliseconds timeout {30000}; ///< the default of --timeout-ms
};

/// No usable answer.
struct EntryError
{
    ExitCode code = ExitCode::Unreachable;
    std::string detail;
};

/// Sends @p request to the entry that the options or the environment name, with their token, and waits for the answer.
Result<HttpResponse, EntryError> sendEntryRequest(const Invocation &invocation, const EntryRequest &request);

/// The code that scripts get for an answer of @p status.
ExitCode exitCodeOf(int status, const std::string &errorCode);

/// The answer's JSON object; an empty one when it has none.
nlohmann::json bodyOf(const HttpResponse &response);

/// A member as text: a string's own text, any other value as JSON, and an absent one as nothing. Never throws.
std::string textMember(const nlohmann::json &object, const std::string &key);

/// A member that should be an array; an empty one when it is anything else.
nlohmann::json arrayMember(const nlohmann::json &object, const std::string &key);

/// Prints a refusal: its lines as errors, and with --json the body as output.
ExitCode reportRefusal(const Invocation &invocation, const HttpResponse &response);

/// Prints @p body as one line of JSON.
void printJson(const Invocation &invocation, const nlohmann::json &body);

} // namespace knapweed
