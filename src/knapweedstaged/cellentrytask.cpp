// Servers, peers, configuration and callers of the entry. Leader election and the term as the scheduler are in cellleadership.cpp.

#include "cellentrytask.h"

#include "base/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace knapweed
{

namespace
{

constexpr Milliseconds tickInterval {100};
constexpr Milliseconds reportedDelay {500}; ///< of a tick; a loop that is this late delays every answer and every time-out
constexpr Milliseconds idleConnectionDrainTime {500}; ///< for callers that have just connected or that no answer has told to close
constexpr Milliseconds lastAnswersTime {500}; ///< for answers to the calls that no scheduler has answered when the process ends
constexpr Milliseconds listenerDrainTime {2500}; ///< the platform routes new connections to this entry until two readiness probes have failed
constexpr Milliseconds shutdownReserve {1000}; ///< time before the platform kills the process; requests still open then would be aborted in any case

MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// Within this time a stored record has to be read. Half of the time of an evacuation is for telling the agents, and for starts that are on their way.
Milliseconds readApplyTime(const cell::CellSettings &settings)
{
    return settings.evacuationApplyTime ? std::min(settings.configurationApplyTime, *settings.evacuationApplyTime / 2) : settings.configurationApplyTime;
}

/// Increases with each start of this process, also when it starts on another machine.
std::int64_t incarnationNow()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

CellEntryTask::CellEntryTask(const cell::SettingsFile &file)
    : settingsFile_(file)
    , settings_(settingsFile_.settings)
    , http_(loop_)
    , store_(http_, settings_.store)
    , feed_(loop_,
          store_,
          readApplyTime(settings_),
          static_cast<std::uint32_t>(std::hash<std::string>()(settings_.name)),
          [this](const cell::CellConfiguration &configuration) {
              configurationChanged(configuration);
          })
    , relay_([this](const wire::JobCall &call) {
        return sendToScheduler(call);
    })
    , callerApi_(feed_.configuration(),
          relay_,
          [this]() {
              return feed_.isConfirmed();
          })
    , incarnation_(incarnationNow())
{
    budgets_ = makeBudgets(settings_, "callers");
    peers_ = std::make_unique<PeerNetwork>(loop_, PeerNetworkOptions {}, networkEvents());
    startServers();
    if (!isListening()) {
        return;
    }
    self_ = toString(settings_.peers);
    wire::RosterEntry self;
    self.address = self_;
    self.role = wire::Role::Entry;
    self.incarnation = incarnation_;
    member_ = self_ + '/' + std::to_string(incarnation_);
    self.region = settings_.region;
    self.failureDomain = settings_.failureDomain;
    self.processorPermille = processorPermille();
    peers_->attach(*peerServer_, self, settings_.seeds);
    serveEvacuations();
    feed_.start();
    loop_.callEvery(tickInterval, [this]() {
        tick();
    });
    loop_.callEvery(cell::settingsFileInterval, [this]() {
        reload();
    });
    maintainLeadership();
    logEvent(LogLevel::Info, "process.started", {{"peers", self_}, {"callers", toString(settings_.callers)}, {"store", toString(settings_.store)}});
}

CellEntryTask::~CellEntryTask() = default;

void CellEntryTask::startServers()
{
    const HttpHandler notFound = [](const HttpRequest &, const HttpResponder &respond) {
        respond(jsonResponse(404, "{}"));
    };
    HttpServerOptions callerOptions = serverOptions(budgets_.strangers);
    callerOptions.keepsBody = [this](const HttpRequest &head) {
        return callerApi_.needsBody(head);
    };
    peerServer_ = std::make_unique<HttpServer>(loop_, settings_.peerListen, notFound, serverOptions(budgets_.peers), peers_->hooks());
    callerServer_ = std::make_unique<HttpServer>(
        loop_,
        settings_.callers,
        [this](const HttpRequest &request, const HttpResponder &respond) {
            callerApi_.handle(request, respond);
        },
        callerOptions);
    readinessServer_ = std::make_unique<HttpServer>(
        loop_,
        settings_.readiness,
        [this](const HttpRequest &, const HttpResponder &respond) {
            const bool isReady = !isDraining_ && feed_.configuration().version > 0;
            respond(jsonResponse(isReady ? 200 : 503, "{}"));
        },
        serverOptions(budgets_.strangers));
    metricsServer_ = std::make_unique<HttpServer>(
        loop_,
        Address {settings_.peers.ip, settings_.metricsPort},
        [this](const HttpRequest &, const HttpResponder &respond) {
            recordBudgets(budgets_, metrics_);
            HttpResponse response;
            response.headers["content-type"] = "text/plain; version=0.0.4";
            if (schedulerCore_) {
                const cell::LoadGauges &load = schedulerCore_->loadGauges();
                for (const auto &[service, endpoints] : load.reserved) {
                    metrics_.set("reserved_endpoints", endpoints, {{"service", service}});
                }
                for (const auto &[rank, units] : load.waiting) {
                    metrics_.set("waiting_units", double(units), {{"rank", std::to_string(static_cast<int>(rank))}});
                }
                const cell::AdviserCalls &adviser = schedulerCore_->adviserCalls();
                metrics_.set("adviser_open_calls", double(adviser.open.size()));
                metrics_.set("adviser_refusals_in_row", adviser.refusals);
                metrics_.set("adviser_slowness", adviser.slowness);
            }
            response.body = metrics_.text();
            respond(std::move(response));
        },
        serverOptions(budgets_.strangers));
}

PeerNetworkEvents CellEntryTask::networkEvents()
{
    PeerNetworkEvents events;
    events.received = [this](const std::string &peer, const PeerMessage &message) {
        receive(peer, message);
    };
    events.connected = [this](const wire::RosterEntry &peer) {
        if (peer.role == wire::Role::Entry && connectedEntries_.insert(peer.address).second && connectedEntries_.size() == 1) {
            logEvent(LogLevel::Info, "entries.connected", {{"first", peer.address}});
        }
        announceScheduler(peer.address);
        if (peer.address == scheduler_) {
            relay_.schedulerChanged(generation_, monotonicNow());
        }
    };
    events.disconnected = [this](const std::string &peer) {
        if (connectedEntries_.erase(peer) != 0 && connectedEntries_.empty()) {
            logEvent(LogLevel::Info, "entries.disconnected", {{"last", peer}});
        }
    };
    events.rosterChanged = []() {};
    events.configurationSeen = [this](const std::string &peer, std::int64_t version) {
        requestConfiguration(peer, version);
    };
    events.evacuationsSeen = [this](const std::string &peer, std::int64_t version) {
        evacuationsSeen(peer, version);
    };
    return events;
}

/// Notifies @p peer of the current scheduler, so that processes without access to the store can reach it.
void CellEntryTask::announceScheduler(const std::string &peer)
{
    if (scheduler_.empty() || (termGeneration_ != 0 && schedulerCore_ == nullptr)) {
        return;
    }
    wire::SchedulerNotice notice;
    notice.generation = generation_;
    notice.address = scheduler_;
    peers_->send(peer, notice);
}

void CellEntryTask::updateScheduler(std::int64_t generation, const std::string &address, const char *source)
{
    if (generation < generation_ || (generation == generation_ && address == scheduler_)) {
        return;
    }
    if (termGeneration_ != 0 && generation > termGeneration_) {
        endTerm("a peer announced a later generation");
    }
    generation_ = generation;
    scheduler_ = address;
    metrics_.set("scheduler_generation", double(generation));
    logEvent(LogLevel::Info, "scheduler.known", {{"generation", std::to_string(generation)}, {"address", address}, {"source", source}});
    relay_.schedulerChanged(generation_, monotonicNow());
    // Not every process is connected to the scheduler, so every entry notifies those connected to it.
    for (const wire::RosterEntry &peer : peers_->roster()) {
        if (peer.address != self_ && peers_->isConnected(peer.address)) {
            announceScheduler(peer.address);
        }
    }
}

void CellEntryTask::receiveNotice(const std::string &peer, const wire::SchedulerNotice &notice)
{
    if (notice.generation < generation_) {
        announceScheduler(peer);
        return;
    }
    if (notice.isLeaving) {
        if (notice.address == scheduler_) {
            scheduler_.clear();
        }
        if (!isDraining_) {
            scheduleLeadershipCheck(Milliseconds(0));
        }
        return;
    }
    if (notice.askedAtMs != 0 && notice.address == self_) {
        handleLeaseAnswer(peer, notice);
        return;
    }
    updateScheduler(notice.generation, notice.address, "peer");
    if (notice.askedAtMs != 0) {
        answerLeaseQuestion(peer, notice);
    }
}

void CellEntryTask::receive(const std::string &peer, const PeerMessage &message)
{
    if (const wire::SchedulerNotice *notice = std::get_if<wire::SchedulerNotice>(&message)) {
        receiveNotice(peer, *notice);
    } else if (const wire::JobAnswer *answer = std::get_if<wire::JobAnswer>(&message)) {
        if (answer->outcome == wire::CallOutcome::Outdated) {
            requestConfiguration(peer, answer->configurationVersion);
        }
        relay_.handleAnswer(*answer);
    } else if (const wire::CellConfigurationOffer *offer = std::get_if<wire::CellConfigurationOffer>(&message)) {
        if (!offer->document.empty()) {
            feed_.offer(offer->document, "peer");
        } else if (offer->version < feed_.configuration().version) {
            wire::CellConfigurationOffer reply;
            reply.version = feed_.configuration().version;
            reply.document = feed_.document();
            peers_->send(peer, reply);
        }
    } else if (const wire::EvacuationState *state = std::get_if<wire::EvacuationState>(&message)) {
        feed_.offerEvacuations(cell::evacuationsOf(*state), "peer");
    } else if (schedulerCore_ != nullptr) {
        noteRefusal(message);
        schedulerCore_->receive(peer, message, BootClock::now(), std::chrono::system_clock::now());
        flush();
    } else if (const wire::JobCall *call = std::get_if<wire::JobCall>(&message)) {
        wire::JobAnswer answer;
        answer.call = call->call;
        answer.outcome = wire::CallOutcome::NotScheduler;
        peers_->send(peer, answer);
    }
}

bool CellEntryTask::sendToScheduler(const wire::JobCall &call)
{
    if (schedulerCore_ != nullptr) {
        // Posted, because an immediate answer would remove the pending call while CallRelay is still sending it.
        loop_.post([this, call]() {
            if (schedulerCore_ != nullptr) {
                schedulerCore_->receive(self_, call, BootClock::now(), std::chrono::system_clock::now());
                flush();
            }
        });
        return true;
    }
    if (scheduler_.empty() || scheduler_ == self_ || !peers_->isConnected(scheduler_)) {
        return false;
    }
    peers_->send(scheduler_, call);
    return true;
}

std::int32_t CellEntryTask::processorPermille() const
{
    return static_cast<std::int32_t>(1000 * settings_.processorShare);
}

void CellEntryTask::noteDelay(MonotonicTime now)
{
    const Milliseconds delay = std::chrono::duration_cast<Milliseconds>(now - tickedAt_) - tickInterval;
    tickedAt_ = now;
    if (delay >= reportedDelay) {
        logEvent(LogLevel::Warning, "loop.delayed", {{"delay_ms", std::to_string(delay.count())}, {"connections", std::to_string(peers_->connections())}});
    }
}

void CellEntryTask::tick()
{
    const MonotonicTime now = monotonicNow();
    noteDelay(now);
    relay_.tick(now);
    maintainLeaseConfirmation();
    if (schedulerCore_ != nullptr && schedulerCore_->isBusy()) {
        schedulerCore_->tick(BootClock::now(), std::chrono::system_clock::now());
        flush();
    }
    if (schedulerCore_ != nullptr) {
        showEvacuationRuns();
    }
    if (isDraining_) {
        finishDrain(now);
    }
}

void CellEntryTask::drain()
{
    if (isDraining_) {
        return;
    }
    isDraining_ = true;
    drainStartedAt_ = monotonicNow();
    logEvent(LogLevel::Info, "process.draining", {{"open_calls", std::to_string(relay_.size())}});
    callerServer_->closeConnectionsAfterAnswers();
    relay_.endBy(drainStartedAt_ + settings_.grace - shutdownReserve - lastAnswersTime);
    peers_->setDraining(true);
    resignLeadership("shutdown");
}

void CellEntryTask::finishDrain(MonotonicTime now)
{
    const MonotonicTime listenerEnd = drainStartedAt_ + std::min(listenerDrainTime, settings_.grace / 2);
    if (now < listenerEnd) {
        return;
    }
    callerServer_->closeListener();
    const bool isIdle = !callerServer_->hasWaitingCallers() && (callerServer_->openConnections() == 0 || now >= listenerEnd + idleConnectionDrainTime);
    if (isIdle || now - drainStartedAt_ > settings_.grace - shutdownReserve) {
        logEvent(LogLevel::Info,
            "process.stopped",
            {{"open_requests", std::to_string(callerServer_->openRequests())}, {"open_connections", std::to_string(callerServer_->openConnections())}});
        loop_.stop();
    }
}

void CellEntryTask::reload()
{
    if (cell::rereadSettings(settingsFile_)) {
        peers_->setSeeds(settings_.seeds);
    }
}

bool CellEntryTask::isListening() const
{
    return peerServer_->isListening() && callerServer_->isListening() && readinessServer_->isListening();
}

Address CellEntryTask::configuredAddress() const
{
    return settings_.callers;
}

Address CellEntryTask::address() const
{
    return callerServer_->address();
}

EventLoop &CellEntryTask::loop()
{
    return loop_;
}

void CellEntryTask::run()
{
    loop_.run();
}

} // namespace knapweed
