// An HTTP/1.1 server on an event loop, which can also accept WebSocket connections of peers on the same port.
#pragma once

#include "base/address.h"
#include "base/connectionbudget.h"
#include "base/eventloop.h"
#include "base/http.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace knapweed
{

/// Sends the answer. May be called once, at once or later, on the loop's thread. It does nothing when the caller has gone.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &request, HttpResponder respond)>;

/// The hooks of the "knapweed-peer" WebSocket subprotocol; PeerNetwork sets them. A connection is known by its number.
struct WebSocketHooks
{
    std::function<void(std::uint64_t connection)> opened;
    std::function<void(std::uint64_t connection, std::string message)> received;
    std::function<void(std::uint64_t connection)> closed;
};

struct HttpServerOptions
{
    std::size_t maximumBodyBytes = 1 << 20; ///< larger bodies are answered with 413
    Seconds idleTimeout {60}; ///< for a connection between requests, and for a request or response without any progress
    Seconds headTimeout {30}; ///< from the acceptance of a connection to the end of its first request head, with a budget
    Seconds stallTimeout {10}; ///< for a body or response without noticeable progress, with a budget
    Seconds bodyTimeout {60}; ///< for a whole body, with a budget
    std::shared_ptr<ConnectionBudget> budget = nullptr; ///< shared with other servers of the loop; without one nothing is limited
    std::shared_ptr<ConnectionBudget> peerBudget = nullptr; ///< for WebSocket connections
    std::function<bool(const HttpRequest &head)> keepsBody = nullptr; ///< whether the handler needs the body; by default it does
};

class HttpServer
{
public:
    /// Listens on @p listen; port 0 takes any free port. listening() is false when the port can't be had.
    HttpServer(EventLoop &loop, const Address &listen, HttpHandler handler, HttpServerOptions options = {}, WebSocketHooks hooks = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    bool isListening() const;
    Address address() const;

    /// Requests received and not yet answered in full.
    std::size_t openRequests() const;
    /// Accepted connections of callers, with or without a request.
    std::size_t openConnections() const;
    /// Whether there are open requests, or bytes that have not been read.
    bool hasWaitingCallers() const;

    /// From now on each answer tells its caller to close the connection. New connections are still accepted.
    void closeConnectionsAfterAnswers();
    /// Stops accepting connections; open ones go on and are closed after their answer.
    void closeListener();

    /// Sends a binary message on an accepted WebSocket connection. Returns false when it is gone.
    bool sendWebSocket(std::uint64_t connection, const std::string &message);
    void closeWebSocket(std::uint64_t connection);

    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace knapweed
