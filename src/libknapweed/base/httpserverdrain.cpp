// The drain of an HTTP server: its listener, and the callers that still wait for it.

#include "base/httpserver.h"
#include "base/httpserverprivate.h"

#include <libwebsockets.h>

#include <algorithm>
#include <sys/ioctl.h>

namespace knapweed
{

namespace
{

bool hasUnreadBytes(lws *wsi)
{
    int bytes = 0;
    return ioctl(lws_get_socket_fd(wsi), FIONREAD, &bytes) == 0 && bytes > 0;
}

} // namespace

bool HttpServer::isListening() const
{
    return d_->address.port != 0 && !d_->isListenerClosed;
}

std::size_t HttpServer::openRequests() const
{
    return d_->requests.size();
}

std::size_t HttpServer::openConnections() const
{
    return d_->connections.size();
}

bool HttpServer::hasWaitingCallers() const
{
    return !d_->requests.empty() || std::any_of(d_->connections.begin(), d_->connections.end(), [](const auto &connection) {
        return hasUnreadBytes(connection.first);
    });
}

void HttpServer::closeConnectionsAfterAnswers()
{
    d_->isDraining = true;
}

void HttpServer::closeListener()
{
    closeConnectionsAfterAnswers();
    d_->isListenerClosed = true;
    d_->listener->close();
}

} // namespace knapweed
