// Opens WebSocket connections of the "knapweed-peer" subprotocol on an event loop.
#pragma once

#include "base/address.h"
#include "base/eventloop.h"
#include "base/httpserver.h"

#include <cstdint>
#include <memory>
#include <string>

namespace knapweed
{

class WebSocketClient
{
public:
    /// hooks.closed runs exactly once for each connect(), also when the connection never opened; no hook runs inside a call of this class.
    WebSocketClient(EventLoop &loop, WebSocketHooks hooks);
    ~WebSocketClient();
    WebSocketClient(const WebSocketClient &) = delete;
    WebSocketClient &operator=(const WebSocketClient &) = delete;

    /// Begins to connect and returns the connection's number.
    std::uint64_t connect(const Address &target);

    /// Sends a binary message. Returns false when the connection is not open or its queue is full.
    bool send(std::uint64_t connection, const std::string &message);

    void close(std::uint64_t connection);

    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace knapweed
