// Internal state of the peer network: links (connections), peers (processes with at least one link or a queued message) and dials (addresses to
// connect to). Used by peernetwork.cpp and peerlinks.cpp only.
#pragma once

#include "base/websocketclient.h"
#include "peers/backoff.h"
#include "peers/peernetwork.h"
#include "peers/roster.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace knapweed
{

/// Twice the connection number, plus one if this process opened the connection.
using LinkId = std::uint64_t;

struct PeerLink
{
    LinkId id = 0;
    std::string dialed; ///< the address to which this process opened the connection; empty for an accepted connection
    bool isOpen = false; ///< the WebSocket is established
    std::string peer; ///< the listening address of the peer; empty until its Hello arrives
    std::int64_t incarnation = 0;
    MonotonicTime startedAt;
    MonotonicTime lastReply; ///< time of the peer's Hello, or of its last heartbeat that acknowledged a new heartbeat of this process
    MonotonicTime lastHeartbeat;
    MonotonicTime lastMessage; ///< time of the last message other than Hello and Heartbeat, sent or received
    MonotonicTime redundantSince; ///< zero while the link is not redundant
    std::int64_t sequence = 0; ///< sequence of the last heartbeat sent
    std::int64_t lastReceivedSequence = 0; ///< highest sequence of the heartbeats received
    std::int64_t lastAcknowledgedSequence = 0; ///< highest of the sequences sent that the peer has acknowledged; never above sequence
    bool requestsRoster = false; ///< the next heartbeat requests the peer's roster
    bool sendsRoster = false; ///< the next heartbeat contains the roster
};

struct Peer
{
    /// Invariant: exactly the links whose peer is this one. The peer is connected while the set is not empty.
    std::set<LinkId> links;
    wire::RosterEntry entry;
    bool isDraining = false;
    bool namesEvacuations = false; ///< the newest heartbeat names a version of the peer's evacuation state
    std::deque<std::string> waiting; ///< encoded messages queued for the next link; empty while connected
    std::size_t waitingBytes = 0;
    MonotonicTime waitingSince;
};

/// An address to connect to and the time of the next attempt.
struct Dial
{
    Backoff backoff;
    MonotonicTime next;
    LinkId link = 0; ///< the connection to this address that is open or being opened; 0 if there is none
    bool isSeed = false;
    bool reportsOtherAddress = false; ///< the last Hello contained a different address: the dialed one is a load balancer, or leads to this process itself
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
    std::optional<std::int64_t> evacuationsVersion; ///< unset: heartbeats name none
    bool isDraining = false;
    MonotonicTime attachedAt;
    MonotonicTime rosterRequestedAt;
    LinkId rosterRequestedOn = 0;
    std::mt19937 random {std::random_device()()};
    std::map<LinkId, PeerLink> links;
    std::map<std::string, Peer> peers;
    std::map<std::string, Dial> dials;

    // peerlinks.cpp: connections and the messages on them
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

    // peernetwork.cpp: which addresses to connect to, and timed tasks
    void setSeeds(const std::vector<Address> &seeds);
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
