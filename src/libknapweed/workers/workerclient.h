// The client of the worker's HTTP interface: turns the core's calls into requests, and answers and errors into the core's typed answers.
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

    /// @p callback runs exactly once, on the loop's thread.
    void perform(const gangs::WorkerCall &call, std::function<void(gangs::WorkerAnswer)> callback);

private:
    HttpClient &http_;
    Address worker_;
    Milliseconds timeout_;
};

/// The request of @p call.
HttpRequest workerRequest(const gangs::WorkerCall &call);

/// What @p result means for @p call. Never throws; an answer that makes no sense counts as none.
gangs::WorkerAnswer workerAnswer(const gangs::WorkerCall &call, const HttpResult &result);

} // namespace knapweed
