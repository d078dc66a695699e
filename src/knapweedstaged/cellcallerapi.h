// Callers' HTTP interface of the cell: finds the queue by host and path, checks the API key, and relays calls to the scheduler. The scheduler refuses what was
// admitted by an older configuration than its own; such a call is admitted anew once this process has the newer one.
#pragma once

#include "base/http.h"
#include "base/httpserver.h"
#include "callrelay.h"
#include "cell/configuration.h"

#include <functional>
#include <memory>

namespace knapweed
{

class CellCallerApi
{
public:
    /// @p isConfirmed says whether the store has lately answered that the configuration is the newest one.
    CellCallerApi(const cell::CellConfiguration &configuration, CallRelay &relay, std::function<bool()> isConfirmed);

    void handle(const HttpRequest &request, const HttpResponder &respond);

    /// Whether the body of a request with this head is used; else it need not be kept.
    bool needsBody(const HttpRequest &request) const;

private:
    /// A caller's request until it is answered.
    struct OpenCall
    {
        HttpRequest request;
        HttpResponder respond;
        MonotonicTime arrivedAt;
    };
    using OpenCallPointer = std::shared_ptr<const OpenCall>;

    void admit(const OpenCallPointer &open);
    void submit(const cell::Queue &queue, const std::string &account, const std::string &job, const OpenCallPointer &open);
    void refuse(const OpenCallPointer &open, HttpResponse response);
    void relay(wire::JobCall call, const OpenCallPointer &open);

    const cell::CellConfiguration &configuration_; ///< always the newest configuration of this process
    std::function<bool()> isConfirmed_;
    CallRelay &relay_;
};

} // namespace knapweed
