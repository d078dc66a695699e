// Builds requests to the endpoint and parses its responses.

#include "endpoints/endpointclient.h"

#include <nlohmann/json.hpp>

namespace knapweed
{

namespace
{

using Json = nlohmann::json;
using gangs::EndpointAnswer;
using gangs::EndpointCall;
using gangs::EndpointPartState;

EndpointPartState partState(const std::string &text)
{
    if (text == "running") {
        return EndpointPartState::Running;
    }
    if (text == "completed") {
        return EndpointPartState::Completed;
    }
    if (text == "failed") {
        return EndpointPartState::Failed;
    }
    return text == "stopped" ? EndpointPartState::Stopped : EndpointPartState::Reserved;
}

void readParts(const Json &body, EndpointAnswer &answer)
{
    for (const Json &entry : body.at("parts")) {
        answer.parts.push_back({entry.at("part").get<std::string>(), partState(entry.at("state").get<std::string>())});
    }
}

void readBody(const Json &body, EndpointAnswer &answer)
{
    switch (answer.kind) {
    case EndpointCall::Kind::List:
        readParts(body, answer);
        break;
    case EndpointCall::Kind::Start:
    case EndpointCall::Kind::Watch:
        answer.state = partState(body.at("state").get<std::string>());
        answer.output = body.value("output", "");
        break;
    case EndpointCall::Kind::Stop:
        answer.everStarted = body.at("ever_started").get<bool>();
        break;
    case EndpointCall::Kind::Reserve:
    case EndpointCall::Kind::Renew:
        break;
    }
}

void readAnswer(const HttpResponse &response, EndpointAnswer &answer)
{
    if (response.status == 200) {
        readBody(response.body.empty() ? Json::object() : Json::parse(response.body), answer);
        answer.status = EndpointAnswer::Status::Ok;
    } else if (response.status == 410 || response.status == 404) {
        answer.status = EndpointAnswer::Status::LeaseExpired;
    } else if (response.status == 503 && answer.kind == EndpointCall::Kind::Reserve) {
        answer.status = EndpointAnswer::Status::NoSlot;
    }
}

} // namespace

HttpRequest endpointRequest(const EndpointCall &call)
{
    const std::string part = "/v1/parts/" + call.part;
    HttpRequest request;
    request.method = "POST";
    request.headers["content-type"] = "application/json";
    switch (call.kind) {
    case EndpointCall::Kind::List:
        request.method = "GET";
        request.path = "/v1/parts";
        break;
    case EndpointCall::Kind::Reserve:
        request.method = "PUT";
        request.path = part;
        request.body = Json {{"job", call.job}, {"kind", call.jobKind}, {"lease_ms", call.lease.count()}, {"input", call.input}}.dump(
            -1, ' ', false, Json::error_handler_t::replace);
        break;
    case EndpointCall::Kind::Start:
        request.path = part + "/start";
        request.body = Json {{"lease_ms", call.lease.count()}, {"wait_ms", call.wait.count()}}.dump();
        break;
    case EndpointCall::Kind::Watch:
        request.method = "GET";
        request.path = part + "?wait_ms=" + std::to_string(call.wait.count());
        break;
    case EndpointCall::Kind::Renew:
        request.path = part + "/renew";
        request.body = Json {{"lease_ms", call.lease.count()}}.dump();
        break;
    case EndpointCall::Kind::Stop:
        request.method = "DELETE";
        request.path = part;
        break;
    }
    return request;
}

EndpointAnswer endpointAnswer(const EndpointCall &call, const HttpResult &result)
{
    EndpointAnswer answer;
    answer.kind = call.kind;
    answer.target = call.target;
    answer.part = call.part;
    if (!isOk(result)) {
        return answer;
    }
    try {
        readAnswer(value(result), answer);
    } catch (const Json::exception &) {
        answer.status = EndpointAnswer::Status::Unreachable;
    }
    return answer;
}

EndpointClient::EndpointClient(HttpClient &http, Milliseconds timeout)
    : http_(http)
    , timeout_(timeout)
{
}

void EndpointClient::perform(const EndpointCall &call, std::function<void(EndpointAnswer)> callback)
{
    const bool waits = call.kind == EndpointCall::Kind::Start || call.kind == EndpointCall::Kind::Watch;
    const Milliseconds timeout = waits ? timeout_ + call.wait : timeout_;
    const MonotonicTime sentAt = std::chrono::steady_clock::now();
    http_.send(call.target, endpointRequest(call), timeout, [call, sentAt, callback = std::move(callback)](const HttpResult &result) {
        EndpointAnswer answer = endpointAnswer(call, result);
        answer.sentAt = sentAt;
        callback(std::move(answer));
    });
}

} // namespace knapweed
