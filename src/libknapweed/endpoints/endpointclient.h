// Client of the endpoint's HTTP interface. Converts the core's calls to HTTP requests, and HTTP responses and errors to the core's typed answers.
#pragma once

#include "base/httpclient.h"
#include "gangs/actions.h"

#include <functional>

namespace knapweed
{

class EndpointClient
{
public:
    /// Each call takes at most @p timeout plus the wait time that a Start or Watch call requests.
    EndpointClient(HttpClient &http, Milliseconds timeout);

    /// @p callback runs exactly once, on the event loop's thread.
    void perform(const gangs::EndpointCall &call, std::function<void(gangs::EndpointAnswer)> callback);

private:
    HttpClient &http_;
    Milliseconds timeout_;
};

/// Returns the HTTP request for @p call.
HttpRequest endpointRequest(const gangs::EndpointCall &call);

/// Converts @p result to the answer to @p call. Never throws: an invalid response is treated like a missing one.
gangs::EndpointAnswer endpointAnswer(const gangs::EndpointCall &call, const HttpResult &result);

} // namespace knapweed
