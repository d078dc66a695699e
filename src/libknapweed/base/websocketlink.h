// The message queue and the reassembly of one WebSocket connection, the same for accepted and for opened connections.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

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

enum class Fragment { Partial, Final, TooLarge };

/// Adds received bytes; after Final the whole message is in link.incoming.
Fragment receiveFragment(lws *wsi, WebSocketLink &link, const char *bytes, std::size_t length);

/// Queues @p message and asks for a turn to write. Returns false when the queue is full.
bool queueMessage(lws *wsi, WebSocketLink &link, const std::string &message);

/// Writes queued messages while the socket takes them. Returns false when the connection has failed.
bool writeMessages(lws *wsi, WebSocketLink &link);

} // namespace knapweed
