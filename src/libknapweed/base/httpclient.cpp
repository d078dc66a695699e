// Each connection of the pool has a vhost of its own, because libwebsockets queues all requests of one vhost to one target behind each other.

#include "base/httpclient.h"

#include "base/httpclientslots.h"
#include "base/lwsrequest.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <strings.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweed
{

namespace
{

constexpr std::size_t writeChunkBytes = 65536;
constexpr unsigned int connectTimeoutSeconds = 24 * 3600; ///< each exchange has its own, shorter timer
constexpr std::uint16_t keepWarmSeconds = 4; ///< under the idle timeouts of usual servers, so that a request does not meet their end

int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length);

const std::array<lws_protocols, 2> clientProtocols {{
    {"http-client", clientCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

struct Exchange;

} // namespace

struct HttpClient::Private : std::enable_shared_from_this<HttpClient::Private>
{
    EventLoop *loop = nullptr;
    bool isDestroyed = false;
    HttpClientSlots slots;
    /// Each exchange until libwebsockets destroys its handle, also while the handle only keeps an idle connection.
    std::unordered_map<lws *, std::shared_ptr<Exchange>> handles;

    std::size_t takeSlot(const Address &target, HttpConnection connection);
    lws_vhost *createVhost(std::size_t place);
    void start(const std::shared_ptr<Exchange> &exchange);
    void forget(lws *wsi);
    void expire(const std::shared_ptr<Exchange> &exchange);
    void closeIdle(const Address &target);
};

namespace
{

/// One request and its answer. Kept until libwebsockets has let go of its handle.
struct Exchange
{
    std::weak_ptr<HttpClient::Private> client;
    std::size_t slot = 0;
    bool holdsSlot = true;
    Address target;
    HttpRequest request;
    HttpCallback callback; ///< empty once called
    TimerId timer = 0;
    lws *wsi = nullptr;
    bool isSent = false; ///< a byte of it may have left
    bool isLast = false; ///< the server closes the connection after this answer
    std::size_t bodyWritten = 0;
    HttpResponse response;
};

void finish(Exchange &exchange, HttpResult result)
{
    if (!exchange.callback) {
        return;
    }
    const HttpCallback callback = std::move(exchange.callback);
    exchange.callback = nullptr;
    const std::shared_ptr<HttpClient::Private> client = exchange.client.lock();
    if (client != nullptr && !client->isDestroyed) {
        client->loop->cancelTimer(exchange.timer);
        callback(std::move(result));
    }
}

void fail(Exchange &exchange, const std::string &detail)
{
    const HttpError::Kind kind = exchange.isSent ? HttpError::Kind::Interrupted : HttpError::Kind::NotSent;
    finish(exchange, HttpError {kind, detail});
}

/// libwebsockets never sends a DELETE on an idle connection, and one kept after it would only wait for its end.
bool canReuse(const HttpRequest &request)
{
    return request.method != "DELETE";
}

/// Frees the exchange's place in the pool for the next one.
void releaseSlot(Exchange &exchange)
{
    const std::shared_ptr<HttpClient::Private> client = exchange.client.lock();
    if (client != nullptr && exchange.holdsSlot) {
        exchange.holdsSlot = false;
        client->slots.put(exchange.slot);
    }
}

int appendHeaders(lws *wsi, Exchange &exchange, unsigned char **position, std::size_t room)
{
    if (!exchange.callback) {
        return -1; // reported as not sent: its time ended in the turn of the loop in which the connection opened
    }
    unsigned char *end = *position + room;
    for (const auto &[name, text] : exchange.request.headers) {
        if (!addHeader(wsi, name, text, position, end)) {
            return -1;
        }
    }
    const bool hasBody = !exchange.request.body.empty();
    if (hasBody || exchange.request.method != "GET") {
        if (!addHeader(wsi, "content-length", std::to_string(exchange.request.body.size()), position, end)) {
            return -1;
        }
    }
    if (hasBody) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    exchange.isSent = true;
    return 0;
}

int writeBody(lws *wsi, Exchange &exchange)
{
    const std::size_t total = exchange.request.body.size();
    if (exchange.bodyWritten >= total) {
        return 0;
    }
    const std::size_t length = std::min(writeChunkBytes, total - exchange.bodyWritten);
    std::string chunk(LWS_PRE, '\0');
    chunk.append(exchange.request.body, exchange.bodyWritten, length);
    const bool isLast = exchange.bodyWritten + length == total;
    unsigned char *bytes = reinterpret_cast<unsigned char *>(chunk.data()) + LWS_PRE;
    if (lws_write(wsi, bytes, length, isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < static_cast<int>(length)) {
        return -1;
    }
    exchange.bodyWritten += length;
    if (isLast) {
        lws_client_http_body_pending(wsi, 0);
    } else {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

void readResponseHead(lws *wsi, Exchange &exchange)
{
    struct ResponseHeader
    {
        const char *name;
        lws_token_indexes token;
    };
    static constexpr std::array<ResponseHeader, 3> headers {{
        {"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
        {"location", WSI_TOKEN_HTTP_LOCATION},
        {"retry-after", WSI_TOKEN_HTTP_RETRY_AFTER},
    }};
    exchange.isLast = strcasecmp(readToken(wsi, WSI_TOKEN_CONNECTION).c_str(), "close") == 0;
    exchange.response.status = static_cast<int>(lws_http_client_http_response(wsi));
    for (const ResponseHeader &header : headers) {
        if (lws_hdr_total_length(wsi, header.token) > 0) {
            exchange.response.headers[header.name] = readToken(wsi, header.token);
        }
    }
}

int readAvailable(lws *wsi)
{
    std::array<char, LWS_PRE + writeChunkBytes> buffer;
    char *position = buffer.data() + LWS_PRE;
    int length = static_cast<int>(buffer.size() - LWS_PRE);
    return lws_http_client_read(wsi, &position, &length) < 0 ? -1 : 0;
}

/// The connection becomes idle only after its callback has returned, so the place is freed after that.
void releaseLater(Exchange &exchange)
{
    const std::shared_ptr<HttpClient::Private> client = exchange.client.lock();
    if (client == nullptr || client->handles.count(exchange.wsi) == 0) {
        return;
    }
    const std::shared_ptr<Exchange> kept = client->handles.at(exchange.wsi);
    client->loop->post([kept]() {
        releaseSlot(*kept);
    });
}

int serveExchange(lws *wsi, lws_callback_reasons reason, Exchange &exchange, void *in, std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return appendHeaders(wsi, exchange, static_cast<unsigned char **>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return writeBody(wsi, exchange);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        readResponseHead(wsi, exchange);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return readAvailable(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        exchange.response.body.append(static_cast<const char *>(in), length);
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        if (!exchange.isLast) {
            releaseLater(exchange);
        }
        finish(exchange, std::move(exchange.response));
        return exchange.isLast ? -1 : 0; // libwebsockets itself would use the connection again until it sees its end
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        fail(exchange, in == nullptr ? "connection failed" : std::string(static_cast<const char *>(in), length));
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        fail(exchange, "connection closed");
        return 0;
    default:
        return 0;
    }
}

int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length)
{
    if (wsi == nullptr || reason == LWS_CALLBACK_GET_THREAD_ID || reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED || reason == LWS_CALLBACK_PROTOCOL_INIT
        || reason == LWS_CALLBACK_PROTOCOL_DESTROY) {
        return 0;
    }
    if (reason == LWS_CALLBACK_WSI_DESTROY) {
        lws_vhost *vhost = lws_get_vhost(wsi);
        if (vhost != nullptr && lws_vhost_user(vhost) != nullptr) {
            static_cast<HttpClient::Private *>(lws_vhost_user(vhost))->forget(wsi);
        }
        return 0;
    }
    return user == nullptr ? 0 : serveExchange(wsi, reason, *static_cast<Exchange *>(user), in, length);
}

} // namespace

lws_vhost *HttpClient::Private::createVhost(std::size_t place)
{
    const std::string name = "client-" + std::to_string(reinterpret_cast<std::uintptr_t>(this)) + '-' + std::to_string(place);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = clientProtocols.data();
    info.vhost_name = name.c_str();
    info.user = this;
    info.connect_timeout_secs = connectTimeoutSeconds;
    return lws_create_vhost(loop->context(), &info);
}

std::size_t HttpClient::Private::takeSlot(const Address &target, HttpConnection connection)
{
    const std::size_t place = slots.take(target, connection == HttpConnection::New);
    if (slots[place].vhost == nullptr) {
        slots[place].vhost = createVhost(place);
    }
    return place;
}

void HttpClient::Private::start(const std::shared_ptr<Exchange> &exchange)
{
    lws_vhost *vhost = slots[exchange->slot].vhost;
    lws_client_connect_info info {};
    info.context = loop->context();
    info.vhost = vhost;
    info.address = exchange->target.ip.c_str();
    info.port = exchange->target.port;
    info.path = exchange->request.path.c_str();
    info.host = info.address; // libwebsockets finds an idle connection again by this name
    info.method = exchange->request.method.c_str();
    info.protocol = clientProtocols[0].name;
    info.local_protocol_name = clientProtocols[0].name;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT | (canReuse(exchange->request) ? LCCSCF_PIPELINE : 0);
    info.userdata = exchange.get();
    info.pwsi = &exchange->wsi;
    info.keep_warm_secs = keepWarmSeconds;
    lws *wsi = vhost == nullptr ? nullptr : lws_client_connect_via_info(&info);
    if (wsi != nullptr) {
        ++slots[exchange->slot].handles;
        handles[wsi] = exchange;
        return;
    }
    exchange->wsi = nullptr;
    loop->post([exchange]() {
        finish(*exchange, HttpError {HttpError::Kind::NotSent, "no connection could be opened", false, true});
        releaseSlot(*exchange);
    });
}

void HttpClient::Private::forget(lws *wsi)
{
    const auto found = handles.find(wsi);
    if (found == handles.end()) {
        return;
    }
    const std::shared_ptr<Exchange> exchange = found->second;
    handles.erase(found);
    exchange->wsi = nullptr;
    fail(*exchange, "connection closed");
    releaseSlot(*exchange);
    slots.dropHandle(exchange->slot);
}

void HttpClient::Private::expire(const std::shared_ptr<Exchange> &exchange)
{
    const HttpError::Kind kind = exchange->isSent ? HttpError::Kind::TimedOut : HttpError::Kind::NotSent;
    lws *wsi = exchange->wsi;
    if (kind == HttpError::Kind::TimedOut) {
        closeIdle(exchange->target);
    }
    finish(*exchange, HttpError {kind, "timed out", true});
    if (wsi != nullptr) {
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

/// Closes the idle connections to @p target: what silenced one connection may have silenced them too, and nothing but another time-out would show it.
void HttpClient::Private::closeIdle(const Address &target)
{
    if (!slots.beginClosing(target)) {
        return;
    }
    for (const auto &[wsi, exchange] : handles) {
        if (slots[exchange->slot].isClosing) {
            lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
    }
}

HttpClient::HttpClient(EventLoop &loop)
    : d_(std::make_shared<Private>())
{
    d_->loop = &loop;
    loop.retain(d_);
}

HttpClient::~HttpClient()
{
    d_->isDestroyed = true;
    // The loop retains d_ longer than what the callbacks own may live.
    for (const auto &[wsi, exchange] : d_->handles) {
        exchange->callback = nullptr;
    }
    for (const HttpClientSlot &slot : d_->slots.all()) {
        if (slot.vhost != nullptr) {
            lws_vhost_destroy(slot.vhost);
        }
    }
}

void HttpClient::send(const Address &target, HttpRequest request, Milliseconds timeout, HttpCallback callback, HttpConnection connection)
{
    const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
    exchange->client = d_;
    exchange->target = target;
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    exchange->slot = d_->takeSlot(target, connection);
    const std::weak_ptr<Exchange> waiting = exchange;
    exchange->timer = d_->loop->callAfter(timeout, [waiting]() {
        const std::shared_ptr<Exchange> late = waiting.lock();
        const std::shared_ptr<HttpClient::Private> client = late == nullptr ? nullptr : late->client.lock();
        if (client != nullptr) {
            client->expire(late);
        }
    });
    d_->start(exchange);
}

} // namespace knapweed
