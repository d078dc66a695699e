// Reassembly and writing of WebSocket messages over libwebsockets.

#include "base/websocketlink.h"

#include <libwebsockets.h>

namespace knapweed
{

namespace
{

constexpr int messagesPerTurn = 64; ///< so that one connection does not starve the others

}

Fragment receiveFragment(lws *wsi, WebSocketLink &link, const char *bytes, std::size_t length)
{
    if (link.incoming.size() + length > webSocketMessageLimit) {
        return Fragment::TooLarge;
    }
    link.incoming.append(bytes, length);
    const bool isFinal = lws_is_final_fragment(wsi) != 0 && lws_remaining_packet_payload(wsi) == 0;
    return isFinal ? Fragment::Final : Fragment::Partial;
}

bool queueMessage(lws *wsi, WebSocketLink &link, const std::string &message)
{
    const std::size_t bytes = LWS_PRE + message.size();
    if (link.outgoingBytes + bytes > webSocketQueueLimit) {
        return false;
    }
    std::string padded;
    padded.reserve(bytes);
    padded.append(LWS_PRE, '\0');
    padded.append(message);
    link.outgoing.push_back(std::move(padded));
    link.outgoingBytes += bytes;
    lws_callback_on_writable(wsi);
    return true;
}

bool writeMessages(lws *wsi, WebSocketLink &link)
{
    for (int written = 0; written < messagesPerTurn && !link.outgoing.empty(); ++written) {
        if (written > 0 && lws_send_pipe_choked(wsi) != 0) {
            break;
        }
        std::string message = std::move(link.outgoing.front());
        link.outgoing.pop_front();
        link.outgoingBytes -= message.size();
        unsigned char *payload = reinterpret_cast<unsigned char *>(message.data()) + LWS_PRE;
        const std::size_t length = message.size() - LWS_PRE;
        if (lws_write(wsi, payload, length, LWS_WRITE_BINARY) < static_cast<int>(length)) {
            return false;
        }
    }
    if (!link.outgoing.empty()) {
        lws_callback_on_writable(wsi);
    }
    return true;
}

} // namespace knapweed
