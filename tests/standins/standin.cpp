// HTTP and JSON helpers and common faults of the stand-ins.

#include "standins/standin.h"

#include <charconv>
#include <sstream>

namespace knapweed::standins
{

using nlohmann::json;

HttpResponse jsonResponse(int status, const json &body)
{
    return knapweed::jsonResponse(status, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

HttpResponse errorResponse(int status, const std::string &code, const std::string &detail)
{
    return standins::jsonResponse(status, json {{"error", code}, {"detail", detail}});
}

json parseBody(const HttpRequest &request)
{
    if (request.body.empty()) {
        return json::object();
    }
    const json body = json::parse(request.body, nullptr, false);
    return body.is_object() ? body : json();
}

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::istringstream stream(path);
    for (std::string part; std::getline(stream, part, '/');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::int64_t queryNumber(const HttpRequest &request, const std::string &name, std::int64_t fallback)
{
    const auto found = request.query.find(name);
    if (found == request.query.end()) {
        return fallback;
    }
    const std::string &text = found->second;
    std::int64_t number = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? number : fallback;
}

Milliseconds queryDuration(const HttpRequest &request, const std::string &name)
{
    return Milliseconds(queryNumber(request, name, 0));
}

FaultGate::FaultGate(EventLoop &loop, HttpHandler role, RoleFault roleFault)
    : loop_(loop)
    , role_(std::move(role))
    , roleFault_(std::move(roleFault))
{
}

void FaultGate::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "POST" && request.path == "/v1/faults") {
        const json faults = parseBody(request);
        const std::string invalidFault = faults.is_null() ? "body" : setFaults(faults);
        respond(invalidFault.empty() ? standins::jsonResponse(200, json::object()) : errorResponse(400, "unknown_fault", invalidFault));
        return;
    }
    if (isFrozen_) {
        frozen_.emplace_back(request, respond);
        return;
    }
    if (isDown_) {
        respond(errorResponse(503, "unavailable"));
        return;
    }
    if (delay_ > Milliseconds(0)) {
        loop_.callAfter(delay_, [this, request, respond] {
            serve(request, respond);
        });
        return;
    }
    serve(request, respond);
}

std::string FaultGate::setFaults(const json &faults)
{
    for (const auto &item : faults.items()) {
        if (!setFault(item.key(), item.value())) {
            return item.key();
        }
    }
    return {};
}

bool FaultGate::isFrozen() const
{
    return isFrozen_;
}

bool FaultGate::setFault(const std::string &name, const json &value)
{
    if (name == "down" && value.is_boolean()) {
        isDown_ = value.get<bool>();
    } else if (name == "delay_ms" && value.is_number_integer()) {
        delay_ = Milliseconds(value.get<int>());
    } else if (name == "lose_acknowledgements" && value.is_number_integer()) {
        acknowledgementsToLose_ = value.get<int>();
    } else if (name == "freeze" && value.is_boolean()) {
        isFrozen_ = value.get<bool>();
        processFrozenRequests();
    } else {
        return roleFault_(name, value);
    }
    return true;
}

void FaultGate::serve(const HttpRequest &request, const HttpResponder &respond)
{
    if (acknowledgementsToLose_ > 0 && request.method != "GET") {
        --acknowledgementsToLose_;
        // Keeping a copy of the responder keeps the request open, so that the caller never receives an answer.
        role_(request, [respond](const HttpResponse &) {});
        return;
    }
    role_(request, respond);
}

void FaultGate::processFrozenRequests()
{
    while (!isFrozen_ && !frozen_.empty()) {
        const auto [request, respond] = std::move(frozen_.front());
        frozen_.pop_front();
        serve(request, respond);
    }
}

} // namespace knapweed::standins
