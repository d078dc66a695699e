// One vhost for all connections that are opened. A connection stays in the table until libwebsockets has let go of it.

#include "base/websocketclient.h"

#include "base/websocketlink.h"

#include <libwebsockets.h>

#include <array>
#include <unordered_map>
#include <utility>

namespace knapweed
{

namespace
{

constexpr unsigned int connectTimeoutSeconds = 10;

int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length);

const std::array<lws_protocols, 2> clientProtocols {{
    {peerProtocol, clientCallback, 0, receiveBufferBytes, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

struct Connection
{
    lws *wsi = nullptr;
    WebSocketLink link;
    bool isOpen = false;
    bool isClosing = false;
};

} // namespace

struct WebSocketClient::Private : std::enable_shared_from_this<WebSocketClient::Private>
{
    EventLoop *loop = nullptr;
    WebSocketHooks hooks;
    std::shared_ptr<MessageInbox> inbox;
    lws_vhost *vhost = nullptr;
    bool isDestroyed = false;
    std::unordered_map<std::uint64_t, Connection> connections;
    std::unordered_map<lws *, std::uint64_t> numbers;
    std::uint64_t lastConnection = 0;

    void createVhost();
    void connect(std::uint64_t number, const Address &target);
    int serve(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length);
    int receive(std::uint64_t number, const char *bytes, std::size_t length);
    void forget(std::uint64_t number);
};

namespace
{

int clientCallback(lws *wsi, lws_callback_reasons reason, void *, void *in, size_t length)
{
    if (wsi == nullptr || reason == LWS_CALLBACK_GET_THREAD_ID || reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED || reason == LWS_CALLBACK_PROTOCOL_INIT
        || reason == LWS_CALLBACK_PROTOCOL_DESTROY) {
        return 0;
    }
    lws_vhost *vhost = lws_get_vhost(wsi);
    WebSocketClient::Private *client = vhost == nullptr ? nullptr : static_cast<WebSocketClient::Private *>(lws_vhost_user(vhost));
    return client == nullptr ? 0 : client->serve(wsi, reason, static_cast<const char *>(in), length);
}

} // namespace

void WebSocketClient::Private::createVhost()
{
    const std::string name = "websocket-client-" + std::to_string(reinterpret_cast<std::uintptr_t>(this));
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = clientProtocols.data();
    info.vhost_name = name.c_str();
    info.user = this;
    info.connect_timeout_secs = connectTimeoutSeconds;
    vhost = lws_create_vhost(loop->context(), &info);
}

void WebSocketClient::Private::connect(std::uint64_t number, const Address &target)
{
    Connection &connection = connections[number];
    lws_client_connect_info info {};
    info.context = loop->context();
    info.vhost = vhost;
    info.address = target.ip.c_str();
    info.port = target.port;
    info.path = "/";
    info.host = info.address;
    info.origin = info.address;
    info.protocol = peerProtocol;
    info.pwsi = &connection.wsi;
    lws *wsi = vhost == nullptr ? nullptr : lws_client_connect_via_info(&info);
    connection.wsi = wsi;
    if (wsi != nullptr) {
        numbers[wsi] = number;
        return;
    }
    const std::weak_ptr<Private> client = weak_from_this();
    loop->post([client, number]() {
        const std::shared_ptr<Private> live = client.lock();
        if (live != nullptr) {
            live->forget(number);
        }
    });
}

int WebSocketClient::Private::serve(lws *wsi, lws_callback_reasons reason, const char *bytes, std::size_t length)
{
    const auto found = numbers.find(wsi);
    if (found == numbers.end()) {
        return 0;
    }
    const std::uint64_t number = found->second;
    Connection &connection = connections.at(number);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
        if (isDestroyed || connection.isClosing) {
            return -1;
        }
        connection.isOpen = true;
        hooks.opened(number);
        return 0;
    case LWS_CALLBACK_CLIENT_RECEIVE:
        return receive(number, bytes, length);
    case LWS_CALLBACK_CLIENT_WRITEABLE:
        return !connection.isClosing && writeMessages(wsi, connection.link) ? 0 : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_WSI_DESTROY:
        numbers.erase(found);
        forget(number);
        return 0;
    default:
        return 0;
    }
}

int WebSocketClient::Private::receive(std::uint64_t number, const char *bytes, std::size_t length)
{
    Connection &connection = connections.at(number);
    if (isDestroyed || connection.isClosing) {
        return -1;
    }
    const Fragment fragment = receiveFragment(connection.wsi, connection.link, bytes, length);
    if (fragment == Fragment::TooLarge) {
        return -1;
    }
    if (fragment == Fragment::Final) {
        std::string message;
        message.swap(connection.link.incoming);
        inbox->add(number, std::move(message));
    }
    return 0;
}

void WebSocketClient::Private::forget(std::uint64_t number)
{
    if (connections.erase(number) != 0 && !isDestroyed) {
        hooks.closed(number);
    }
}

WebSocketClient::WebSocketClient(EventLoop &loop, WebSocketHooks hooks)
    : d_(std::make_shared<Private>())
{
    d_->loop = &loop;
    d_->hooks = std::move(hooks);
    Private *client = d_.get();
    d_->inbox = std::make_shared<MessageInbox>(loop, [client](std::uint64_t number, std::string message) {
        client->hooks.received(number, std::move(message));
    });
    d_->createVhost();
    loop.retain(d_);
}

WebSocketClient::~WebSocketClient()
{
    d_->isDestroyed = true;
    d_->inbox->close();
    d_->hooks = {}; // the loop retains d_ longer than what the hooks own may live
    if (d_->vhost != nullptr) {
        lws_vhost_destroy(d_->vhost);
    }
}

std::uint64_t WebSocketClient::connect(const Address &target)
{
    const std::uint64_t number = ++d_->lastConnection;
    d_->connect(number, target);
    return number;
}

bool WebSocketClient::send(std::uint64_t connection, const std::string &message)
{
    const auto found = d_->connections.find(connection);
    return found != d_->connections.end() && found->second.isOpen && !found->second.isClosing && queueMessage(found->second.wsi, found->second.link, message);
}

void WebSocketClient::close(std::uint64_t connection)
{
    const auto found = d_->connections.find(connection);
    if (found == d_->connections.end() || found->second.isClosing) {
        return;
    }
    found->second.isClosing = true;
    if (found->second.wsi != nullptr) {
        lws_set_timeout(found->second.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

} // namespace knapweed
