// The entry's core task: owns the sockets, the folds, the job board and the planner host, and moves messages between them. One thread.
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
    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    void answerReadiness(const HttpResponder &respond) const;
    void receive(const std::string &peer, const PeerMessage &message);
    void receiveOffer(const std::string &peer, const wire::ConfigurationOffer &offer);
    void offerConfiguration(const std::string &peer);
    void recordFolded(std::int64_t offset, const Record &record);
    void configurationChanged();
    /// Tells the parts what is in force now; again when an exception expires.
    void applyConfiguration();
    void updateRoster();
    void processPending();
    void performJobActions();
    void scheduleDecision();
    void decide();
    /// Sees to it that the board ticks soon while it has work, and seldom when it has none.
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
    WallTime nextExpiry_ = WallTime::max(); ///< when the configuration must be applied again
    TimerId tickTimer_ = 0; ///< 0 when none is armed
    Milliseconds armedInterval_ {0}; ///< of the armed timer
    MonotonicTime drainStartedAt_;
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<JobRegistry> jobRegistry_;
    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<OperatorApi> operatorApi_;
    std::unique_ptr<LogClient> log_; ///< after what it posts to, so that its thread stops before that is gone
    std::unique_ptr<SnapshotWriter> snapshots_;
};

} // namespace knapweed
