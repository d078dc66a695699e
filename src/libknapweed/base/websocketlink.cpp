// Reassembly and writing of WebSocket messages over libwebsockets.

#include "base/websocketlink.h"

#include <libwebsockets.h>

namespace knapweed
{

namespace
{

constexpr int messagesPerTurn = 64; ///< so that one connection does not starve the others

}

MessageInbox::MessageInbox(EventLoop &loop, std::function<void(std::uint64_t connection, std::string message)> deliver)
    : loop_(loop)
    , deliver_(std::move(deliver))
{
}

void MessageInbox::add(std::uint64_t connection, std::string message)
{
    messages_.emplace_back(connection, std::move(message));
    if (messages_.size() > 1) {
        return;
    }
    loop_.post([inbox = weak_from_this()]() {
        if (const std::shared_ptr<MessageInbox> live = inbox.lock()) {
            live->deliverAll();
        }
    });
}

void MessageInbox::deliverAll()
{
    // A receiver may close the inbox; what comes meanwhile is posted anew.
    std::deque<std::pair<std::uint64_t, std::string>> messages;
    messages.swap(messages_);
    for (auto &[connection, message] : messages) {
        if (deliver_) {
            deliver_(connection, std::move(message));
        }
    }
}

void MessageInbox::close()
{
    deliver_ = nullptr;
    messages_.clear();
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
