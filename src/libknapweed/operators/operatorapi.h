// The operators' HTTP interface to the configuration: read it, change it, see its history. Runs on the entry's loop and shares its fold.
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
    Milliseconds changeTimeout {10000}; ///< how long a change may wait to be read back from the log
};

struct OperatorApiHooks
{
    /// Appends a change to the log. False when it certainly won't be appended.
    std::function<bool(const ConfigurationRecord &)> append;
    /// Runs a callback once after a delay on the entry's loop.
    std::function<void(Milliseconds, std::function<void()>)> callAfter;
    /// Further checks of a well-formed configuration, such as whether its guarantees fit the fleet together; one line for each fault. May be empty.
    std::function<std::vector<std::string>(const Configuration &)> check;
};

/// Loop thread only. Must outlive the callbacks that it gave to callAfter.
class OperatorApi
{
public:
    OperatorApi(const ConfigurationFold &fold, OperatorApiOptions options, OperatorApiHooks hooks);

    /// Answers requests under /v1/configuration, at once or once their change has been read back. False for any other path: then it did nothing.
    bool handle(const HttpRequest &request, const HttpResponder &respond);

    /// To be called after each configuration record of the log that the fold has applied, with what the fold said of it.
    void recordApplied(const ConfigurationRecord &record, ConfigurationFold::Verdict verdict);

    /// Whether @p request bears the operators' token. Compares in constant time.
    bool isAuthorized(const HttpRequest &request) const;

    /// Changes that wait to be read back.
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
    std::map<std::uint64_t, Waiter> waiters_; ///< invariant: each is answered exactly once, and removed before it is
    std::uint64_t nextWaiter_ = 1;
};

/// The answer to a request without the right token; says nothing of the token found.
HttpResponse unauthorizedResponse();

} // namespace knapweed
