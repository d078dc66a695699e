// HTTP requests from the tool to an entry.

#include "tool/entryclient.h"

#include "base/eventloop.h"
#include "base/httpclient.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <ostream>

namespace knapweed
{

namespace
{

std::string trimLineEnd(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

Result<std::string, UsageError> tokenOf(const Invocation &invocation)
{
    if (invocation.has("token") && invocation.has("token-file")) {
        return UsageError {"--token: found with --token-file, allowed is one of the two"};
    }
    std::string token = invocation.option("token", invocation.environment.variable("KNAPWEED_TOKEN"));
    if (invocation.has("token-file")) {
        const Result<std::string, UsageError> text = readInput(invocation, invocation.option("token-file"));
        if (!isOk(text)) {
            return error(text);
        }
        token = trimLineEnd(value(text));
    }
    if (token.empty()) {
        return UsageError {"--token-file: found nothing, allowed is a file with the token (or --token, or the variable KNAPWEED_TOKEN)"};
    }
    return token;
}

Result<Address, UsageError> entryOf(const Invocation &invocation)
{
    const std::string text = invocation.option("entry", invocation.environment.variable("KNAPWEED_ENTRY"));
    const Address address = parseAddress(text);
    if (address.port == 0) {
        return UsageError {"--entry: found " + (text.empty() ? "nothing" : text) + ", allowed is IP:PORT (or the variable KNAPWEED_ENTRY)"};
    }
    return address;
}

HttpResult sendAndWait(const Address &entry, const HttpRequest &request, Milliseconds timeout)
{
    EventLoop loop;
    HttpClient client(loop);
    std::optional<HttpResult> result;
    client.send(entry, request, timeout, [&](HttpResult answer) {
        result = std::move(answer);
        loop.stop();
    });
    loop.run();
    return *result;
}

EntryError toEntryError(const HttpError &httpError, const Address &entry, bool isRead)
{
    const bool hadNoEffect = isRead || httpError.kind == HttpError::Kind::NotSent;
    const std::string detail = "no answer from " + toString(entry) + ": " + httpError.detail;
    if (hadNoEffect) {
        return {ExitCode::Unreachable, detail + "; nothing was changed"};
    }
    return {ExitCode::Unknown, detail + "; the request may have taken effect"};
}

} // namespace

Result<HttpResponse, EntryError> sendEntryRequest(const Invocation &invocation, const EntryRequest &request)
{
    const Result<Address, UsageError> entry = entryOf(invocation);
    const Result<std::string, UsageError> token = tokenOf(invocation);
    const Result<std::int64_t, UsageError> timeout = integerOption(invocation, "timeout-ms", request.timeout.count());
    if (!isOk(entry)) {
        return EntryError {ExitCode::Usage, error(entry).detail};
    }
    if (!isOk(token)) {
        return EntryError {ExitCode::Usage, error(token).detail};
    }
    if (!isOk(timeout) || value(timeout) < 1) {
        return EntryError {ExitCode::Usage, isOk(timeout) ? "--timeout-ms: found less than 1, allowed is 1 or more" : error(timeout).detail};
    }
    HttpRequest http;
    http.method = request.method;
    http.path = request.path;
    http.body = request.body;
    http.headers = request.headers;
    http.headers["authorization"] = "Bearer " + value(token);
    if (!request.body.empty()) {
        http.headers["content-type"] = "application/json";
    }
    const HttpResult result = sendAndWait(value(entry), http, Milliseconds(value(timeout)));
    if (!isOk(result)) {
        return toEntryError(error(result), value(entry), request.method == "GET");
    }
    return value(result);
}

ExitCode exitCodeOf(int status, const std::string &errorCode)
{
    if (status >= 200 && status < 300) {
        return ExitCode::Success;
    }
    if (errorCode == "stale_base_version") {
        return ExitCode::StaleBase;
    }
    if (status == 400 || status == 413 || status == 422) {
        return ExitCode::Usage;
    }
    return status == 504 || errorCode == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
}

nlohmann::json bodyOf(const HttpResponse &response)
{
    nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

std::string textMember(const nlohmann::json &object, const std::string &key)
{
    const nlohmann::json::const_iterator found = object.is_object() ? object.find(key) : object.end();
    if (found == object.end() || found->is_null()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

nlohmann::json arrayMember(const nlohmann::json &object, const std::string &key)
{
    const nlohmann::json::const_iterator found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_array() ? *found : nlohmann::json::array();
}

ExitCode reportRefusal(const Invocation &invocation, const HttpResponse &response)
{
    const nlohmann::json body = bodyOf(response);
    const std::string code = body.contains("error") ? textMember(body, "error") : "status " + std::to_string(response.status);
    nlohmann::json lines = arrayMember(body, "lines");
    if (lines.empty()) {
        lines.push_back(textMember(body, "detail"));
    }
    for (const nlohmann::json &line : lines) {
        invocation.environment.errors << "knapweedctl: " << code << ": " << (line.is_string() ? line.get<std::string>() : line.dump()) << '\n';
    }
    if (invocation.has("json")) {
        printJson(invocation, body);
    }
    return exitCodeOf(response.status, code);
}

void printJson(const Invocation &invocation, const nlohmann::json &body)
{
    invocation.environment.output << body.dump() << '\n';
}

} // namespace knapweed
