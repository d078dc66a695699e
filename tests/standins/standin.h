// Shared parts of the platform's test stand-ins: HTTP and JSON helpers, and faults that tests can inject.
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

/// Returns the body as a JSON object. An empty body yields an empty object, and a body that is not a JSON object yields null.
nlohmann::json parseBody(const HttpRequest &request);

/// Splits a path: "/v1/leases/l-1/start" -> {"v1", "leases", "l-1", "start"}
std::vector<std::string> splitPath(const std::string &path);

/// Returns an integer query parameter, or @p fallback if the parameter is missing or not an integer.
std::int64_t queryNumber(const HttpRequest &request, const std::string &name, std::int64_t fallback);

/// Returns a query parameter as a duration in milliseconds, or zero if the parameter is missing or not an integer.
Milliseconds queryDuration(const HttpRequest &request, const std::string &name);

/// Serves POST /v1/faults and applies the faults that are common to all roles before a request reaches the role:
/// {"down":true} answers requests with status 503 without processing them; {"delay_ms":n} delays the processing of each request by n ms;
/// {"lose_acknowledgements":n} processes the next n requests that are not GET requests but never answers them; {"freeze":true} holds requests
/// until {"freeze":false}, which processes all of them.
class FaultGate
{
public:
    /// Sets a fault specific to the role. Returns false if the fault is unknown or the value has the wrong type.
    using RoleFault = std::function<bool(const std::string &name, const nlohmann::json &value)>;

    FaultGate(EventLoop &loop, HttpHandler role, RoleFault roleFault);

    void handle(const HttpRequest &request, const HttpResponder &respond);

    /// Sets the faults as POST /v1/faults does. Returns the name of the first fault that is unknown or has the wrong type, or an empty string if
    /// there is none.
    std::string setFaults(const nlohmann::json &faults);

    bool isFrozen() const;

private:
    bool setFault(const std::string &name, const nlohmann::json &value);
    void serve(const HttpRequest &request, const HttpResponder &respond);
    void processFrozenRequests();

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
