// Decides which addresses to connect to and when: seeds, entries of the roster, and peers with queued messages.

#include "peers/peernetwork.h"

#include "base/invariant.h"
#include "base/logging.h"
#include "base/websocketlink.h"
#include "peers/peernetworkprivate.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace knapweed
{

namespace
{

constexpr std::size_t waitingMessagesLimit = 4096; ///< queued for one peer without a connection; the oldest messages are dropped first
constexpr std::size_t waitingBytesLimit = std::size_t(32) << 20;
constexpr Seconds idleTimeout {60}; ///< a connection between two agents, which is opened on demand, is closed after this time without messages
constexpr int rosterRequestsPerExpiry = 4; ///< roster requests within one rosterExpiry, each sent to one peer
constexpr Seconds discoveryPeriod {5}; ///< after the start a roster is requested each heartbeat interval, because all rosters are still incomplete
constexpr int seedRecheckFactor = 5; ///< a seed whose Hello contained another address is dialed again after this many times reconnectLimit

LinkId acceptedLink(std::uint64_t connection)
{
    return connection * 2;
}

LinkId dialedLink(std::uint64_t connection)
{
    return connection * 2 + 1;
}

} // namespace

void PeerNetwork::Private::setSeeds(const std::vector<Address> &seeds)
{
    for (auto &[address, target] : dials) {
        target.isSeed = false; // tickDials() removes those that nothing else needs
    }
    for (const Address &seed : seeds) {
        if (toString(seed) != roster.self.address) {
            dials[toString(seed)].isSeed = true;
        }
    }
}

void PeerNetwork::Private::send(const std::string &peer, const PeerMessage &message)
{
    if (peer == roster.self.address) {
        const std::weak_ptr<Private> network = weak_from_this();
        loop->post([network, peer, message]() {
            const std::shared_ptr<Private> live = network.lock();
            if (live != nullptr) {
                live->events.received(peer, message);
            }
        });
        return;
    }
    std::string bytes = encodeMessage(message);
    if (bytes.size() > webSocketMessageLimit) {
        logEvent(LogLevel::Error, "peer_message_too_large", {{"peer", peer}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    const auto found = peers.find(peer);
    if (found == peers.end() || found->second.links.empty()) {
        enqueue(peer, std::move(bytes));
        return;
    }
    const LinkId id = preferredLink(found->second);
    links.at(id).lastMessage = std::chrono::steady_clock::now();
    if (!sendOn(id, bytes)) {
        dropLink(id, "queue full");
    }
}

void PeerNetwork::Private::enqueue(const std::string &name, std::string bytes)
{
    if (parseAddress(name).port == 0) {
        logEvent(LogLevel::Error, "peer_address_malformed", {{"peer", name}});
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    Peer &peer = peers[name];
    if (peer.waiting.empty()) {
        peer.waitingSince = now;
    }
    peer.waitingBytes += bytes.size();
    peer.waiting.push_back(std::move(bytes));
    while (peer.waiting.size() > waitingMessagesLimit || peer.waitingBytes > waitingBytesLimit) {
        peer.waitingBytes -= peer.waiting.front().size();
        peer.waiting.pop_front();
    }
    if (server != nullptr) {
        const bool isNew = dials.count(name) == 0;
        const Dial &target = dials[name];
        if (target.link == 0 && (isNew || target.next <= now)) {
            dial(name, now);
        }
    }
}

void PeerNetwork::Private::tick()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::chrono::steady_clock::duration pause = now - lastTick;
    if (pause > options.heartbeatTimeout / 2) {
        // This process was suspended for a while, and replies that arrived meanwhile have not been read yet, so the pause must not count towards the time-out.
        for (auto &[id, link] : links) {
            link.startedAt += pause;
            link.lastReply += pause;
        }
    }
    lastTick = now;
    tickLinks(now);
    if (expireEntries(roster, now - options.rosterExpiry)) {
        rosterChanged();
    }
    tickWaiting(now);
    tickDials(now);
}

void PeerNetwork::Private::tickLinks(MonotonicTime now)
{
    requestRoster(now);
    std::vector<LinkId> ids;
    for (const auto &[id, link] : links) {
        ids.push_back(id);
    }
    for (const LinkId id : ids) {
        const auto found = links.find(id);
        if (found != links.end()) {
            tickLink(found->second, now);
        }
    }
}

/// Requests the roster from one peer at a time, in turn, so that the traffic for rosters does not grow with the number of connections.
void PeerNetwork::Private::requestRoster(MonotonicTime now)
{
    const bool isDiscovering = now - attachedAt < discoveryPeriod;
    const Milliseconds interval =
        isDiscovering ? options.heartbeatInterval : std::chrono::duration_cast<Milliseconds>(options.rosterExpiry) / rosterRequestsPerExpiry;
    if (now - rosterRequestedAt < interval) {
        return;
    }
    const auto isEntry = [this](const std::pair<const LinkId, PeerLink> &item) {
        return !item.second.peer.empty() && peers.at(item.second.peer).entry.role == wire::Role::Entry;
    };
    auto next = std::find_if(links.upper_bound(rosterRequestedOn), links.end(), isEntry);
    next = next == links.end() ? std::find_if(links.begin(), links.end(), isEntry) : next;
    if (next != links.end()) {
        rosterRequestedAt = now;
        rosterRequestedOn = next->first;
        next->second.requestsRoster = true;
    }
}

void PeerNetwork::Private::tickLink(PeerLink &link, MonotonicTime now)
{
    const MonotonicTime lastSignOfLife = link.peer.empty() ? link.startedAt : link.lastReply;
    if (now - lastSignOfLife > options.heartbeatTimeout) {
        dropLink(link.id, link.peer.empty() ? "no hello within the heartbeat time-out" : "silent");
        return;
    }
    if (link.peer.empty()) {
        return;
    }
    if (now - link.lastHeartbeat >= options.heartbeatInterval) {
        recordEntry(roster, peers.at(link.peer).entry, now);
        sendHeartbeat(link, now);
    }
    const bool isOnDemand = roster.self.role == wire::Role::Agent && peers.at(link.peer).entry.role == wire::Role::Agent;
    if (isOnDemand && !link.dialed.empty() && now - link.lastMessage > idleTimeout) {
        dropLink(link.id, "idle");
        return;
    }
    if (!isRedundant(link)) {
        link.redundantSince = MonotonicTime();
    } else if (link.redundantSince == MonotonicTime()) {
        link.redundantSince = now;
    } else if (now - link.redundantSince > options.heartbeatInterval * 2) {
        dropLink(link.id, "redundant");
    }
}

void PeerNetwork::Private::tickWaiting(MonotonicTime now)
{
    const MonotonicTime oldest = now - options.rosterExpiry;
    std::erase_if(peers, [oldest](const std::pair<const std::string, Peer> &peer) {
        return peer.second.links.empty() && (peer.second.waiting.empty() || peer.second.waitingSince < oldest);
    });
}

void PeerNetwork::Private::tickDials(MonotonicTime now)
{
    const std::vector<std::string> entries = wantedEntries();
    for (const std::string &address : entries) {
        dials[address];
    }
    for (const auto &[name, peer] : peers) {
        if (!peer.waiting.empty()) {
            dials[name];
        }
    }
    std::vector<std::string> due;
    std::erase_if(dials, [&](const std::pair<const std::string, Dial> &target) {
        const bool isEntry = std::find(entries.begin(), entries.end(), target.first) != entries.end();
        const bool wanted = isWanted(target.first, target.second, isEntry);
        if (wanted && target.second.link == 0 && target.second.next <= now) {
            due.push_back(target.first);
        }
        return !wanted && !target.second.isSeed && target.second.link == 0;
    });
    for (const std::string &address : due) {
        dial(address, now);
    }
}

/// Returns the entries to connect to. An unreachable entry does not count towards entryLinks, so the next entry is added until it is reachable again.
std::vector<std::string> PeerNetwork::Private::wantedEntries() const
{
    std::vector<std::string> entries = entriesByPreference(roster);
    if (options.entryLinks == 0) {
        return entries;
    }
    std::vector<std::string> wanted;
    std::size_t usable = 0;
    for (const std::string &address : entries) {
        if (usable == options.entryLinks) {
            break;
        }
        const auto dial = dials.find(address);
        const bool isFailing = !isConnected(address) && dial != dials.end() && dial->second.backoff.failures > 0;
        wanted.push_back(address);
        usable += isFailing ? 0 : 1;
    }
    return wanted;
}

bool PeerNetwork::Private::isWanted(const std::string &address, const Dial &dial, bool isEntry) const
{
    if (address == roster.self.address || isConnected(address)) {
        return false;
    }
    const auto peer = peers.find(address);
    const bool isAwaited = peer != peers.end() && !peer->second.waiting.empty();
    return dial.isSeed || isEntry || isAwaited;
}

void PeerNetwork::Private::dial(const std::string &address, MonotonicTime now)
{
    Dial &target = dials[address];
    target.backoff.first = options.reconnectDelay;
    target.backoff.limit = options.reconnectLimit;
    const LinkId id = dialedLink(client->connect(parseAddress(address)));
    target.link = id;
    PeerLink &link = links[id];
    link.id = id;
    link.dialed = address;
    link.startedAt = now;
}

void PeerNetwork::Private::dialFailed(const std::string &address)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    Dial &target = dials.at(address);
    const Milliseconds delay = nextDelay(target.backoff, random);
    // An address that leads elsewhere, such as a load balancer, is dialed at longer intervals while other peers are available.
    const bool isRecheck = target.reportsOtherAddress && !peers.empty();
    target.next = now + (isRecheck ? options.reconnectLimit * seedRecheckFactor : delay);
}

void PeerNetwork::Private::rosterChanged()
{
    if (events.rosterChanged) {
        events.rosterChanged();
    }
}

bool PeerNetwork::Private::isConnected(const std::string &peer) const
{
    const auto found = peers.find(peer);
    return found != peers.end() && !found->second.links.empty();
}

PeerNetwork::PeerNetwork(EventLoop &loop, PeerNetworkOptions options, PeerNetworkEvents events)
    : d_(std::make_shared<Private>())
{
    d_->loop = &loop;
    d_->options = options;
    d_->events = std::move(events);
    Private *network = d_.get();
    WebSocketHooks hooks;
    hooks.opened = [network](std::uint64_t connection) {
        network->opened(dialedLink(connection));
    };
    hooks.received = [network](std::uint64_t connection, const std::string &message) {
        network->received(dialedLink(connection), message);
    };
    hooks.closed = [network](std::uint64_t connection) {
        network->closed(dialedLink(connection));
    };
    d_->client = std::make_unique<WebSocketClient>(loop, std::move(hooks));
}

PeerNetwork::~PeerNetwork()
{
    d_->loop->cancelTimer(d_->timer);
    d_->client.reset();
}

WebSocketHooks PeerNetwork::hooks()
{
    // The hooks hold weak pointers, because the server may outlive the network.
    const std::weak_ptr<Private> weak = d_;
    WebSocketHooks hooks;
    hooks.opened = [weak](std::uint64_t connection) {
        if (const std::shared_ptr<Private> network = weak.lock()) {
            network->opened(acceptedLink(connection));
        }
    };
    hooks.received = [weak](std::uint64_t connection, const std::string &message) {
        if (const std::shared_ptr<Private> network = weak.lock()) {
            network->received(acceptedLink(connection), message);
        }
    };
    hooks.closed = [weak](std::uint64_t connection) {
        if (const std::shared_ptr<Private> network = weak.lock()) {
            network->closed(acceptedLink(connection));
        }
    };
    return hooks;
}

void PeerNetwork::attach(HttpServer &server, const wire::RosterEntry &self, const std::vector<Address> &seeds)
{
    assertInvariant(d_->server == nullptr, "PeerNetwork::attach() must be called only once");
    d_->server = &server;
    d_->roster.self = self;
    d_->lastTick = std::chrono::steady_clock::now();
    d_->attachedAt = d_->lastTick;
    d_->setSeeds(seeds);
    for (auto &[id, link] : d_->links) {
        d_->sendHello(link);
    }
    const Milliseconds interval = std::min(d_->options.reconnectDelay, d_->options.heartbeatInterval);
    Private *network = d_.get();
    d_->timer = d_->loop->callEvery(interval, [network]() {
        network->tick();
    });
    d_->tickDials(d_->lastTick);
}

void PeerNetwork::setSeeds(const std::vector<Address> &seeds)
{
    d_->setSeeds(seeds);
}

void PeerNetwork::send(const std::string &peer, const PeerMessage &message)
{
    d_->send(peer, message);
}

bool PeerNetwork::isConnected(const std::string &peer) const
{
    return d_->isConnected(peer);
}

std::vector<wire::RosterEntry> PeerNetwork::roster() const
{
    return listEntries(d_->roster);
}

std::size_t PeerNetwork::connections() const
{
    return d_->links.size();
}

} // namespace knapweed
