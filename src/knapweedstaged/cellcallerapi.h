// Callers' HTTP interface of the cell: finds the queue by host and path, checks the API key, and relays calls to the scheduler.
#pragma once

#include "base/http.h"
#include "base/httpserver.h"
#include "callrelay.h"
#include "cell/configuration.h"

namespace knapweed
{

class CellCallerApi
{
public:
    CellCallerApi(const cell::CellConfiguration &configuration, CallRelay &relay);

    void handle(const HttpRequest &request, const HttpResponder &respond);

private:
    void submit(const cell::Queue &queue, const std::string &account, const std::string &job, const HttpRequest &request, const HttpResponder &respond);
    void relay(wire::JobCall call, const HttpRequest &request, const HttpResponder &respond);

    const cell::CellConfiguration &configuration_; ///< always the newest configuration of this process
    CallRelay &relay_;
};

} // namespace knapweed
