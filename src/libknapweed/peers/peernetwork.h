// The connections between this process and its peers: one WebSocket for each peer address, with its own heartbeat, replaced when it goes silent.
// A peer is named by the address on which it listens, "ip:port". Messages to one peer on one connection keep their order; a message may be lost
// with its connection, so whoever needs an answer asks again. Loop thread only.
#pragma once

#include "base/address.h"
#include "base/eventloop.h"
#include "base/httpserver.h"
#include "peers/codec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweed
{

struct PeerNetworkOptions
{
    Milliseconds heartbeatInterval {500};
    Milliseconds heartbeatTimeout {2000}; ///< a connection with no heartbeat reply for this long is dropped and replaced
    Milliseconds reconnectDelay {50}; ///< first delay; doubles with jitter up to reconnectLimit
    Milliseconds reconnectLimit {2000};
    std::size_t entryLinks = 0; ///< entries that this process connects to by itself, beside its seeds and those that it sends to; 0: all
    Seconds rosterExpiry {10}; ///< a process that nobody has heard from for this long leaves the roster
};

struct PeerNetworkEvents
{
    /// Every message but those that the network itself uses (Hello, Heartbeat).
    std::function<void(const std::string &peer, const PeerMessage &message)> received;
    std::function<void(const wire::RosterEntry &peer)> connected;
    std::function<void(const std::string &peer)> disconnected;
    /// The set of known processes has changed.
    std::function<void()> rosterChanged;
    /// A peer's heartbeat names a newer configuration than this process has.
    std::function<void(const std::string &peer, std::int64_t version)> configurationSeen;
};

class PeerNetwork
{
public:
    /// hooks() must be given to the HttpServer that accepts for this network, then attach() called with that server.
    PeerNetwork(EventLoop &loop, PeerNetworkOptions options, PeerNetworkEvents events);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    WebSocketHooks hooks();

    /// Starts the network; @p server must outlive it. self.address is what peers will call this process. Connects to @p seeds and keeps at it.
    void attach(HttpServer &server, const wire::RosterEntry &self, const std::vector<Address> &seeds);

    /// Sends on the live connection to @p peer; opens one when there is none and sends once it is up (a bounded number of messages waits).
    void send(const std::string &peer, const PeerMessage &message);

    bool isConnected(const std::string &peer) const;

    /// The processes known by gossip, this one included. Connects to every entry of the roster by itself, or to
    /// entryLinks of them.
    std::vector<wire::RosterEntry> roster() const;

    /// What this process's heartbeats say of it.
    void setConfigurationVersion(std::int64_t version);
    void setDraining(bool draining);
    bool isDraining(const std::string &peer) const;

    std::size_t connections() const;

    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace knapweed
