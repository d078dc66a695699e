// Servers, peers and callbacks of the agent.

#include "cellagenttask.h"

#include "base/logging.h"
#include "documents.h"
#include "endpointcalls.h"

namespace knapweed
{

namespace
{

constexpr Milliseconds tickInterval {100};
constexpr std::size_t entryLinks =
    3; ///< to receive the announcements of a new scheduler; with the seeds, enough to survive the loss of several entries at once
constexpr const char *reportPath = "/-/instances/";

} // namespace

CellAgentTask::CellAgentTask(const cell::SettingsFile &file)
    : settingsFile_(file)
    , settings_(settingsFile_.settings)
    , http_(loop_)
{
    PeerNetworkOptions options;
    options.entryLinks = entryLinks;
    peers_ = std::make_unique<PeerNetwork>(loop_, options, networkEvents());
    const HttpHandler notFound = [](const HttpRequest &, const HttpResponder &respond) {
        respond(jsonResponse(404, "{}"));
    };
    budgets_ = makeBudgets(settings_, "endpoint");
    HttpServerOptions reportOptions = serverOptions(budgets_.strangers);
    reportOptions.keepsBody = [](const HttpRequest &head) {
        return head.method != "DELETE" && head.path.starts_with(reportPath);
    };
    peerServer_ = std::make_unique<HttpServer>(loop_, settings_.peerListen, notFound, serverOptions(budgets_.peers), peers_->hooks());
    reportServer_ = std::make_unique<HttpServer>(
        loop_,
        settings_.endpointReports,
        [this](const HttpRequest &request, const HttpResponder &respond) {
            handleReport(request, respond);
        },
        reportOptions);
    if (!isListening()) {
        return;
    }
    cell::AgentHooks hooks;
    hooks.driver = platform::makeEndpointDriver(http_, settings_.endpoint);
    hooks.send = [this](const std::string &peer, const PeerMessage &message) {
        peers_->send(peer, message);
    };
    hooks.now = []() {
        return BootClock::now();
    };
    wire::RosterEntry self;
    self.address = toString(settings_.peers);
    self.role = wire::Role::Agent;
    self.incarnation = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    self.region = settings_.region;
    self.failureDomain = settings_.failureDomain;
    const bool servesEvacuations = settings_.evacuationApplyTime.has_value();
    if (servesEvacuations) {
        hooks.evacuationsChanged = [this](std::int64_t version) {
            peers_->setEvacuationsVersion(version);
        };
        peers_->setEvacuationsVersion(cell::versionOf(cell::Evacuations()));
    }
    agent_ = std::make_unique<cell::Agent>(
        cell::AgentOptions {self.incarnation, settings_.lease, settings_.service, settings_.failureDomain, servesEvacuations}, std::move(hooks));
    peers_->attach(*peerServer_, self, settings_.seeds);
    loop_.callEvery(tickInterval, [this]() {
        agent_->tick();
    });
    loop_.callEvery(cell::settingsFileInterval, [this]() {
        reload();
    });
    logEvent(LogLevel::Info, "process.started", {{"peers", self.address}, {"endpoint", toString(settings_.endpoint)}});
}

CellAgentTask::~CellAgentTask() = default;

PeerNetworkEvents CellAgentTask::networkEvents()
{
    PeerNetworkEvents events;
    events.received = [this](const std::string &peer, const PeerMessage &message) {
        agent_->receive(peer, message);
    };
    events.connected = [this](const wire::RosterEntry &peer) {
        agent_->connected(peer.address);
    };
    events.disconnected = [](const std::string &) {};
    events.rosterChanged = []() {};
    events.configurationSeen = [](const std::string &, std::int64_t) {}; // agents do not use the configuration
    events.evacuationsSeen = [this](const std::string &peer, std::int64_t version) {
        agent_->evacuationsSeen(peer, version);
    };
    return events;
}

void CellAgentTask::handleReport(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string path = reportPath;
    if (request.path.compare(0, path.size(), path) != 0) {
        respond(jsonResponse(404, "{}"));
        return;
    }
    const std::string id = request.path.substr(path.size());
    if (request.method == "DELETE") {
        agent_->endpointLeft(id);
        respond(jsonResponse(200, "{}"));
        return;
    }
    const Result<cell::EndpointStatus, platform::DocumentError> status = platform::decodeEndpointStatus(id, request.body);
    if (!isOk(status)) {
        logEvent(LogLevel::Warning, "endpoint.unreadable", {{"endpoint", id}, {"reason", error(status).detail}});
        respond(jsonResponse(400, "{}"));
        return;
    }
    agent_->endpointReported(value(status));
    respond(jsonResponse(200, "{}"));
}

bool CellAgentTask::isListening() const
{
    return peerServer_->isListening() && reportServer_->isListening();
}

Address CellAgentTask::configuredAddress() const
{
    return settings_.endpointReports;
}

Address CellAgentTask::address() const
{
    return reportServer_->address();
}

EventLoop &CellAgentTask::loop()
{
    return loop_;
}

void CellAgentTask::run()
{
    loop_.run();
}

void CellAgentTask::drain()
{
    logEvent(LogLevel::Info, "process.stopped", {{"running", std::to_string(agent_->runningTasks())}});
    loop_.stop();
}

void CellAgentTask::reload()
{
    if (cell::rereadSettings(settingsFile_)) {
        peers_->setSeeds(settings_.seeds);
    }
}

} // namespace knapweed
