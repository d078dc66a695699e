// The WebSocket connections that an HTTP server has accepted.

#include "base/httpserverprivate.h"

#include <chrono>
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
        if (options.peerBudget != nullptr) {
            if (!options.peerBudget->makeRoomForConnection()) {
                peers.erase(number);
                peerNumbers.erase(wsi);
                // Not by the result, after which libwebsockets would wait for the other side to close.
                lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
                return 0;
            }
            peers[number].member = options.peerBudget->join(std::chrono::steady_clock::now(), [this, number]() {
                endPeer(number);
            });
        }
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
    if (options.peerBudget != nullptr) {
        // Twice the size, for the growth of the message while it arrives.
        if (!options.peerBudget->reserve(peer.member, 2 * length)) {
            return -1;
        }
        options.peerBudget->moved(peer.member, length, std::chrono::steady_clock::now());
    }
    const Fragment fragment = receiveFragment(wsi, peer.link, bytes, length);
    if (fragment == Fragment::TooLarge) {
        return -1;
    }
    if (fragment == Fragment::Final) {
        std::string message;
        message.swap(peer.link.incoming);
        if (options.peerBudget != nullptr) {
            options.peerBudget->releaseAll(peer.member);
            options.peerBudget->progressed(peer.member, std::chrono::steady_clock::now());
            options.peerBudget->setProtected(peer.member, true); // PeerNetwork closes connections that don't introduce themselves
        }
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
    if (options.peerBudget != nullptr) {
        options.peerBudget->leave(peers.at(number).member);
    }
    peers.erase(number);
    if (!isDestroyed && hooks.closed) {
        hooks.closed(number);
    }
}

/// Gives up what the connection holds, and closes it.
void HttpServer::Private::endPeer(std::uint64_t number)
{
    const auto found = peers.find(number);
    if (found != peers.end() && !found->second.isClosing) {
        found->second.isClosing = true;
        std::string().swap(found->second.link.incoming);
        lws_set_timeout(found->second.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

bool HttpServer::sendWebSocket(std::uint64_t connection, const std::string &message)
{
    const auto found = d_->peers.find(connection);
    return found != d_->peers.end() && !found->second.isClosing && queueMessage(found->second.wsi, found->second.link, message);
}

void HttpServer::closeWebSocket(std::uint64_t connection)
{
    d_->endPeer(connection);
}

} // namespace knapweed
