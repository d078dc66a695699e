// The client of the endpoint's HTTP interface: turns the core's calls into requests, and answers and errors into the core's typed answers.
#pragma once

#include "base/httpclient.h"
#include "gangs/actions.h"

#include <functional>

namespace knapweed
{

class EndpointClient
{
public:
    /// Each call takes at most @p timeout, and the time that the endpoint is asked to wait on top of it.
    EndpointClient(HttpClient &http, Milliseconds timeout);

    /// @p callback runs exactly once, on the loop's thread.
    void perform(const gangs::EndpointCall &call, std::function<void(gangs::EndpointAnswer)> callback);

private:
    HttpClient &http_;
    Milliseconds timeout_;
};

/// The request of @p call.
HttpRequest endpointRequest(const gangs::EndpointCall &call);

/// What @p result means for @p call. Never throws; an answer that makes no sense counts as none.
gangs::EndpointAnswer endpointAnswer(const gangs::EndpointCall &call, const HttpResult &result);

} // namespace knapweed
