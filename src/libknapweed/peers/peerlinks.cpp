// The connections of the peer network. Each side sends Hello first, then heartbeats and the messages of the network's owner. If two processes have
// two connections with each other, both prefer the one opened by the process with the smaller address, so that they choose the same one. The process
// that opened the other connection closes it after a delay, so that messages in transit are not lost.

#include "peers/peernetworkprivate.h"

#include "base/logging.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace knapweed
{

namespace
{

constexpr std::int32_t protocolVersion = 2;
constexpr std::size_t maxGossipEntries = 256; ///< roster entries that are read from one heartbeat; the rest is ignored
constexpr int healthyLinkIntervals = 3; ///< a link without a heartbeat reply for this many heartbeat intervals is used only if there is no better one

bool isDialedLink(LinkId id)
{
    return id % 2 != 0;
}

std::uint64_t connectionNumber(LinkId id)
{
    return id / 2;
}

} // namespace

void PeerNetwork::Private::opened(LinkId id)
{
    PeerLink &link = links[id];
    if (!isDialedLink(id)) {
        link.id = id;
        link.startedAt = std::chrono::steady_clock::now();
    }
    link.isOpen = true;
    if (server != nullptr) {
        sendHello(link);
    }
}

void PeerNetwork::Private::received(LinkId id, const std::string &bytes)
{
    const auto found = links.find(id);
    if (found == links.end()) {
        return;
    }
    PeerLink &link = found->second;
    const Result<PeerMessage, CodecError> decoded = decodeMessage(bytes);
    if (!isOk(decoded)) {
        dropLink(id, ("malformed message: " + error(decoded).detail).c_str());
        return;
    }
    const PeerMessage &message = value(decoded);
    if (const wire::Hello *hello = std::get_if<wire::Hello>(&message)) {
        handleHello(link, *hello);
    } else if (link.peer.empty()) {
        dropLink(id, "message received before hello");
    } else if (const wire::Heartbeat *heartbeat = std::get_if<wire::Heartbeat>(&message)) {
        handleHeartbeat(link, *heartbeat);
    } else {
        link.lastMessage = std::chrono::steady_clock::now();
        const std::string peer = link.peer;
        events.received(peer, message);
    }
}

void PeerNetwork::Private::closed(LinkId id)
{
    if (links.count(id) != 0) {
        logEvent(LogLevel::Debug, "peer_link_closed", {{"peer", links.at(id).peer}, {"dialed", links.at(id).dialed}});
        eraseLink(id);
    }
}

bool PeerNetwork::Private::sendOn(LinkId id, const std::string &bytes)
{
    if (isDialedLink(id)) {
        return client->send(connectionNumber(id), bytes);
    }
    return server != nullptr && server->sendWebSocket(connectionNumber(id), bytes);
}

void PeerNetwork::Private::dropLink(LinkId id, const char *reason)
{
    const PeerLink &link = links.at(id);
    logEvent(LogLevel::Info, "peer_link_dropped", {{"peer", link.peer}, {"dialed", link.dialed}, {"reason", reason}});
    if (isDialedLink(id)) {
        client->close(connectionNumber(id));
    } else if (server != nullptr) {
        server->closeWebSocket(connectionNumber(id));
    }
    eraseLink(id);
}

void PeerNetwork::Private::eraseLink(LinkId id)
{
    const PeerLink link = links.at(id);
    links.erase(id);
    const auto dialed = dials.find(link.dialed);
    if (dialed != dials.end() && dialed->second.link == id) {
        dialed->second.link = 0;
        dialFailed(link.dialed);
    }
    const auto found = peers.find(link.peer);
    if (link.peer.empty() || found == peers.end() || found->second.links.erase(id) == 0) {
        return;
    }
    if (found->second.links.empty()) {
        peers.erase(found);
        if (events.disconnected) {
            events.disconnected(link.peer);
        }
    }
}

void PeerNetwork::Private::sendHello(PeerLink &link)
{
    wire::Hello hello;
    hello.sender = roster.self;
    hello.protocolVersion = protocolVersion;
    sendOn(link.id, encodeMessage(hello));
}

void PeerNetwork::Private::sendHeartbeat(PeerLink &link, MonotonicTime now)
{
    wire::Heartbeat heartbeat;
    heartbeat.sequence = ++link.sequence;
    heartbeat.configurationVersion = configurationVersion;
    if (isDraining) {
        heartbeat.__set_draining(true);
    }
    if (evacuationsVersion) {
        heartbeat.__set_evacuations(*evacuationsVersion);
    }
    heartbeat.heard = link.lastReceivedSequence;
    if (std::exchange(link.requestsRoster, false)) {
        heartbeat.__set_asksRoster(true);
    }
    if (std::exchange(link.sendsRoster, false)) {
        heartbeat.__set_roster(gossip());
    }
    link.lastHeartbeat = now;
    sendOn(link.id, encodeMessage(heartbeat));
}

void PeerNetwork::Private::handleHello(PeerLink &link, const wire::Hello &hello)
{
    const LinkId id = link.id;
    const bool isNamed = parseAddress(hello.sender.address).port != 0;
    if (!isNamed || hello.protocolVersion != protocolVersion || !link.peer.empty()) {
        dropLink(id, "invalid hello: malformed address, unsupported protocol version, or repeated hello");
        return;
    }
    const auto dialed = dials.find(link.dialed);
    if (dialed != dials.end()) {
        dialed->second.backoff.failures = 0;
        dialed->second.reportsOtherAddress = link.dialed != hello.sender.address;
    }
    if (hello.sender.address == roster.self.address) {
        dropLink(id, "connection leads to this process itself");
        return;
    }
    joinPeer(link, hello.sender);
}

void PeerNetwork::Private::joinPeer(PeerLink &link, const wire::RosterEntry &entry)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::set<LinkId> others = peers[entry.address].links;
    for (const LinkId other : others) {
        const std::int64_t incarnation = links.at(other).incarnation;
        if (incarnation > entry.incarnation) {
            dropLink(link.id, "hello from an older incarnation of the peer");
            return;
        }
        if (incarnation < entry.incarnation) {
            dropLink(other, "replaced by a newer incarnation of the peer");
        }
    }
    link.peer = entry.address;
    link.incarnation = entry.incarnation;
    link.lastReply = now;
    link.lastMessage = now;
    Peer &peer = peers[entry.address];
    const bool isFirst = peer.links.empty();
    peer.namesEvacuations = peer.namesEvacuations && !isFirst;
    peer.links.insert(link.id);
    peer.entry = entry;
    link.sendsRoster = roster.self.role == wire::Role::Entry;
    sendHeartbeat(link, now);
    sendWaiting(peer);
    if (recordEntry(roster, entry, now)) {
        rosterChanged();
    }
    if (isFirst && events.connected) {
        events.connected(entry);
    }
}

void PeerNetwork::Private::sendWaiting(Peer &peer)
{
    const LinkId id = preferredLink(peer);
    while (!peer.waiting.empty()) {
        sendOn(id, peer.waiting.front());
        peer.waiting.pop_front();
    }
    peer.waitingBytes = 0;
}

void PeerNetwork::Private::handleHeartbeat(PeerLink &link, const wire::Heartbeat &heartbeat)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    link.lastReceivedSequence = std::max(link.lastReceivedSequence, heartbeat.sequence);
    if (heartbeat.heard > link.lastAcknowledgedSequence && heartbeat.heard <= link.sequence) {
        link.lastAcknowledgedSequence = heartbeat.heard;
        link.lastReply = now;
    }
    link.sendsRoster = link.sendsRoster || heartbeat.asksRoster;
    const std::string peer = link.peer;
    peers.at(peer).isDraining = heartbeat.draining;
    peers.at(peer).namesEvacuations = heartbeat.__isset.evacuations;
    bool isChanged = false;
    for (std::size_t index = 0; index < std::min(heartbeat.roster.size(), maxGossipEntries); ++index) {
        const wire::RosterEntry &entry = heartbeat.roster[index];
        if (entry.role == wire::Role::Entry && parseAddress(entry.address).port != 0) {
            isChanged = recordEntry(roster, entry, now) || isChanged;
        }
    }
    if (isChanged) {
        rosterChanged();
    }
    if (heartbeat.configurationVersion > configurationVersion && events.configurationSeen) {
        events.configurationSeen(peer, heartbeat.configurationVersion);
    }
    if (heartbeat.__isset.evacuations && events.evacuationsSeen) {
        events.evacuationsSeen(peer, heartbeat.evacuations);
    }
}

LinkId PeerNetwork::Private::preferredLink(const Peer &peer) const
{
    if (peer.links.size() == 1) {
        return *peer.links.begin();
    }
    const MonotonicTime oldest = std::chrono::steady_clock::now() - options.heartbeatInterval * healthyLinkIntervals;
    LinkId best = 0;
    std::tuple<bool, bool, MonotonicTime> bestRank;
    for (const LinkId id : peer.links) {
        const PeerLink &link = links.at(id);
        const bool isCanonical = isDialedLink(id) == (roster.self.address < peer.entry.address);
        const std::tuple<bool, bool, MonotonicTime> rank(link.lastReply >= oldest, isCanonical, link.startedAt);
        if (best == 0 || rank > bestRank) {
            best = id;
            bestRank = rank;
        }
    }
    return best;
}

bool PeerNetwork::Private::isRedundant(const PeerLink &link) const
{
    if (!isDialedLink(link.id) || link.peer.empty()) {
        return false;
    }
    const bool isCanonical = roster.self.address < link.peer;
    for (const LinkId id : peers.at(link.peer).links) {
        const bool isBetter = isDialedLink(id) ? links.at(id).startedAt > link.startedAt : !isCanonical;
        if (id != link.id && isBetter) {
            return true;
        }
    }
    return false;
}

std::vector<wire::RosterEntry> PeerNetwork::Private::gossip() const
{
    // Lists connected peers only. Forwarding unconfirmed entries would keep dead processes in the rosters forever.
    std::vector<wire::RosterEntry> entries;
    for (const auto &[address, peer] : peers) {
        if (!peer.links.empty() && peer.entry.role == wire::Role::Entry) {
            entries.push_back(peer.entry);
        }
    }
    return entries;
}

} // namespace knapweed
