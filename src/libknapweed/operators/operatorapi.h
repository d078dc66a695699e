// The operators' HTTP interface for reading and changing the configuration and listing its history. Runs on the entry's event loop and shares its fold.
#pragma once

#include "base/clock.h"
#include "base/http.h"
#include "base/httpserver.h"
#include "operators/configurationfold.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace knapweed
{

struct OperatorApiOptions
{
    std::string operatorToken;
    Milliseconds changeTimeout {10000}; ///< time-out for reading a change back from the log
};

struct OperatorApiHooks
{
    /// Appends a change to the log. Returns false when the change is confirmed not to be appended.
    std::function<bool(const ConfigurationRecord &)> append;
    /// Calls a function once, after a delay, on the entry's event loop.
    std::function<void(Milliseconds, std::function<void()>)> callAfter;
    /// Further checks of a well-formed configuration, such as whether its guarantees fit the fleet. Returns one line per fault. May be unset.
    std::function<std::vector<std::string>(const Configuration &)> check;
};

/// Use from the event loop's thread only. Must outlive the callbacks passed to callAfter.
class OperatorApi
{
public:
    OperatorApi(const ConfigurationFold &fold, OperatorApiOptions options, OperatorApiHooks hooks);

    /// Responds to requests under /v1/configuration; a change gets its response when it has been read back. Returns false, without effect, for other paths.
    bool handle(const HttpRequest &request, const HttpResponder &respond);

    /// Must be called after each configuration record of the log that the fold has applied, with the fold's verdict.
    void recordApplied(const ConfigurationRecord &record, ConfigurationFold::Verdict verdict);

    /// Whether @p request carries the operators' token. The comparison takes constant time.
    bool isAuthorized(const HttpRequest &request) const;

    /// The number of changes that have not been read back yet.
    std::size_t pendingChanges() const;

private:
    struct Waiter
    {
        std::string changeId;
        HttpResponder respond;
    };

    void change(const HttpRequest &request, const HttpResponder &respond);
    void appendChange(const ConfigurationRecord &record, const HttpResponder &respond);
    void expire(std::uint64_t waiter);
    void answer(const std::string &changeId, const HttpResponse &response);
    HttpResponse staleResponse() const;

    const ConfigurationFold &fold_;
    OperatorApiOptions options_;
    OperatorApiHooks hooks_;
    std::map<std::uint64_t, Waiter> waiters_; ///< invariant: each gets exactly one response, and is removed before it
    std::uint64_t nextWaiter_ = 1;
};

/// The response to a request without the operators' token. Does not include the token found.
HttpResponse unauthorizedResponse();

} // namespace knapweed
