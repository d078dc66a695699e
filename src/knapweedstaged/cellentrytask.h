// The entry's task: serves callers, follows the configuration, and is the scheduler of the cell while it holds that place. One thread.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "base/httpserver.h"
#include "base/metrics.h"
#include "callrelay.h"
#include "cell/election.h"
#include "cell/scheduler.h"
#include "cell/settings.h"
#include "cellcallerapi.h"
#include "configurationfeed.h"
#include "journalwriter.h"
#include "peers/peernetwork.h"
#include "storeclient.h"

#include <memory>
#include <string>

namespace knapweed
{

class CellEntryTask
{
public:
    explicit CellEntryTask(const cell::CellSettings &settings);
    ~CellEntryTask();
    CellEntryTask(const CellEntryTask &) = delete;
    CellEntryTask &operator=(const CellEntryTask &) = delete;

    bool isListening() const;
    Address configuredAddress() const;
    Address address() const;
    EventLoop &loop();

    /// Serves on the calling thread until a drain has ended.
    void run();

    /// Starts the graceful shutdown; called again, it changes nothing.
    void drain();

    /// Checks the settings file anew; a bad one is refused and the settings in force stay.
    void reload();

private:
    PeerNetworkEvents networkEvents();
    void startServers();
    void receive(const std::string &peer, const PeerMessage &message);
    void receiveNotice(const std::string &peer, const wire::SchedulerNotice &notice);
    void configurationChanged(const cell::CellConfiguration &configuration);
    void updateScheduler(std::int64_t generation, const std::string &address, const char *source);
    bool sendToScheduler(const wire::JobCall &call);
    void announceScheduler(const std::string &peer);

    void maintainLeadership();
    bool isSchedulerConnected() const;
    void handleOwner(const Result<platform::GroupOwner, platform::StoreError> &result, Milliseconds queryLatency);
    std::int32_t processorPermille() const;
    std::vector<cell::LeaderCandidate> otherCandidates() const;
    std::vector<wire::RosterEntry> otherEntries() const;
    bool isHandOverDue() const;
    void handOver();
    void join();
    void scheduleLeadershipCheck(Milliseconds delay);
    void handleMembership(const Result<platform::Membership, platform::StoreError> &result);
    void beginTerm(std::int64_t generation);
    void refusePendingSubmissions(bool isStoreReachable);
    void loadJobs(const std::string &afterKey);
    void jobsLoaded();
    void endTerm(const char *reason);
    void resignLeadership(const char *reason);
    void flush();
    void requestAdvice(const cell::AdviceRequest &question);
    void schedulePlan();
    void tick();
    void finishDrain(MonotonicTime now);

    cell::CellSettings settings_;
    EventLoop loop_;
    Metrics metrics_;
    HttpClient http_;
    platform::StoreClient store_;
    ConfigurationFeed feed_;
    CallRelay relay_;
    CellCallerApi callerApi_;
    std::string self_; ///< this process's peer address
    std::string member_; ///< this process in the store's group; a restarted one is another member, so that no two tenures share a generation
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> peerServer_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> metricsServer_;

    std::int64_t generation_ = 0; ///< the highest heard of; never falls
    std::string scheduler_; ///< its peer address; empty while none is known
    std::int64_t groupGeneration_ = 0; ///< of the last answer to a join
    TimerId leadershipTimer_ = 0;
    bool isGroupCallPending_ = false; ///< a join, or a look at the place, is under way
    bool isLeadershipFree_ = false; ///< at the last look
    cell::LeaderMonitor leaderMonitor_;
    cell::LeadershipLossDetector lossDetector_; ///< of the own tenure

    const MonotonicTime startedAt_ = std::chrono::steady_clock::now();
    MonotonicTime termStartedAt_;
    Milliseconds handOverDelay_ {3000}; ///< of a tenure; by then the peers are connected
    std::int64_t termGeneration_ = 0; ///< the generation of the own tenure; 0 without one
    std::unique_ptr<JournalWriter> journal_; ///< not null during a tenure
    std::unique_ptr<cell::Scheduler> schedulerCore_; ///< not null once the jobs of a tenure are loaded
    std::map<std::string, std::string> loadedRecords_; ///< records read so far
    bool isPlanScheduled_ = false;

    bool isDraining_ = false;
    MonotonicTime drainStartedAt_;
};

} // namespace knapweed
