// The agent's task: owns the sockets, the log's folds and the protocol core, and moves events and actions between them. One thread.
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

    /// False when the listening port can't be had.
    bool isListening() const;
    Address configuredAddress() const;
    Address address() const;
    EventLoop &loop();

    /// Serves on the calling thread until a drain has ended.
    void run();

    /// Starts the graceful shutdown; called again, it changes nothing.
    void drain();

    /// Settings are read at start only: says so in the log.
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
    std::vector<gangs::UndecidedStart> undecidedStarts_; ///< appended by this process and not yet decided by the log
    std::int64_t incarnation_;
    std::int64_t reportSequence_ = 0;
    TimerId tickTimer_ = 0; ///< 0 while none is pending
    bool isShortTickPending_ = false;
    bool isReportScheduled_ = false;
    bool isDraining_ = false;
    bool isStopping_ = false; ///< the drain limit has passed and what still ran is being stopped
    MonotonicTime drainStartedAt_;
    std::unique_ptr<LogClient> log_; ///< last, so that its thread stops before anything that it posts to is gone
};

} // namespace knapweed
