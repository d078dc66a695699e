// Main object of an agent process: owns the sockets, the folds of the log and the protocol core, and passes events and actions between them.
// Single-threaded: everything runs on the event loop, except the log client's own thread, which posts to it.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "base/httpserver.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "endpoints/endpointclient.h"
#include "gangs/agentcore.h"
#include "gangs/startverdict.h"
#include "logservice/jobfold.h"
#include "logservice/logclient.h"
#include "operators/configurationfold.h"
#include "peers/peernetwork.h"
#include "workers/workerclient.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweed
{

class AgentTask
{
public:
    explicit AgentTask(const Settings &settings);
    ~AgentTask();
    AgentTask(const AgentTask &) = delete;
    AgentTask &operator=(const AgentTask &) = delete;

    /// Returns false when the configured address could not be opened for listening.
    bool isListening() const;
    Address configuredAddress() const;
    Address address() const;
    EventLoop &loop();

    /// Runs the event loop on the calling thread until a drain has completed.
    void run();

    /// Starts the graceful shutdown. Further calls have no effect.
    void drain();

    /// Only logs that the settings are read at start.
    void reload();

private:
    PeerNetworkEvents networkEvents();
    void startCore();
    void startNetwork();
    void startLog();
    void startTimers();
    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    void handleAnnouncement(const HttpRequest &request, const HttpResponder &respond);
    void receive(const std::string &peer, const PeerMessage &message);
    void receiveOffer(const std::string &peer, const wire::ConfigurationOffer &offer);
    void offerConfiguration(const std::string &peer);
    void recordFolded(std::int64_t offset, const Record &record);
    void perform(gangs::Actions actions);
    void performAction(gangs::SendMessage &action);
    void performAction(gangs::WorkerCall &action);
    void performAction(gangs::EndpointCall &action);
    void performAction(gangs::AppendStart &action);
    void handleDecidedStarts();
    void scheduleTick();
    void tick();
    void scheduleReport();
    void sendReport();
    void finishDrain(MonotonicTime now);

    Settings settings_;
    EventLoop loop_;
    Metrics metrics_;
    HttpClient http_;
    WorkerClient worker_;
    EndpointClient endpoint_;
    JobFold jobFold_;
    ConfigurationFold configurationFold_;
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<gangs::AgentCore> core_;
    std::vector<gangs::UndecidedStart> undecidedStarts_; ///< start records appended by this process, until the log decides them
    std::int64_t incarnation_;
    std::int64_t reportSequence_ = 0;
    TimerId tickTimer_ = 0; ///< 0 while none is pending
    bool isShortTickPending_ = false;
    bool isReportScheduled_ = false;
    bool isDraining_ = false;
    bool isStopping_ = false; ///< the drain limit has passed and the remaining parts are being stopped
    MonotonicTime drainStartedAt_;
    std::unique_ptr<LogClient> log_; ///< declared last, so that its thread stops before the objects that it posts to are destroyed
};

} // namespace knapweed
