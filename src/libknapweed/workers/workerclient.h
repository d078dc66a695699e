// Client of the worker's HTTP interface. Converts the core's calls to HTTP requests, and HTTP responses and errors to the core's typed answers.
#pragma once

#include "base/httpclient.h"
#include "gangs/actions.h"

#include <functional>

namespace knapweed
{

class WorkerClient
{
public:
    /// Each call takes at most @p timeout.
    WorkerClient(HttpClient &http, Address worker, Milliseconds timeout);

    /// @p callback runs exactly once, on the event loop's thread.
    void perform(const gangs::WorkerCall &call, std::function<void(gangs::WorkerAnswer)> callback);

private:
    HttpClient &http_;
    Address worker_;
    Milliseconds timeout_;
};

/// Returns the HTTP request for @p call.
HttpRequest workerRequest(const gangs::WorkerCall &call);

/// Converts @p result to the answer to @p call. Never throws: an invalid response is treated like a missing one.
gangs::WorkerAnswer workerAnswer(const gangs::WorkerCall &call, const HttpResult &result);

} // namespace knapweed
