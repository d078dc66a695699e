// Rules of the endpoint: a part occupies a slot from its reservation until it finishes, a repeated start does not run it again, and a part
// stops when its lease expires. An input that is a JSON object can set how the part behaves: {"run_ms":50,"fail":false,"output_bytes":100}.

#include "standins/endpointstandin.h"

#include <algorithm>
#include <cassert>

namespace knapweed::standins
{

namespace
{

using nlohmann::json;

constexpr Milliseconds announceInterval {1000};
constexpr Milliseconds announceTimeout {900};

/// Returns the behaviour settings in @p input, or an empty object, which selects the defaults, if @p input is not a JSON object.
json behaviour(const std::string &input)
{
    const json value = json::parse(input, nullptr, false);
    return value.is_object() ? value : json::object();
}

template<typename Value>
Value setting(const json &behaviour, const char *name, Value fallback)
{
    const auto found = behaviour.find(name);
    const bool isUsable = found != behaviour.end() && (std::is_same_v<Value, bool> ? found->is_boolean() : found->is_number_integer());
    return isUsable ? found->template get<Value>() : fallback;
}

std::string output(const std::string &input)
{
    const std::int64_t bytes = setting<std::int64_t>(behaviour(input), "output_bytes", -1);
    return bytes < 0 ? "done:" + input : std::string(static_cast<std::size_t>(bytes), 'x');
}

} // namespace

const char *EndpointStandin::stateName(PartState state)
{
    switch (state) {
    case PartState::Reserved:
        return "reserved";
    case PartState::Running:
        return "running";
    case PartState::Completed:
        return "completed";
    case PartState::Failed:
        return "failed";
    case PartState::Stopped:
    case PartState::LeaseExpired:
        return "stopped";
    }
    return "";
}

bool EndpointStandin::holdsSlot(const Part &part)
{
    return part.state == PartState::Reserved || part.state == PartState::Running;
}

json EndpointStandin::document(const std::string &id, const Part &part)
{
    return {{"part", id}, {"job", part.job}, {"state", stateName(part.state)}, {"output", part.output}};
}

EndpointStandin::EndpointStandin(EventLoop &loop, EndpointStandinOptions options)
    : loop_(loop)
    , client_(loop)
    , options_(std::move(options))
    , faults_(
          loop,
          [this](const HttpRequest &request, const HttpResponder &respond) {
              serve(request, respond);
          },
          [this](const std::string &name, const json &value) {
              return setFault(name, value);
          })
{
}

void EndpointStandin::announceAs(const Address &self)
{
    self_ = self;
    announce();
    loop_.callEvery(announceInterval, [this] {
        announce();
    });
}

void EndpointStandin::announce()
{
    if (options_.agent.port == 0 || self_.port == 0 || !isAnnouncing_ || faults_.isFrozen()) {
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/endpoint";
    request.headers["content-type"] = "application/json";
    request.body = json {{"ip", self_.ip},
        {"port", self_.port},
        {"slots", options_.slots},
        {"connections", options_.connections},
        {"state", isLeaving_ ? "leaving" : "ready"}}
                       .dump();
    client_.send(options_.agent, request, announceTimeout, [](const HttpResult &) {});
}

void EndpointStandin::handle(const HttpRequest &request, const HttpResponder &respond)
{
    faults_.handle(request, respond);
}

FaultGate &EndpointStandin::faults()
{
    return faults_;
}

bool EndpointStandin::setFault(const std::string &name, const json &value)
{
    if (name == "state" && (value == "leaving" || value == "ready")) {
        isLeaving_ = value == "leaving";
        leavingSince_ = std::chrono::steady_clock::now();
        announce();
    } else if (name == "stop_announcing" && value.is_boolean()) {
        isAnnouncing_ = !value.get<bool>();
        announce();
    } else {
        return false;
    }
    return true;
}

void EndpointStandin::serve(const HttpRequest &request, const HttpResponder &respond)
{
    const std::vector<std::string> path = splitPath(request.path);
    if (path.size() >= 3 && path.at(0) == "v1" && path.at(1) == "parts") {
        try {
            servePart(path, request, respond);
        } catch (const json::exception &failure) {
            respond(errorResponse(400, "invalid", failure.what()));
        }
    } else if (request.method == "GET" && request.path == "/v1/parts") {
        respond(list());
    } else if (request.method == "GET" && request.path == "/v1/counts") {
        respond(counts());
    } else {
        respond(errorResponse(404, "not_found", request.path));
    }
}

void EndpointStandin::servePart(const std::vector<std::string> &path, const HttpRequest &request, const HttpResponder &respond)
{
    const std::string &id = path.at(2);
    const std::string action = path.size() == 4 ? path.at(3) : std::string();
    if (path.size() == 3 && request.method == "PUT") {
        reserve(id, parseBody(request), respond);
    } else if (path.size() == 3 && request.method == "GET" && parts_.count(id) != 0) {
        answerWhenFinished(id, queryDuration(request, "wait_ms"), respond);
    } else if (path.size() == 3 && request.method == "DELETE") {
        remove(id, respond);
    } else if (request.method == "POST" && action == "start") {
        start(id, parseBody(request), respond);
    } else if (request.method == "POST" && action == "renew") {
        renew(id, parseBody(request), respond);
    } else {
        respond(errorResponse(404, "not_found", request.path));
    }
}

void EndpointStandin::reserve(const std::string &id, const json &body, const HttpResponder &respond)
{
    const auto existing = parts_.find(id);
    if (existing != parts_.end()) {
        if (existing->second.state == PartState::LeaseExpired || existing->second.state == PartState::Stopped) {
            respond(errorResponse(410, "lapsed", id));
            return;
        }
        setLease(id, existing->second, body);
        respond(standins::jsonResponse(200, document(id, existing->second)));
        return;
    }
    Part part;
    part.job = body.at("job").get<std::string>();
    part.kind = body.value("kind", "");
    part.input = body.value("input", "");
    if (usedSlots() >= options_.slots) {
        respond(errorResponse(503, "no_slot"));
        return;
    }
    if (isLeaving_) {
        ++reservedWhileLeaving_;
        lastReservedAfterLeaving_ = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - leavingSince_);
    }
    Part &added = parts_.emplace(id, std::move(part)).first->second;
    setLease(id, added, body);
    assert(usedSlots() <= options_.slots);
    respond(standins::jsonResponse(200, document(id, added)));
}

void EndpointStandin::setLease(const std::string &id, Part &part, const json &body)
{
    if (!holdsSlot(part) || !body.contains("lease_ms")) {
        return;
    }
    loop_.cancelTimer(part.leaseTimer);
    part.leaseTimer = loop_.callAfter(Milliseconds(body.at("lease_ms").get<std::int64_t>()), [this, id] {
        finish(id, parts_.at(id).wasStarted ? PartState::Stopped : PartState::LeaseExpired);
    });
}

void EndpointStandin::start(const std::string &id, const json &body, const HttpResponder &respond)
{
    const auto found = parts_.find(id);
    if (found == parts_.end() || (!holdsSlot(found->second) && !found->second.wasStarted)) {
        respond(errorResponse(410, "lapsed", id));
        return;
    }
    Part &part = found->second;
    setLease(id, part, body);
    if (!part.wasStarted) {
        run(id, part);
    }
    answerWhenFinished(id, Milliseconds(body.value("wait_ms", std::int64_t(0))), respond);
}

void EndpointStandin::run(const std::string &id, Part &part)
{
    part.wasStarted = true;
    part.state = PartState::Running;
    ++starts_;
    ++startsOfJob_[part.job];
    ++startsOfPart_[id];
    const json settings = behaviour(part.input);
    const Milliseconds runTime(setting<std::int64_t>(settings, "run_ms", 0));
    const PartState finalState = setting(settings, "fail", false) ? PartState::Failed : PartState::Completed;
    if (runTime <= Milliseconds(0)) {
        finish(id, finalState);
        return;
    }
    part.runTimer = loop_.callAfter(runTime, [this, id, finalState] {
        finish(id, finalState);
    });
}

void EndpointStandin::finish(const std::string &id, PartState state)
{
    Part &part = parts_.at(id);
    if (!holdsSlot(part)) {
        return;
    }
    loop_.cancelTimer(part.leaseTimer);
    loop_.cancelTimer(part.runTimer);
    part.state = state;
    if (state == PartState::Completed) {
        part.output = output(part.input);
    }
    std::list<Waiter> ready;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        const auto current = waiter++;
        if (current->part == id) {
            ready.splice(ready.end(), waiters_, current);
        }
    }
    for (const Waiter &waiter : ready) {
        loop_.cancelTimer(waiter.timer);
        waiter.respond(standins::jsonResponse(200, document(id, part)));
    }
}

void EndpointStandin::answerWhenFinished(const std::string &id, Milliseconds wait, const HttpResponder &respond)
{
    const Part &part = parts_.at(id);
    if (!holdsSlot(part) || wait <= Milliseconds(0)) {
        respond(standins::jsonResponse(200, document(id, part)));
        return;
    }
    const auto waiter = waiters_.insert(waiters_.end(), {id, respond, 0});
    waiter->timer = loop_.callAfter(wait, [this, waiter] {
        const Waiter done = *waiter;
        waiters_.erase(waiter);
        done.respond(standins::jsonResponse(200, document(done.part, parts_.at(done.part))));
    });
}

void EndpointStandin::renew(const std::string &id, const json &body, const HttpResponder &respond)
{
    const auto found = parts_.find(id);
    if (found == parts_.end() || found->second.state == PartState::LeaseExpired) {
        respond(errorResponse(410, "lapsed", id));
        return;
    }
    setLease(id, found->second, body);
    respond(standins::jsonResponse(200, document(id, found->second)));
}

void EndpointStandin::remove(const std::string &id, const HttpResponder &respond)
{
    // An unknown part is stored as stopped, so that a late reservation of it is refused.
    Part stopped;
    stopped.state = PartState::Stopped;
    Part &part = parts_.try_emplace(id, stopped).first->second;
    finish(id, PartState::Stopped);
    respond(standins::jsonResponse(200, json {{"part", id}, {"ever_started", part.wasStarted}}));
}

int EndpointStandin::usedSlots() const
{
    return static_cast<int>(std::count_if(parts_.begin(), parts_.end(), [](const std::pair<const std::string, Part> &part) {
        return holdsSlot(part.second);
    }));
}

HttpResponse EndpointStandin::list() const
{
    json parts = json::array();
    for (const auto &[id, part] : parts_) {
        if (holdsSlot(part)) {
            parts.push_back(document(id, part));
        }
    }
    return standins::jsonResponse(200, json {{"parts", std::move(parts)}, {"slots", options_.slots}});
}

HttpResponse EndpointStandin::counts() const
{
    return standins::jsonResponse(200,
        json {{"started", startsOfJob_},
            {"started_parts", startsOfPart_},
            {"total", starts_},
            {"reserved_while_leaving", reservedWhileLeaving_},
            {"last_reserved_after_leaving_ms", lastReservedAfterLeaving_.count()}});
}

} // namespace knapweed::standins
