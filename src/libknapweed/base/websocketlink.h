// The message queue and the reassembly of one WebSocket connection, the same for accepted and for opened connections.
#pragma once

#include "base/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

struct lws;

namespace knapweed
{

/// The subprotocol of the connections between the system's processes.
constexpr const char *peerProtocol = "knapweed-peer";

constexpr std::size_t receiveBufferBytes = 4096; ///< held by libwebsockets for each connection
constexpr std::size_t webSocketMessageLimit = std::size_t(16) << 20; ///< bytes of one message
constexpr std::size_t webSocketQueueLimit = std::size_t(64) << 20; ///< bytes that wait to be sent on one connection

struct WebSocketLink
{
    std::string incoming; ///< the fragments of a message that has not ended; at most webSocketMessageLimit
    std::deque<std::string> outgoing; ///< each with room in front for the frame's header
    std::size_t outgoingBytes = 0; ///< invariant: the sum of the sizes in outgoing, at most webSocketQueueLimit
};

/// Messages that have arrived and are handed over by the loop, not inside libwebsockets' callback: its receive buffer is shared by all connections of a
/// loop, so a receiver that begins an HTTP call would overwrite the messages that follow in it.
class MessageInbox : public std::enable_shared_from_this<MessageInbox>
{
public:
    MessageInbox(EventLoop &loop, std::function<void(std::uint64_t connection, std::string message)> deliver);

    void add(std::uint64_t connection, std::string message);

    /// Forgets all messages and delivers none any more.
    void close();

private:
    void deliverAll();

    EventLoop &loop_;
    std::function<void(std::uint64_t, std::string)> deliver_; ///< empty once closed
    std::deque<std::pair<std::uint64_t, std::string>> messages_; ///< not empty while a delivery is posted
};

enum class Fragment { Partial, Final, TooLarge };

/// Adds received bytes; after Final the whole message is in link.incoming.
Fragment receiveFragment(lws *wsi, WebSocketLink &link, const char *bytes, std::size_t length);

/// Queues @p message and asks for a turn to write. Returns false when the queue is full.
bool queueMessage(lws *wsi, WebSocketLink &link, const std::string &message);

/// Writes queued messages while the socket takes them. Returns false when the connection has failed.
bool writeMessages(lws *wsi, WebSocketLink &link);

} // namespace knapweed
