// Plain sockets up to accept(); everything after it is libwebsockets'.

#include "base/listener.h"

#include <libwebsockets.h>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>
#include <utility>

namespace knapweed
{

namespace
{

constexpr int acceptsPerEvent = 64; ///< so that a burst of callers does not starve the connections that are open

constexpr std::string_view refusal =
    "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 90\r\n\r\n"
    R"({"error":"overloaded","outcome":"not_run","detail":"the process has too many connections"})";

int openListener(const Address &address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr) != 1) {
        return -1;
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0 || listen(descriptor, SOMAXCONN) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in name {};
    socklen_t length = sizeof(name);
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&name), &length) != 0) {
        return 0;
    }
    return ntohs(name.sin_port);
}

int openReserve()
{
    return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

} // namespace

Listener::Listener(const Address &address)
    : address_(address)
    , socket_(openListener(address))
    , reserve_(openReserve())
{
    address_.port = socket_ < 0 ? 0 : portOf(socket_);
}

Listener::~Listener()
{
    close();
    if (reserve_ >= 0) {
        ::close(reserve_);
    }
}

Address Listener::address() const
{
    return address_;
}

bool Listener::attach(lws_vhost *vhost, void *owner, std::function<bool()> admits, std::function<void(lws *)> accepted)
{
    lws_adopt_desc_t adoption {};
    adoption.vh = vhost;
    adoption.type = LWS_ADOPT_RAW_FILE_DESC;
    adoption.fd.filefd = socket_;
    adoption.vh_prot_name = listenerProtocol;
    adoption.opaque = this;
    vhost_ = vhost;
    owner_ = owner;
    admits_ = std::move(admits);
    accepted_ = std::move(accepted);
    handle_ = lws_adopt_descriptor_vhost_via_info(&adoption);
    if (handle_ != nullptr) {
        lws_set_opaque_user_data(handle_, this);
    }
    socket_ = -1;
    return handle_ != nullptr;
}

void Listener::close()
{
    if (handle_ != nullptr) {
        // Callers that the kernel has connected already believe that they are served.
        while (acceptSome()) {}
        lws *handle = handle_;
        forget();
        lws_set_timeout(handle, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    }
    if (socket_ >= 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

void Listener::forget()
{
    if (handle_ != nullptr) {
        lws_set_opaque_user_data(handle_, nullptr);
        handle_ = nullptr;
    }
}

/// Uses the reserved descriptor. Returns false when there is none.
bool Listener::refuseOne()
{
    if (reserve_ < 0) {
        reserve_ = openReserve();
        return reserve_ >= 0;
    }
    ::close(reserve_);
    const int descriptor = accept4(lws_get_socket_fd(handle_), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    reserve_ = openReserve();
    return true;
}

/// Connections that can't be accepted would keep the socket readable and the loop busy.
void Listener::pause()
{
    isPaused_ = true;
    lws_rx_flow_control(handle_, 0);
}

void Listener::resume()
{
    if (isPaused_ && handle_ != nullptr) {
        isPaused_ = false;
        lws_rx_flow_control(handle_, 1);
    }
}

bool Listener::acceptSome()
{
    for (int accepted = 0; accepted < acceptsPerEvent && handle_ != nullptr; ++accepted) {
        const int descriptor = accept4(lws_get_socket_fd(handle_), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                if (!refuseOne()) {
                    pause();
                }
            }
            return false;
        }
        if (!admits_()) {
            // Best effort: the refusal is lost if the caller has sent its request already.
            send(descriptor, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            ::close(descriptor);
            continue;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        lws *handle = lws_adopt_socket_vhost(vhost_, descriptor);
        if (handle != nullptr) {
            lws_set_opaque_user_data(handle, owner_);
            accepted_(handle);
        }
    }
    return true;
}

int listenerCallback(lws *wsi, int reason)
{
    Listener *listener = static_cast<Listener *>(lws_get_opaque_user_data(wsi));
    if (listener == nullptr) {
        return 0;
    }
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        listener->acceptSome();
    } else if (reason == LWS_CALLBACK_RAW_CLOSE_FILE || reason == LWS_CALLBACK_WSI_DESTROY) {
        listener->forget();
    }
    return 0;
}

} // namespace knapweed
