// An HTTP/1.1 client on an event loop, with a pool of keep-alive connections for each target.
#pragma once

#include "base/address.h"
#include "base/eventloop.h"
#include "base/http.h"
#include "base/result.h"

#include <functional>
#include <memory>
#include <string>

namespace knapweed
{

struct HttpError
{
    enum class Kind {
        NotSent, ///< no byte of the request left: it certainly had no effect
        Interrupted, ///< sent in part or in full, then the connection failed: it may have had an effect
        TimedOut, ///< as Interrupted, after the time allowed
    };
    Kind kind = Kind::NotSent;
    std::string detail;
    bool isTimeout = false; ///< the time allowed was over; else the connection itself failed or was refused
    bool isLocal = false; ///< this process could not open a connection, for lack of a descriptor for example: nothing is known about the target
};

/// Whether a request may use an idle connection of the pool. An idle connection may have gone silent without an error; a new one shows that at once.
enum class HttpConnection { Any, New };

using HttpResult = Result<HttpResponse, HttpError>;
using HttpCallback = std::function<void(HttpResult)>;

class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends @p request; request.path may hold a query string. @p callback runs exactly once, on the loop's thread, at the latest after @p timeout,
    /// or never when the client is destroyed before.
    void send(const Address &target, HttpRequest request, Milliseconds timeout, HttpCallback callback, HttpConnection connection = HttpConnection::Any);

    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace knapweed
