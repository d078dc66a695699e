// Connects the agent's core to the peers, the worker, the endpoint and the log. All decisions are made in the core.

#include "agenttask.h"

#include "base/logging.h"
#include "endpoints/announcement.h"

#include <nlohmann/json.hpp>

#include <random>

namespace knapweed
{

namespace
{

constexpr Milliseconds tickInterval {25}; ///< while the core is busy or the agent drains
constexpr Milliseconds idleTickInterval {250};
constexpr Milliseconds reportDelay {10}; ///< changes within this time share one report
constexpr Milliseconds reportInterval {1000};
constexpr Milliseconds callTimeout {1000};
constexpr Milliseconds stopTimeout {5000}; ///< how long a drain waits, after the drain limit, for the remaining parts to stop
constexpr std::size_t maximumFinishedJobs = 20000;

MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// Returns a positive number, because 0 means none.
std::int64_t randomNumber()
{
    static std::random_device device;
    std::uniform_int_distribution<std::int64_t> numbers(1);
    return numbers(device);
}

HttpResponse fieldError(const AnnouncementError &failure)
{
    return jsonResponse(400, nlohmann::json {{"error", "invalid"}, {"field", failure.field}, {"detail", failure.detail}}.dump());
}

} // namespace

AgentTask::AgentTask(const Settings &settings)
    : settings_(settings)
    , http_(loop_)
    , worker_(http_, settings.worker.address, callTimeout)
    , endpoint_(http_, callTimeout)
    , incarnation_(randomNumber())
{
    peers_ = std::make_unique<PeerNetwork>(loop_, PeerNetworkOptions {}, networkEvents());
    HttpServerOptions options;
    options.maximumBodyBytes = settings_.maximumBodyBytes;
    const HttpHandler handler = [this](const HttpRequest &request, const HttpResponder &respond) {
        handleHttp(request, respond);
    };
    server_ = std::make_unique<HttpServer>(loop_, settings_.listen, handler, options, peers_->hooks());
    if (!server_->isListening()) {
        return;
    }
    startCore();
    startNetwork();
    startLog();
    startTimers();
}

AgentTask::~AgentTask() = default;

Address AgentTask::configuredAddress() const
{
    return settings_.listen;
}

void AgentTask::reload()
{
    logEvent(LogLevel::Warning, "settings.unchanged", {{"reason", "this role reads its settings at start only"}});
}

PeerNetworkEvents AgentTask::networkEvents()
{
    PeerNetworkEvents events;
    events.received = [this](const std::string &peer, const PeerMessage &message) {
        receive(peer, message);
    };
    events.connected = [this](const wire::RosterEntry &peer) {
        offerConfiguration(peer.address);
        scheduleReport();
    };
    events.disconnected = [](const std::string &) {};
    events.rosterChanged = []() {};
    events.configurationSeen = [this](const std::string &peer, std::int64_t) {
        wire::ConfigurationOffer request;
        request.version = configurationFold_.version();
        peers_->send(peer, request);
    };
    return events;
}

void AgentTask::startCore()
{
    gangs::CoreOptions options;
    options.self = toString(server_->address());
    options.incarnation = incarnation_;
    options.callTimeout = callTimeout;
    options.endpointExpiry = settings_.endpointExpiry;
    core_ = std::make_unique<gangs::AgentCore>(options, settings_.worker, randomNumber);
}

void AgentTask::startNetwork()
{
    wire::RosterEntry self;
    self.address = toString(server_->address());
    self.role = wire::Role::Agent;
    self.incarnation = incarnation_;
    self.region = settings_.region;
    self.failureDomain = settings_.failureDomain;
    peers_->attach(*server_, self, settings_.seeds);
}

void AgentTask::startLog()
{
    LogClientOptions options;
    options.service = settings_.logService;
    options.stream = settings_.logStream;
    LogClientEvents events;
    events.record = [this](std::int64_t offset, const Record &record) {
        loop_.post([this, offset, record]() {
            recordFolded(offset, record);
        });
    };
    events.caughtUp = [this]() {
        loop_.post([this]() {
            jobFold_.setCaughtUp();
            handleDecidedStarts();
        });
    };
    events.reachability = [this](bool isReachable) {
        loop_.post([isReachable]() {
            logEvent(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "log.reachable" : "log.unreachable");
        });
    };
    events.skipped = [this](std::int64_t offset) {
        loop_.post([this, offset]() {
            configurationFold_.skipTo(offset);
        });
    };
    log_ = std::make_unique<LogClient>(std::move(options), std::move(events));
}

void AgentTask::startTimers()
{
    scheduleTick();
    loop_.callEvery(reportInterval, [this]() {
        sendReport();
    });
}

bool AgentTask::isListening() const
{
    return server_->isListening();
}

Address AgentTask::address() const
{
    return server_->address();
}

EventLoop &AgentTask::loop()
{
    return loop_;
}

void AgentTask::run()
{
    loop_.run();
}

void AgentTask::handleHttp(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "POST" && request.path == "/v1/endpoint") {
        handleAnnouncement(request, respond);
    } else if (request.path == "/healthz") {
        respond(jsonResponse(200, R"({"status":"alive"})"));
    } else if (request.path == "/readyz") {
        const bool ready = core_ && core_->member().isAvailable(monotonicNow());
        respond(ready ? jsonResponse(200, R"({"status":"ready"})") : jsonResponse(503, R"({"status":"takes no work"})"));
    } else if (request.path == "/metrics") {
        respond({200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text()});
    } else {
        respond(jsonResponse(404, R"({"error":"not_found","detail":"no such path; see docs/interfaces"})"));
    }
}

void AgentTask::handleAnnouncement(const HttpRequest &request, const HttpResponder &respond)
{
    const Result<gangs::EndpointAnnouncement, AnnouncementError> parsed = parseAnnouncement(request.body);
    if (!isOk(parsed)) {
        respond(fieldError(error(parsed)));
        return;
    }
    perform(core_->handleAnnouncement(monotonicNow(), value(parsed)));
    respond(jsonResponse(200, "{}"));
}

void AgentTask::receive(const std::string &peer, const PeerMessage &message)
{
    if (const wire::ConfigurationOffer *offer = std::get_if<wire::ConfigurationOffer>(&message)) {
        receiveOffer(peer, *offer);
        return;
    }
    perform(core_->handleMessage(monotonicNow(), peer, message));
}

void AgentTask::receiveOffer(const std::string &peer, const wire::ConfigurationOffer &offer)
{
    // An offer without a document requests the configuration of this process.
    if (offer.document.empty()) {
        if (offer.version < configurationFold_.version()) {
            offerConfiguration(peer);
        }
    } else if (configurationFold_.adopt(offer.version, offer.document, offer.author)) {
        peers_->setConfigurationVersion(configurationFold_.version());
    }
}

void AgentTask::offerConfiguration(const std::string &peer)
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

void AgentTask::recordFolded(std::int64_t offset, const Record &record)
{
    jobFold_.apply(offset, record);
    gangs::markFolded(undecidedStarts_, record);
    configurationFold_.apply(offset, record);
    peers_->setConfigurationVersion(configurationFold_.version());
    handleDecidedStarts();
    jobFold_.evictFinished(maximumFinishedJobs);
}

void AgentTask::handleDecidedStarts()
{
    for (const gangs::StartDecision &decision : gangs::takeDecisions(jobFold_, undecidedStarts_)) {
        perform(core_->handleStart(monotonicNow(), decision));
    }
}

void AgentTask::perform(gangs::Actions actions)
{
    for (gangs::Action &action : actions) {
        std::visit(
            [this](auto &typed) {
                performAction(typed);
            },
            action);
    }
    if (core_->takeChanged()) {
        scheduleReport();
    }
    scheduleTick();
}

void AgentTask::performAction(gangs::SendMessage &action)
{
    peers_->send(action.peer, action.message);
}

void AgentTask::performAction(gangs::WorkerCall &action)
{
    worker_.perform(action, [this](const gangs::WorkerAnswer &answer) {
        perform(core_->handleWorker(monotonicNow(), answer));
    });
}

void AgentTask::performAction(gangs::EndpointCall &action)
{
    endpoint_.perform(action, [this](const gangs::EndpointAnswer &answer) {
        perform(core_->handleEndpoint(monotonicNow(), answer));
    });
}

void AgentTask::performAction(gangs::AppendStart &action)
{
    std::optional<gangs::StartVerdict> verdict = gangs::startVerdict(jobFold_, {action.record, false});
    if (!verdict && !log_->append(action.record)) {
        verdict = gangs::StartVerdict::NotAppended;
    }
    if (!verdict) {
        undecidedStarts_.push_back({action.record, false});
        return;
    }
    const gangs::StartDecision decision {action.record.attempt, action.record.leadNonce, *verdict};
    loop_.post([this, decision]() {
        perform(core_->handleStart(monotonicNow(), decision));
    });
}

/// An idle agent uses a longer tick interval. Once it is busy, a pending idle tick is replaced by an earlier one.
void AgentTask::scheduleTick()
{
    const bool busy = isDraining_ || core_->isBusy();
    if (tickTimer_ != 0 && (isShortTickPending_ || !busy)) {
        return;
    }
    loop_.cancelTimer(tickTimer_);
    isShortTickPending_ = busy;
    tickTimer_ = loop_.callAfter(busy ? tickInterval : idleTickInterval, [this]() {
        tickTimer_ = 0;
        tick();
        scheduleTick();
    });
}

void AgentTask::tick()
{
    const MonotonicTime now = monotonicNow();
    perform(core_->tick(now));
    if (isDraining_) {
        finishDrain(now);
    }
}

void AgentTask::scheduleReport()
{
    if (isReportScheduled_) {
        return;
    }
    isReportScheduled_ = true;
    loop_.callAfter(reportDelay, [this]() {
        isReportScheduled_ = false;
        sendReport();
    });
}

void AgentTask::sendReport()
{
    wire::AgentReport report = core_->report(monotonicNow());
    report.sequence = ++reportSequence_;
    report.region = settings_.region;
    report.failureDomain = settings_.failureDomain;
    for (const wire::RosterEntry &peer : peers_->roster()) {
        if (peer.role == wire::Role::Entry && peers_->isConnected(peer.address)) {
            peers_->send(peer.address, report);
        }
    }
}

void AgentTask::drain()
{
    if (isDraining_) {
        return;
    }
    logEvent(LogLevel::Info, "agent.draining");
    isDraining_ = true;
    drainStartedAt_ = monotonicNow();
    peers_->setDraining(true);
    perform(core_->drain(drainStartedAt_));
}

void AgentTask::finishDrain(MonotonicTime now)
{
    const bool limitPassed = now - drainStartedAt_ >= settings_.drainLimit;
    if (limitPassed && !isStopping_) {
        logEvent(LogLevel::Warning, "agent.drain_limit_passed");
        isStopping_ = true;
        perform(core_->stopAll(now));
    }
    if (core_->isDrained() || now - drainStartedAt_ >= settings_.drainLimit + stopTimeout) {
        logEvent(LogLevel::Info, "agent.drained", {{"complete", core_->isDrained() ? "true" : "false"}});
        loop_.stop();
    }
}

} // namespace knapweed
