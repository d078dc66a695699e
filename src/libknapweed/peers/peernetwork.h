// The connections between this process and its peers: one WebSocket per peer address, each with its own heartbeat. A connection whose heartbeats
// are no longer answered is replaced. A peer is identified by its listening address, "ip:port". Messages to one peer on one connection arrive in
// order. A message may be lost with its connection, so a sender that needs a reply must repeat its request. Use on the event loop thread only.
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
    Milliseconds heartbeatTimeout {2000}; ///< a connection without a heartbeat reply for this long is dropped and replaced
    Milliseconds reconnectDelay {50}; ///< first delay; doubles up to reconnectLimit, with jitter
    Milliseconds reconnectLimit {2000};
    std::size_t entryLinks = 0; ///< number of entries to connect to, besides the seeds and entries that messages are sent to; 0: all
    Seconds rosterExpiry {10}; ///< a process that was last seen longer ago than this is removed from the roster
};

struct PeerNetworkEvents
{
    /// Called for each message except Hello and Heartbeat, which the network handles itself.
    std::function<void(const std::string &peer, const PeerMessage &message)> received;
    std::function<void(const wire::RosterEntry &peer)> connected;
    std::function<void(const std::string &peer)> disconnected;
    /// Called when the roster has changed.
    std::function<void()> rosterChanged;
    /// Called when a peer's heartbeat contains a newer configuration version than the one of this process.
    std::function<void(const std::string &peer, std::int64_t version)> configurationSeen;
    /// Called for each heartbeat that names a version of the peer's evacuation state.
    std::function<void(const std::string &peer, std::int64_t version)> evacuationsSeen;
};

class PeerNetwork
{
public:
    /// The caller must pass hooks() to the HttpServer that accepts connections for this network and then call attach() with that server.
    PeerNetwork(EventLoop &loop, PeerNetworkOptions options, PeerNetworkEvents events);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    WebSocketHooks hooks();

    /// Starts the network. @p server must outlive it. @p self contains the address under which peers reach this process. Connects to @p seeds
    /// and reconnects to them after a failure.
    void attach(HttpServer &server, const wire::RosterEntry &self, const std::vector<Address> &seeds);

    /// Replaces the seeds. Connections to former seeds stay open.
    void setSeeds(const std::vector<Address> &seeds);

    /// Sends @p message on the connection to @p peer. Without a connection, queues the message and opens one; the queue is bounded and drops
    /// the oldest messages first.
    void send(const std::string &peer, const PeerMessage &message);

    bool isConnected(const std::string &peer) const;

    /// Returns the processes known through gossip, including this one. The network connects to all entries of the roster, or to
    /// entryLinks of them if that option is not 0.
    std::vector<wire::RosterEntry> roster() const;

    /// The values that this process announces in its heartbeats.
    void setConfigurationVersion(std::int64_t version);
    /// Named in heartbeats once it has been set.
    void setEvacuationsVersion(std::int64_t version);
    void setDraining(bool draining);
    bool isDraining(const std::string &peer) const;
    /// Connected peers that have named a version of their evacuation state. Other peers may not know its message.
    std::vector<std::string> evacuationPeers() const;

    std::size_t connections() const;

    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace knapweed
