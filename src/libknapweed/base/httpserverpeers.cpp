// The WebSocket connections that an HTTP server has accepted.

#include "base/httpserverprivate.h"

#include <utility>

namespace knapweed
{

int HttpServer::Private::servePeer(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length)
{
    if (reason == LWS_CALLBACK_ESTABLISHED) {
        const lws_protocols *protocol = lws_get_protocol(wsi);
        if (isDestroyed || !hooks.opened || protocol == nullptr || std::string(protocol->name) != peerProtocol) {
            return -1;
        }
        forgetConnection(wsi);
        const std::uint64_t number = ++lastPeer;
        peers[number].wsi = wsi;
        peerNumbers[wsi] = number;
        hooks.opened(number);
        return 0;
    }
    if (reason == LWS_CALLBACK_RECEIVE) {
        return receivePeerMessage(wsi, bytes, length);
    }
    if (reason == LWS_CALLBACK_SERVER_WRITEABLE) {
        PeerConnection &peer = peers.at(peerNumbers.at(wsi));
        return !peer.isClosing && writeMessages(wsi, peer.link) ? 0 : -1;
    }
    if (reason == LWS_CALLBACK_CLOSED || reason == LWS_CALLBACK_WSI_DESTROY) {
        forgetPeer(wsi);
    }
    return 0;
}

int HttpServer::Private::receivePeerMessage(lws *wsi, const char *bytes, std::size_t length)
{
    const std::uint64_t number = peerNumbers.at(wsi);
    PeerConnection &peer = peers.at(number);
    if (isDestroyed || peer.isClosing) {
        return -1;
    }
    const Fragment fragment = receiveFragment(wsi, peer.link, bytes, length);
    if (fragment == Fragment::TooLarge) {
        return -1;
    }
    if (fragment == Fragment::Final) {
        std::string message;
        message.swap(peer.link.incoming);
        inbox->add(number, std::move(message));
    }
    return 0;
}

void HttpServer::Private::forgetPeer(lws *wsi)
{
    const auto found = peerNumbers.find(wsi);
    if (found == peerNumbers.end()) {
        return;
    }
    const std::uint64_t number = found->second;
    peerNumbers.erase(found);
    peers.erase(number);
    if (!isDestroyed && hooks.closed) {
        hooks.closed(number);
    }
}

bool HttpServer::sendWebSocket(std::uint64_t connection, const std::string &message)
{
    const auto found = d_->peers.find(connection);
    return found != d_->peers.end() && !found->second.isClosing && queueMessage(found->second.wsi, found->second.link, message);
}

void HttpServer::closeWebSocket(std::uint64_t connection)
{
    const auto found = d_->peers.find(connection);
    if (found != d_->peers.end() && !found->second.isClosing) {
        found->second.isClosing = true;
        lws_set_timeout(found->second.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

} // namespace knapweed
