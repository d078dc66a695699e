// Main object of an entry process: owns the sockets, the folds of the log, the jobs of this entry and the planner host, and passes messages between them.
// Single-threaded: everything runs on the event loop, except the log client's own thread, which posts to it.
#pragma once

#include "base/eventloop.h"
#include "base/httpserver.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "callers/callerapi.h"
#include "callers/jobregistry.h"
#include "logservice/jobfold.h"
#include "logservice/logclient.h"
#include "logservice/snapshotwriter.h"
#include "operators/configurationfold.h"
#include "operators/operatorapi.h"
#include "peers/peernetwork.h"
#include "placement/plannerhost.h"

#include <memory>
#include <string>

namespace knapweed
{

class EntryTask
{
public:
    explicit EntryTask(const Settings &settings);
    ~EntryTask();

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
    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    void answerReadiness(const HttpResponder &respond) const;
    void receive(const std::string &peer, const PeerMessage &message);
    void receiveOffer(const std::string &peer, const wire::ConfigurationOffer &offer);
    void offerConfiguration(const std::string &peer);
    void recordFolded(std::int64_t offset, const Record &record);
    void configurationChanged();
    /// Passes the configuration in force to the components that use it. Also called when a configuration exception expires.
    void applyConfiguration();
    void updateRoster();
    void processPending();
    void performJobActions();
    void scheduleDecision();
    void decide();
    /// Schedules the next tick: after a short interval while jobs are unfinished or the entry drains, otherwise after a longer one.
    void armTick();
    void tick();
    void runPeriodicTasks();
    void startLog();
    void writeSnapshotWhenDue();
    void finishDrain();
    void deliver(const std::string &peer, const PeerMessage &message);

    Settings settings_;
    EventLoop loop_;
    Metrics metrics_;
    JobFold jobFold_;
    ConfigurationFold configurationFold_;
    PlannerHost plannerHost_;
    std::int64_t nonce_;
    std::string self_;
    std::string planner_;
    bool isCaughtUp_ = false;
    bool isLogReachable_ = false;
    bool isDecisionPosted_ = false;
    bool isDraining_ = false;
    bool isStopping_ = false;
    WallTime nextExpiry_ = WallTime::max(); ///< when the next exception expires and the configuration must be applied again
    TimerId tickTimer_ = 0; ///< 0 while none is pending
    Milliseconds armedInterval_ {0}; ///< interval of the pending tick
    MonotonicTime drainStartedAt_;
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<JobRegistry> jobRegistry_;
    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<OperatorApi> operatorApi_;
    std::unique_ptr<LogClient> log_; ///< declared after the objects that it posts to, so that its thread stops before they are destroyed
    std::unique_ptr<SnapshotWriter> snapshots_;
};

} // namespace knapweed
