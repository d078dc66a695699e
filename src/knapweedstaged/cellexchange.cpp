// What the entry has read from the store and exchanges with its peers: the configuration and the evacuated failure domains.

#include "base/logging.h"
#include "cellentrytask.h"

namespace knapweed
{

/// @p version: the one that @p peer is known to have.
void CellEntryTask::requestConfiguration(const std::string &peer, std::int64_t version)
{
    if (version <= feed_.configuration().version) {
        return;
    }
    if (version > announcedConfiguration_) {
        announcedConfiguration_ = version;
        logEvent(LogLevel::Info,
            "configuration.announced",
            {{"peer", peer}, {"version", std::to_string(version)}, {"known", std::to_string(feed_.configuration().version)}});
    }
    wire::CellConfigurationOffer request;
    request.version = feed_.configuration().version;
    peers_->send(peer, request);
}

void CellEntryTask::configurationChanged(const cell::CellConfiguration &configuration)
{
    peers_->setConfigurationVersion(configuration.version);
    relay_.configurationChanged(configuration.version);
    metrics_.set("configuration_version", double(configuration.version));
    wire::CellConfigurationOffer offer;
    offer.version = configuration.version;
    offer.document = feed_.document();
    for (const wire::RosterEntry &peer : otherEntries()) {
        if (peers_->isConnected(peer.address)) {
            peers_->send(peer.address, offer);
        }
    }
    if (schedulerCore_ != nullptr) {
        schedulerCore_->setConfiguration(configuration);
        schedulePlan();
    }
}

void CellEntryTask::serveEvacuations()
{
    if (!settings_.evacuationApplyTime) {
        return;
    }
    feed_.serveEvacuations([this](const cell::Evacuations &evacuations) {
        evacuationsChanged(evacuations);
    });
    peers_->setEvacuationsVersion(cell::versionOf(feed_.evacuations()));
}

/// A change of the position alone needs no haste: the heartbeats name it.
void CellEntryTask::evacuationsChanged(const cell::Evacuations &evacuations)
{
    peers_->setEvacuationsVersion(cell::versionOf(evacuations));
    if (evacuations.domains != announcedEvacuations_) {
        for (const std::string &peer : peers_->evacuationPeers()) {
            peers_->send(peer, cell::wireEvacuations(evacuations));
        }
    }
    const double now = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (const auto &[domain, offset] : announcedEvacuations_) {
        if (!cell::isEvacuated(evacuations, domain)) {
            metrics_.set("evacuated_since_seconds", 0, {{"domain", domain}});
            metrics_.set("evacuation_runs_left", 0, {{"domain", domain}});
        }
    }
    for (const auto &[domain, offset] : evacuations.domains) {
        if (announcedEvacuations_.count(domain) == 0) {
            metrics_.set("evacuated_since_seconds", now, {{"domain", domain}});
        }
    }
    announcedEvacuations_ = evacuations.domains;
    if (schedulerCore_ != nullptr) {
        schedulerCore_->applyEvacuations(evacuations, BootClock::now());
        schedulePlan();
    }
}

/// @p version: that of the state of @p peer, which sends it as well if it differs and is known there.
void CellEntryTask::evacuationsSeen(const std::string &peer, std::int64_t version)
{
    const cell::Evacuations &known = feed_.evacuations();
    if (settings_.evacuationApplyTime && cell::isKnown(known) && version != cell::versionOf(known)) {
        peers_->send(peer, cell::wireEvacuations(known));
    }
}

/// An agent that has refused a start because of an evacuation may have learned of it before this process.
void CellEntryTask::noteRefusal(const PeerMessage &message)
{
    const wire::StartResult *result = std::get_if<wire::StartResult>(&message);
    if (result != nullptr && result->__isset.evacuations) {
        feed_.offerEvacuations(cell::evacuationsOf(result->evacuations), "agent");
    }
}

/// Only the scheduler knows what runs.
void CellEntryTask::showEvacuationRuns()
{
    for (const auto &[domain, runs] : schedulerCore_->evacuationRuns()) {
        metrics_.set("evacuation_runs_left", double(runs), {{"domain", domain}});
    }
}

} // namespace knapweed
