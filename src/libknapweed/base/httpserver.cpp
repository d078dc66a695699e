// Every connection's state by its libwebsockets handle. A responder names its request by number, so that an answer to a caller that has gone finds
// nothing and does nothing.

#include "base/httpserver.h"

#include "base/httpserverprivate.h"
#include "base/invariant.h"
#include "base/lwsrequest.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace knapweed
{

namespace
{

constexpr std::size_t writeChunkBytes = 65536;
constexpr Milliseconds sweepInterval {250};
constexpr std::size_t discardLimitBytes = std::size_t(64) << 20; ///< a refused body up to this is read, so that the refusal reaches its sender

int serverCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length);

const std::array<lws_protocols, 4> serverProtocols {{
    {"http", serverCallback, 0, 0, 0, nullptr, 0},
    {peerProtocol, serverCallback, 0, receiveBufferBytes, 0, nullptr, 0},
    {listenerProtocol, serverCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

} // namespace

namespace
{

bool isStatusless(lws_callback_reasons reason)
{
    return reason == LWS_CALLBACK_GET_THREAD_ID || reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED || reason == LWS_CALLBACK_PROTOCOL_INIT
        || reason == LWS_CALLBACK_PROTOCOL_DESTROY;
}

int serverCallback(lws *wsi, lws_callback_reasons reason, void *, void *in, size_t length)
{
    if (isStatusless(reason)) {
        return 0;
    }
    const lws_protocols *protocol = lws_get_protocol(wsi);
    if (protocol != nullptr && std::string(protocol->name) == listenerProtocol) {
        return listenerCallback(wsi, reason);
    }
    // Not by the connection's vhost: libwebsockets binds it anew by the Host header, which may give that of another server of this loop.
    HttpServer::Private *server = static_cast<HttpServer::Private *>(lws_get_opaque_user_data(wsi));
    return server == nullptr ? 0 : server->serve(wsi, reason, static_cast<const char *>(in), length);
}

} // namespace

bool HttpServer::Private::open(const Address &listen)
{
    listener = std::make_unique<Listener>(listen);
    address = listener->address();
    if (address.port == 0) {
        return false;
    }
    const std::string name = "server-" + toString(address);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = serverProtocols.data();
    info.vhost_name = name.c_str();
    info.user = this;
    info.keepalive_timeout = static_cast<int>(options.idleTimeout.count());
    vhost = lws_create_vhost(loop->context(), &info);
    Private *server = this;
    const auto accepted = [server](lws *wsi) {
        server->connectionAccepted(wsi);
    };
    const auto admits = [server]() {
        return server->options.budget == nullptr || server->options.budget->makeRoomForConnection();
    };
    if (vhost == nullptr || !listener->attach(vhost, this, admits, accepted)) {
        address.port = 0;
        return false;
    }
    sweepTimer = loop->callEvery(sweepInterval, [server]() {
        server->sweep();
    });
    return true;
}

int HttpServer::Private::serve(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length)
{
    const bool isPeer = peerNumbers.count(wsi) != 0 || reason == LWS_CALLBACK_ESTABLISHED;
    return isPeer ? servePeer(wsi, reason, bytes, length) : serveHttp(wsi, reason, bytes, length);
}

int HttpServer::Private::serveHttp(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return beginRequest(wsi, std::string(bytes, length));
    case LWS_CALLBACK_HTTP_BODY:
        return receiveBody(wsi, bytes, length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return completeBody(wsi);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return writeAnswer(wsi);
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
        return hooks.opened && !isDestroyed ? 0 : -1;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        forgetConnection(wsi);
        return 0;
    default:
        return 0;
    }
}

int HttpServer::Private::beginRequest(lws *wsi, const std::string &path)
{
    if (isDestroyed) {
        return -1;
    }
    HttpConnection &connection = connections[wsi];
    if (connection.requestId != 0 || connection.isEvicted) {
        return -1;
    }
    beginNext(connection);
    connection.hasHadRequest = true;
    connection.requestId = ++lastRequestId;
    requests[connection.requestId] = wsi;
    connection.request = readRequestHead(wsi, path);
    connection.closesAfterAnswer = isDraining;
    connection.request.isBodyDropped = options.keepsBody && !options.keepsBody(connection.request);
    const std::size_t bodyBytes = declaredBodyBytes(wsi);
    connection.isBodyTooLarge = bodyBytes > options.maximumBodyBytes;
    if (options.budget != nullptr) {
        // A request without a body to keep, such as a readiness check, is served all the same.
        const bool fits = options.budget->reserve(connection.member, pendingInputBytes);
        connection.isOverloaded = !fits && bodyBytes > 0 && !connection.request.isBodyDropped;
    }
    if (hasChunkedBody(wsi)) {
        refuse(wsi, 411, "length_required", "bodies need a content-length; chunked bodies are not read", true);
    } else if (bodyBytes > discardLimitBytes) {
        refuse(wsi, 413, "body_too_large", "the body may have at most " + std::to_string(options.maximumBodyBytes) + " bytes", true);
    } else if (bodyBytes == 0) {
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        dispatch(wsi);
    }
    return 0;
}

int HttpServer::Private::receiveBody(lws *wsi, const char *bytes, std::size_t length)
{
    const auto found = connections.find(wsi);
    if (found == connections.end()) {
        return 0;
    }
    HttpConnection &connection = found->second;
    connection.lastProgress = std::chrono::steady_clock::now();
    if (options.budget != nullptr) {
        options.budget->moved(connection.member, length, connection.lastProgress);
    }
    if (connection.isDispatched || connection.isBodyTooLarge || connection.isOverloaded || connection.request.isBodyDropped) {
        return 0;
    }
    std::string &body = connection.request.body;
    if (body.size() + length > options.maximumBodyBytes) {
        connection.isBodyTooLarge = true;
        return 0;
    }
    if (options.budget != nullptr && !options.budget->reserve(connection.member, length)) {
        std::string().swap(body);
        options.budget->releaseAll(connection.member);
        connection.isOverloaded = true;
        return 0;
    }
    if (body.empty()) {
        // In one piece: growing would take up to three times as much. The kernel provides the memory only where it is written to.
        body.reserve(std::min(declaredBodyBytes(wsi), options.maximumBodyBytes));
    }
    body.append(bytes, length);
    return 0;
}

int HttpServer::Private::completeBody(lws *wsi)
{
    const auto found = connections.find(wsi);
    if (found == connections.end() || found->second.isBodyComplete) {
        // Bytes after the body, sent before the answer: libwebsockets would call this again and again.
        return -1;
    }
    found->second.isBodyComplete = true;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    dispatch(wsi);
    return 0;
}

void HttpServer::Private::dispatch(lws *wsi)
{
    const auto found = connections.find(wsi);
    if (found == connections.end() || found->second.requestId == 0 || found->second.isDispatched) {
        return;
    }
    HttpConnection &connection = found->second;
    if (connection.isBodyTooLarge) {
        refuse(wsi, 413, "body_too_large", "the body may have at most " + std::to_string(options.maximumBodyBytes) + " bytes", false);
        return;
    }
    if (connection.isOverloaded) {
        refuse(wsi, 503, "overloaded", "the process holds as many requests as its memory allows", false);
        return;
    }
    if (connection.request.method.empty() || connection.request.method == "HEAD") {
        refuse(wsi, 405, "method_not_allowed", "the methods are GET, POST, PUT and DELETE", true);
        return;
    }
    connection.isDispatched = true;
    const HttpRequest request = std::move(connection.request);
    const std::uint64_t requestId = connection.requestId;
    const std::weak_ptr<Private> server = weak_from_this();
    std::shared_ptr<void> held; // the handler keeps the request as long as the responder
    if (options.budget != nullptr) {
        options.budget->progressed(connection.member, connection.lastProgress);
        options.budget->setProtected(connection.member, true);
        held = options.budget->takeBytes(connection.member);
    }
    handler(request, [server, requestId, held](HttpResponse response) {
        const std::shared_ptr<Private> live = server.lock();
        if (live != nullptr) {
            live->answer(requestId, std::move(response));
        }
    });
    awaitAnswer(wsi);
}

/// libwebsockets does not read from a connection whose answer is awaited, but polls it: whatever comes then, be it the end, would keep the loop
/// busy. So it is not polled either, and sweep() looks for callers that have gone.
void HttpServer::Private::awaitAnswer(lws *wsi)
{
    const auto found = connections.find(wsi);
    if (found != connections.end() && !found->second.isAnswered) {
        found->second.isPaused = true;
        lws_rx_flow_control(wsi, LWS_RXFLOW_REASON_APPLIES_DISABLE | LWS_RXFLOW_REASON_USER_BOOL | LWS_RXFLOW_REASON_FLAG_PROCESS_NOW);
    }
}

void HttpServer::Private::resumeReading(lws *wsi, HttpConnection &connection)
{
    if (connection.isPaused) {
        connection.isPaused = false;
        lws_rx_flow_control(wsi, LWS_RXFLOW_REASON_APPLIES_ENABLE | LWS_RXFLOW_REASON_USER_BOOL | LWS_RXFLOW_REASON_FLAG_PROCESS_NOW);
    }
}

void HttpServer::Private::refuse(lws *wsi, int status, const std::string &code, const std::string &detail, bool closes)
{
    HttpConnection &connection = connections.at(wsi);
    connection.isDispatched = true;
    connection.closesAfterAnswer = connection.closesAfterAnswer || closes;
    answer(connection.requestId, jsonResponse(status, R"({"error":")" + code + R"(","outcome":"not_run","detail":")" + detail + "\"}"));
}

void HttpServer::Private::answer(std::uint64_t requestId, HttpResponse response)
{
    const auto found = requests.find(requestId);
    if (isDestroyed || found == requests.end()) {
        return;
    }
    HttpConnection &connection = connections.at(found->second);
    assertInvariant(connection.requestId == requestId, "a request's connection carries that request");
    if (connection.isAnswered) {
        return;
    }
    connection.isAnswered = true;
    connection.lastProgress = std::chrono::steady_clock::now();
    connection.closesAfterAnswer = connection.closesAfterAnswer || isDraining;
    connection.response = std::move(response);
    if (!chargeOutput(connection)) {
        connection.response = HttpResponse();
        connection.isAnswered = false;
        connection.isEvicted = true;
        lws_set_timeout(found->second, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        return;
    }
    resumeReading(found->second, connection); // a connection that is not polled for reading isn't offered for writing
    lws_callback_on_writable(found->second);
}

int HttpServer::Private::writeAnswer(lws *wsi)
{
    const auto found = connections.find(wsi);
    if (found == connections.end() || !found->second.isAnswered) {
        return 0;
    }
    HttpConnection &connection = found->second;
    if (connection.output.empty()) {
        connection.output.assign(LWS_PRE, '\0');
        if (!appendResponseHead(wsi, connection.response, connection.closesAfterAnswer, connection.output)) {
            return -1;
        }
        connection.output += connection.response.body;
        connection.response = HttpResponse();
    }
    const std::size_t total = connection.output.size() - LWS_PRE;
    if (connection.written < total) {
        const std::size_t length = std::min(writeChunkBytes, total - connection.written);
        unsigned char *chunk = reinterpret_cast<unsigned char *>(connection.output.data()) + LWS_PRE + connection.written;
        if (lws_write(wsi, chunk, length, LWS_WRITE_HTTP_HEADERS) < static_cast<int>(length)) {
            return -1;
        }
        connection.written += length;
        connection.lastProgress = std::chrono::steady_clock::now();
        if (options.budget != nullptr) {
            options.budget->moved(connection.member, length, connection.lastProgress);
        }
    }
    if (connection.written < total || lws_partial_buffered(wsi) != 0) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    return finishAnswer(wsi);
}

int HttpServer::Private::finishAnswer(lws *wsi)
{
    HttpConnection &connection = connections.at(wsi);
    const bool closes = connection.closesAfterAnswer;
    forgetRequest(connection);
    beginNext(connection);
    if (closes) {
        return -1;
    }
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void HttpServer::Private::forgetRequest(HttpConnection &connection)
{
    requests.erase(connection.requestId);
    connection.requestId = 0;
}

void HttpServer::Private::forgetConnection(lws *wsi)
{
    const auto found = connections.find(wsi);
    if (found != connections.end()) {
        forgetRequest(found->second);
        if (options.budget != nullptr) {
            options.budget->leave(found->second.member);
        }
        connections.erase(found);
    }
}

HttpServer::HttpServer(EventLoop &loop, const Address &listen, HttpHandler handler, HttpServerOptions options, WebSocketHooks hooks)
    : d_(std::make_shared<Private>())
{
    d_->loop = &loop;
    d_->handler = std::move(handler);
    d_->options = std::move(options);
    d_->hooks = std::move(hooks);
    Private *server = d_.get();
    d_->inbox = std::make_shared<MessageInbox>(loop, [server](std::uint64_t number, std::string message) {
        server->hooks.received(number, std::move(message));
    });
    loop.retain(d_);
    d_->open(listen);
}

HttpServer::~HttpServer()
{
    d_->isDestroyed = true;
    d_->loop->cancelTimer(d_->sweepTimer);
    d_->listener->close();
    // The loop retains d_ longer than what the caller's functions own may live.
    d_->handler = nullptr;
    d_->inbox->close();
    d_->hooks = {};
    if (d_->vhost != nullptr) {
        lws_vhost_destroy(d_->vhost);
    }
}

Address HttpServer::address() const
{
    return d_->address;
}

} // namespace knapweed
