// What this process announces in its heartbeats, and what its peers have announced.

#include "peers/peernetworkprivate.h"

namespace knapweed
{

void PeerNetwork::setConfigurationVersion(std::int64_t version)
{
    d_->configurationVersion = version;
}

void PeerNetwork::setEvacuationsVersion(std::int64_t version)
{
    d_->evacuationsVersion = version;
}

void PeerNetwork::setDraining(bool draining)
{
    d_->isDraining = draining;
}

bool PeerNetwork::isDraining(const std::string &peer) const
{
    const auto found = d_->peers.find(peer);
    return found != d_->peers.end() && found->second.isDraining;
}

std::vector<std::string> PeerNetwork::evacuationPeers() const
{
    std::vector<std::string> found;
    for (const auto &[address, peer] : d_->peers) {
        if (!peer.links.empty() && peer.namesEvacuations) {
            found.push_back(address);
        }
    }
    return found;
}

} // namespace knapweed
