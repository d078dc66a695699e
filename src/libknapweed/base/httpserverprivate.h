// The state of an HTTP server: its connections by libwebsockets handle, and its WebSocket connections by number. Used by httpserver.cpp,
// httpserverdrain.cpp and httpserverpeers.cpp only.
#pragma once

#include "base/httpserver.h"
#include "base/listener.h"
#include "base/websocketlink.h"

#include <libwebsockets.h>

#include <unordered_map>

namespace knapweed
{

/// One HTTP connection and the request that it carries.
struct HttpConnection
{
    /// Number of the open request; 0 between requests.
    std::uint64_t requestId = 0;
    HttpRequest request;
    std::uint64_t member = 0; ///< of the budget; 0 without one
    MonotonicTime startedAt; ///< of the connection, its open request, or the time between requests
    bool hasHadRequest = false;
    MonotonicTime lastProgress; ///< when bytes of the request came or bytes of the answer left
    bool isEvicted = false; ///< closed for others; it ends with the next events
    bool isBodyTooLarge = false;
    bool isOverloaded = false; ///< the body did not fit into the budget and is not kept
    bool isBodyComplete = false;
    bool isDispatched = false; ///< the handler, or a refusal, has the request
    bool isPaused = false; ///< not read from while its answer is awaited
    bool isAnswered = false; ///< output holds the whole answer
    bool closesAfterAnswer = false;
    HttpResponse response;
    std::string output; ///< head and body that are still to be written, after LWS_PRE bytes of room
    std::size_t written = 0; ///< bytes of output, without the room
};

struct PeerConnection
{
    lws *wsi = nullptr;
    std::uint64_t member = 0; ///< of the budget; 0 without one
    WebSocketLink link;
    bool isClosing = false;
};

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    EventLoop *loop = nullptr;
    HttpHandler handler;
    HttpServerOptions options;
    WebSocketHooks hooks;
    std::shared_ptr<MessageInbox> inbox; ///< of the WebSocket connections
    std::unique_ptr<Listener> listener;
    lws_vhost *vhost = nullptr;
    Address address;
    bool isDraining = false; ///< each connection closes after its answer
    bool isListenerClosed = false;
    bool isDestroyed = false; ///< the HttpServer is gone; callbacks only clean up

    std::unordered_map<lws *, HttpConnection> connections; ///< from their acceptance on
    /// Invariant: one entry for each connection whose requestId is not 0.
    std::unordered_map<std::uint64_t, lws *> requests;
    std::uint64_t lastRequestId = 0;

    std::unordered_map<std::uint64_t, PeerConnection> peers;
    std::unordered_map<lws *, std::uint64_t> peerNumbers;
    std::uint64_t lastPeer = 0;

    TimerId sweepTimer = 0;

    bool open(const Address &listen);
    int serve(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length);
    int serveHttp(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length);
    int servePeer(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length);

    void connectionAccepted(lws *wsi);
    void beginNext(HttpConnection &connection);
    bool isOverdue(const HttpConnection &connection, MonotonicTime now) const;
    void reportLimits(MonotonicTime now) const;
    bool chargeOutput(HttpConnection &connection);
    int beginRequest(lws *wsi, const std::string &path);
    int receiveBody(lws *wsi, const char *bytes, std::size_t length);
    int completeBody(lws *wsi);
    void dispatch(lws *wsi);
    void refuse(lws *wsi, int status, const std::string &code, const std::string &detail, bool closes);
    void answer(std::uint64_t requestId, HttpResponse response);
    int writeAnswer(lws *wsi);
    void awaitAnswer(lws *wsi);
    void resumeReading(lws *wsi, HttpConnection &connection);
    void sweep();
    int finishAnswer(lws *wsi);
    void forgetRequest(HttpConnection &connection);
    void forgetConnection(lws *wsi);

    int receivePeerMessage(lws *wsi, const char *bytes, std::size_t length);
    void endPeer(std::uint64_t number);
    void forgetPeer(lws *wsi);
};

} // namespace knapweed
