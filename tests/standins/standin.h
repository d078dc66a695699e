// What the stand-ins for the platform share: one interface for the program and for tests, JSON helpers, and the faults that a test can order.
#pragma once

#include "base/clock.h"
#include "base/eventloop.h"
#include "base/http.h"
#include "base/httpserver.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::standins
{

/// {"error":code,"detail":detail}
HttpResponse errorResponse(int status, const std::string &code, const std::string &detail = {});
HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// The body as a JSON object; an empty body is an empty object, anything else that is not an object gives null.
nlohmann::json parseBody(const HttpRequest &request);

/// "/v1/leases/l-1/start" -> {"v1", "leases", "l-1", "start"}
std::vector<std::string> splitPath(const std::string &path);

/// A number of the query, or @p otherwise when it is missing or not a number.
std::int64_t queryNumber(const HttpRequest &request, const std::string &name, std::int64_t otherwise);

/// A duration of the query in milliseconds, zero when it is missing.
Milliseconds queryDuration(const HttpRequest &request, const std::string &name);

/// Serves POST /v1/faults and puts the faults that every role has between the caller and the role:
/// {"down":true} answers 503 without effect; {"delay_ms":n} delays each request before its effect; {"lose_acknowledgements":n} lets the next n requests
/// that change something take effect and never answers them; {"freeze":true} keeps requests until {"freeze":false} and then serves them all.
class FaultGate
{
public:
    /// Takes one fault of the role itself; returns false when it does not know it.
    using RoleFault = std::function<bool(const std::string &name, const nlohmann::json &value)>;

    FaultGate(EventLoop &loop, HttpHandler role, RoleFault roleFault);

    void handle(const HttpRequest &request, const HttpResponder &respond);

    /// What POST /v1/faults does. Returns the name of the first fault that is unknown or has the wrong type, empty when there is none.
    std::string setFaults(const nlohmann::json &faults);

    bool isFrozen() const;

private:
    bool setFault(const std::string &name, const nlohmann::json &value);
    void serve(const HttpRequest &request, const HttpResponder &respond);
    void thaw();

    EventLoop &loop_;
    HttpHandler role_;
    RoleFault roleFault_;
    bool isDown_ = false;
    bool isFrozen_ = false;
    Milliseconds delay_ {0};
    int acknowledgementsToLose_ = 0;
    std::deque<std::pair<HttpRequest, HttpResponder>> frozen_;
};

} // namespace knapweed::standins
