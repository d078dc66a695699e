// The state of the peer network: links (connections), peers (processes with at least one link or a waiting message) and dials (addresses to connect
// to). Used by peernetwork.cpp and peerlinks.cpp only.
#pragma once

#include "base/websocketclient.h"
#include "peers/backoff.h"
#include "peers/peernetwork.h"
#include "peers/roster.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace knapweed
{

/// Twice the connection's number, plus one when this process dialed it.
using LinkId = std::uint64_t;

struct PeerLink
{
    LinkId id = 0;
    std::string dialed; ///< the address that this process dialed; empty for an accepted connection
    bool isOpen = false; ///< the WebSocket is established
    std::string peer; ///< empty until its Hello
    std::int64_t incarnation = 0;
    MonotonicTime startedAt;
    MonotonicTime lastReply; ///< of its Hello, or of the last heartbeat that named one of ours
    MonotonicTime lastHeartbeat;
    MonotonicTime lastMessage; ///< of the owner's messages, either way
    MonotonicTime redundantSince; ///< zero while it is not redundant
    std::int64_t sequence = 0; ///< of the last heartbeat sent
    std::int64_t lastReceivedSequence = 0; ///< of the newest heartbeat received
    std::int64_t lastAcknowledgedSequence = 0; ///< of our newest heartbeat that the peer has named; never above sequence
    bool requestsRoster = false; ///< the next heartbeat asks for the peer's roster
    bool sendsRoster = false; ///< the next heartbeat holds the roster
};

struct Peer
{
    /// Invariant: links with this peer's name. A peer is connected while this is not empty.
    std::set<LinkId> links;
    wire::RosterEntry entry;
    bool isDraining = false;
    std::deque<std::string> waiting; ///< encoded messages for the next link; empty while connected
    std::size_t waitingBytes = 0;
    MonotonicTime waitingSince;
};

/// An address to connect to, and when.
struct Dial
{
    Backoff backoff;
    MonotonicTime next;
    LinkId link = 0; ///< the dialed connection that is open or opening; 0 when there is none
    bool isSeed = false;
    bool reportsOtherAddress = false; ///< the last Hello named another address: a balancer, or this process itself
};

struct PeerNetwork::Private : std::enable_shared_from_this<PeerNetwork::Private>
{
    EventLoop *loop = nullptr;
    PeerNetworkOptions options;
    PeerNetworkEvents events;
    HttpServer *server = nullptr; ///< null until attached
    std::unique_ptr<WebSocketClient> client;
    TimerId timer = 0;
    MonotonicTime lastTick;
    Roster roster;
    std::int64_t configurationVersion = 0;
    bool isDraining = false;
    MonotonicTime attachedAt;
    MonotonicTime rosterRequestedAt;
    LinkId rosterRequestedOn = 0;
    std::mt19937 random {std::random_device()()};
    std::map<LinkId, PeerLink> links;
    std::map<std::string, Peer> peers;
    std::map<std::string, Dial> dials;

    // peerlinks.cpp: connections and what is sent on them
    void opened(LinkId id);
    void received(LinkId id, const std::string &bytes);
    void closed(LinkId id);
    bool sendOn(LinkId id, const std::string &bytes);
    void dropLink(LinkId id, const char *reason);
    void eraseLink(LinkId id);
    void sendHello(PeerLink &link);
    void sendHeartbeat(PeerLink &link, MonotonicTime now);
    void handleHello(PeerLink &link, const wire::Hello &hello);
    void handleHeartbeat(PeerLink &link, const wire::Heartbeat &heartbeat);
    void joinPeer(PeerLink &link, const wire::RosterEntry &entry);
    void sendWaiting(Peer &peer);
    LinkId preferredLink(const Peer &peer) const;
    bool isRedundant(const PeerLink &link) const;
    std::vector<wire::RosterEntry> gossip() const;

    // peernetwork.cpp: what to connect to, and time
    void send(const std::string &peer, const PeerMessage &message);
    void enqueue(const std::string &peer, std::string bytes);
    void tick();
    void tickLinks(MonotonicTime now);
    void requestRoster(MonotonicTime now);
    void tickLink(PeerLink &link, MonotonicTime now);
    void tickWaiting(MonotonicTime now);
    void tickDials(MonotonicTime now);
    std::vector<std::string> wantedEntries() const;
    bool isWanted(const std::string &address, const Dial &dial, bool isEntry) const;
    void dial(const std::string &address, MonotonicTime now);
    void dialFailed(const std::string &address);
    void rosterChanged();
    bool isConnected(const std::string &peer) const;
};

} // namespace knapweed
