// Connects the components of the entry: HTTP, peers, configuration, jobs and planner. The use of the log is in entrylog.cpp.

#include "entrytask.h"

#include "base/logging.h"
#include "callers/jobid.h"
#include "operators/guaranteecheck.h"
#include "placement/rendezvous.h"
#include "status.h"

#include <chrono>
#include <utility>

namespace knapweed
{

namespace
{

constexpr Milliseconds idleTickInterval {200};
constexpr Milliseconds tickInterval {10};
constexpr Milliseconds periodicTaskInterval {500};

const std::string plannerElectionKey = "cell";

MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

HttpResponse unknownPath()
{
    return jsonResponse(404, R"({"error":"not_found","detail":"no such path; see docs/interfaces"})");
}

} // namespace

EntryTask::EntryTask(const Settings &settings)
    : settings_(settings)
    , nonce_(randomNonce())
{
    PeerNetworkEvents events;
    events.received = [this](const std::string &peer, const PeerMessage &message) {
        receive(peer, message);
    };
    events.connected = [this](const wire::RosterEntry &peer) {
        offerConfiguration(peer.address);
        updateRoster();
    };
    events.disconnected = [this](const std::string &) {
        updateRoster();
    };
    events.rosterChanged = [this]() {
        updateRoster();
    };
    events.configurationSeen = [this](const std::string &peer, std::int64_t) {
        wire::ConfigurationOffer request;
        request.version = configurationFold_.version();
        peers_->send(peer, request);
    };
    peers_ = std::make_unique<PeerNetwork>(loop_, PeerNetworkOptions {}, std::move(events));
    HttpServerOptions serverOptions;
    serverOptions.maximumBodyBytes = settings_.maximumBodyBytes;
    const HttpHandler handler = [this](const HttpRequest &request, const HttpResponder &respond) {
        handleHttp(request, respond);
    };
    server_ = std::make_unique<HttpServer>(loop_, settings_.listen, handler, serverOptions, peers_->hooks());
    if (!server_->isListening()) {
        return;
    }
    self_ = toString(server_->address());

    JobRegistryOptions registryOptions;
    registryOptions.address = self_;
    registryOptions.nonce = nonce_;
    registryOptions.incarnationOf = [this](const std::string &agent) -> std::int64_t {
        const auto report = plannerHost_.reports().find(agent);
        return report == plannerHost_.reports().end() ? 0 : report->second.incarnation;
    };
    jobRegistry_ = std::make_unique<JobRegistry>(std::move(registryOptions), jobFold_);
    callerApi_ = std::make_unique<CallerApi>(loop_, *jobRegistry_, jobFold_, plannerHost_, metrics_);

    OperatorApiHooks hooks;
    hooks.append = [this](const ConfigurationRecord &record) {
        return log_->append(record);
    };
    hooks.callAfter = [this](Milliseconds delay, std::function<void()> callback) {
        loop_.callAfter(delay, std::move(callback));
    };
    hooks.check = [this](const Configuration &next) {
        return checkGuarantees(configurationFold_.configuration(), next, plannerHost_.reports());
    };
    OperatorApiOptions operatorOptions;
    operatorOptions.operatorToken = settings_.operatorToken;
    operatorApi_ = std::make_unique<OperatorApi>(configurationFold_, operatorOptions, std::move(hooks));

    wire::RosterEntry roster;
    roster.address = self_;
    roster.role = wire::Role::Entry;
    roster.incarnation = nonce_;
    roster.region = settings_.region;
    roster.failureDomain = settings_.failureDomain;
    peers_->attach(*server_, roster, settings_.seeds);

    startLog();
    updateRoster();
    configurationChanged();
    armTick();
    loop_.callEvery(periodicTaskInterval, [this]() {
        runPeriodicTasks();
    });
}

EntryTask::~EntryTask() = default;

Address EntryTask::configuredAddress() const
{
    return settings_.listen;
}

void EntryTask::reload()
{
    logEvent(LogLevel::Warning, "settings.unchanged", {{"reason", "this role reads its settings at start only"}});
}

bool EntryTask::isListening() const
{
    return server_->isListening();
}

Address EntryTask::address() const
{
    return server_->address();
}

EventLoop &EntryTask::loop()
{
    return loop_;
}

void EntryTask::run()
{
    loop_.run();
}

void EntryTask::handleHttp(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/healthz") {
        respond(jsonResponse(200, R"({"status":"alive"})"));
    } else if (request.path == "/readyz") {
        answerReadiness(respond);
    } else if (request.path == "/metrics") {
        respond({200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text()});
    } else if (request.path == "/v1/status") {
        if (!operatorApi_->isAuthorized(request)) {
            respond(unauthorizedResponse());
            return;
        }
        const StatusSources sources {
            configurationFold_, plannerHost_, *jobRegistry_, peers_->roster(), planner_, isLogReachable_, log_->pendingAppends(), jobFold_.nextOffset()};
        respond(statusResponse(sources, std::chrono::system_clock::now()));
    } else if (callerApi_->handle(request, respond)) {
        processPending();
    } else if (!operatorApi_->handle(request, respond)) {
        respond(unknownPath());
    }
}

void EntryTask::answerReadiness(const HttpResponder &respond) const
{
    if (isDraining_) {
        respond(jsonResponse(503, R"({"status":"draining"})"));
    } else if (configurationFold_.version() == 0 && !isCaughtUp_) {
        respond(jsonResponse(503, R"({"status":"waiting for the log or a peer's configuration"})"));
    } else {
        respond(jsonResponse(200, R"({"status":"ready"})"));
    }
}

void EntryTask::receive(const std::string &peer, const PeerMessage &message)
{
    if (const wire::ConfigurationOffer *offer = std::get_if<wire::ConfigurationOffer>(&message)) {
        receiveOffer(peer, *offer);
        return;
    }
    const MonotonicTime now = monotonicNow();
    plannerHost_.receive(now, message);
    jobRegistry_->receive(now, peer, message);
    processPending();
}

void EntryTask::receiveOffer(const std::string &peer, const wire::ConfigurationOffer &offer)
{
    // An offer without a document requests the configuration of this process.
    if (offer.document.empty()) {
        if (offer.version < configurationFold_.version()) {
            offerConfiguration(peer);
        }
    } else if (configurationFold_.adopt(offer.version, offer.document, offer.author)) {
        configurationChanged();
    }
}

void EntryTask::offerConfiguration(const std::string &peer)
{
    if (configurationFold_.version() == 0) {
        return;
    }
    wire::ConfigurationOffer offer;
    offer.version = configurationFold_.version();
    offer.document = configurationFold_.current().document;
    offer.author = configurationFold_.current().author;
    peers_->send(peer, offer);
}

void EntryTask::applyConfiguration()
{
    const WallTime now = std::chrono::system_clock::now();
    const Configuration effective = effectiveConfiguration(configurationFold_.configuration(), now);
    callerApi_->setConfiguration(effective);
    plannerHost_.setConfiguration(effective);
    jobRegistry_->setDefaults(effective.defaults);
    nextExpiry_ = nextExpiry(configurationFold_.configuration(), now);
    scheduleDecision();
}

void EntryTask::configurationChanged()
{
    applyConfiguration();
    peers_->setConfigurationVersion(configurationFold_.version());
    metrics_.set("configuration_version", static_cast<double>(configurationFold_.version()));
    for (const wire::RosterEntry &peer : peers_->roster()) {
        if (peer.address != self_ && peers_->isConnected(peer.address)) {
            offerConfiguration(peer.address);
        }
    }
    logEvent(LogLevel::Info, "configuration.in_force", {{"version", std::to_string(configurationFold_.version())}});
}

void EntryTask::updateRoster()
{
    std::map<std::int64_t, std::string> live;
    std::map<std::int64_t, std::string> candidates;
    for (const wire::RosterEntry &process : peers_->roster()) {
        if (process.role != wire::Role::Entry) {
            continue;
        }
        live.emplace(process.incarnation, process.address);
        const bool isReachable = process.address == self_ || peers_->isConnected(process.address);
        if (isReachable && !peers_->isDraining(process.address)) {
            candidates.emplace(process.incarnation, process.address);
        }
    }
    if (isDraining_) {
        candidates.erase(nonce_);
        live.clear();
    }
    // A process that has ended stays in the roster for a while, so only a connected entry can be the planner. A draining entry still finishes its own jobs,
    // which are therefore not orphaned, but it takes over no jobs of other entries and does not plan.
    jobRegistry_->setLiveEntries(live);
    planner_ = rendezvousChoice(plannerElectionKey, candidates);
    jobRegistry_->setPlanner(monotonicNow(), planner_);
}

void EntryTask::deliver(const std::string &peer, const PeerMessage &message)
{
    if (peer != self_) {
        peers_->send(peer, message);
        return;
    }
    const MonotonicTime now = monotonicNow();
    plannerHost_.receive(now, message);
    jobRegistry_->receive(now, self_, message);
}

void EntryTask::processPending()
{
    performJobActions();
    if (plannerHost_.isDue()) {
        scheduleDecision();
    }
    if (isDraining_) {
        finishDrain();
    }
    armTick();
}

void EntryTask::performJobActions()
{
    for (std::vector<JobRegistryAction> actions = jobRegistry_->takeActions(); !actions.empty(); actions = jobRegistry_->takeActions()) {
        for (const JobRegistryAction &action : actions) {
            if (const SendPeer *send = std::get_if<SendPeer>(&action)) {
                deliver(send->peer, send->message);
            } else if (const AppendRecord *append = std::get_if<AppendRecord>(&action)) {
                if (!log_->append(append->record)) {
                    logEvent(LogLevel::Error, "log.queue_full");
                }
            } else if (const JobChanged *change = std::get_if<JobChanged>(&action)) {
                if (change->hasFinished) {
                    callerApi_->recordOutcome(*jobRegistry_->job(change->job));
                }
                callerApi_->jobChanged(change->job);
            }
        }
    }
}

void EntryTask::scheduleDecision()
{
    if (isDecisionPosted_) {
        return;
    }
    isDecisionPosted_ = true;
    loop_.post([this]() {
        isDecisionPosted_ = false;
        decide();
    });
}

void EntryTask::decide()
{
    const PlannerHost::Messages messages = plannerHost_.decide(monotonicNow());
    for (const auto &[peer, message] : messages) {
        deliver(peer, message);
    }
    performJobActions();
}

void EntryTask::armTick()
{
    const bool isBusy = jobRegistry_->unfinishedJobs() > 0 || isDraining_;
    const Milliseconds interval = isBusy ? tickInterval : idleTickInterval;
    if (tickTimer_ != 0 && armedInterval_ <= interval) {
        return;
    }
    loop_.cancelTimer(tickTimer_);
    armedInterval_ = interval;
    tickTimer_ = loop_.callAfter(interval, [this]() {
        tickTimer_ = 0;
        tick();
    });
}

void EntryTask::tick()
{
    jobRegistry_->tick(monotonicNow());
    processPending();
}

void EntryTask::runPeriodicTasks()
{
    updateRoster();
    writeSnapshotWhenDue();
    if (std::chrono::system_clock::now() >= nextExpiry_) {
        applyConfiguration();
    }
    metrics_.set("queue_length", static_cast<double>(plannerHost_.waitingJobs()));
    metrics_.set("unfinished_jobs", static_cast<double>(jobRegistry_->unfinishedJobs()));
    metrics_.set("peer_connections", static_cast<double>(peers_->connections()));
    metrics_.set("log_pending_appends", static_cast<double>(log_->pendingAppends()));
    metrics_.set("log_reachable", isLogReachable_ ? 1 : 0);
    scheduleDecision();
}

void EntryTask::drain()
{
    if (isDraining_) {
        return;
    }
    isDraining_ = true;
    drainStartedAt_ = monotonicNow();
    logEvent(LogLevel::Info, "entry.draining", {{"unfinished_jobs", std::to_string(jobRegistry_->unfinishedJobs())}});
    peers_->setDraining(true);
    updateRoster();
    callerApi_->drain();
    processPending();
}

void EntryTask::finishDrain()
{
    const bool isIdle = callerApi_->waitingSubmitters() == 0 && server_->openRequests() == 0 && log_->pendingAppends() == 0;
    const bool isOverdue = monotonicNow() - drainStartedAt_ > settings_.drainLimit;
    if (isStopping_ || !(isIdle || isOverdue)) {
        return;
    }
    isStopping_ = true;
    logEvent(LogLevel::Info, "entry.stopped", {{"unfinished_jobs", std::to_string(jobRegistry_->unfinishedJobs())}});
    loop_.stop();
}

} // namespace knapweed
