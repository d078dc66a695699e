// A listening TCP socket of its own, whose accepted connections a libwebsockets vhost adopts. libwebsockets can only close its own listener
// together with the connections that it accepted; a graceful stop must close the first and keep the others.
#pragma once

#include "base/address.h"

#include <functional>
#include <memory>

struct lws;
struct lws_vhost;

namespace knapweed
{

/// The name under which a vhost's protocols must list listenerCallback().
constexpr const char *listenerProtocol = "knapweed-listener";

class Listener
{
public:
    /// Binds and listens; address().port is 0 when that failed.
    explicit Listener(const Address &address);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    Address address() const;

    /// Accepts for @p vhost from now on; the opaque user data of each connection is @p owner, and @p accepted is told of it. A connection for which
    /// @p admits is false is refused. Returns false when libwebsockets refuses the socket.
    bool attach(lws_vhost *vhost, void *owner, std::function<bool()> admits, std::function<void(lws *)> accepted);

    /// Accepts again after a time without descriptors. Called now and then.
    void resume();

    /// Accepts what waits and stops listening. Idempotent.
    void close();

    /// Accepts what waits, up to a bound; true when there may be more. Called by listenerCallback().
    bool acceptSome();

    /// libwebsockets has closed the socket.
    void forget();

private:
    bool refuseOne();
    void pause();

    Address address_;
    int socket_ = -1; ///< owned until attached, then closed by libwebsockets
    int reserve_ = -1; ///< an open descriptor to give up when none is left, so that a caller can be refused
    lws *handle_ = nullptr; ///< not null while attached
    lws_vhost *vhost_ = nullptr;
    void *owner_ = nullptr;
    bool isPaused_ = false; ///< there was no descriptor to accept or refuse a connection with
    std::function<bool()> admits_;
    std::function<void(lws *)> accepted_;
};

/// The callback of listenerProtocol; the descriptor's opaque user data is its Listener.
int listenerCallback(lws *wsi, int reason);

} // namespace knapweed
