// Main object of an entry process of the cell: serves callers, follows the configuration, and runs the scheduler while this entry is the leader.
// Single-threaded: everything runs on the event loop.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "base/httpserver.h"
#include "base/metrics.h"
#include "callrelay.h"
#include "cell/election.h"
#include "cell/leaseconfirmation.h"
#include "cell/scheduler.h"
#include "cell/settingsfile.h"
#include "cellcallerapi.h"
#include "configurationfeed.h"
#include "journalwriter.h"
#include "peers/peernetwork.h"
#include "processbudgets.h"
#include "storeclient.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace knapweed
{

/// How long the store's confirmation of the term counts, from when it was asked for. Short of the lifetime of a membership at the store.
constexpr Milliseconds confirmationLifetime {1000};

class CellEntryTask
{
public:
    explicit CellEntryTask(const cell::SettingsFile &file);
    ~CellEntryTask();
    CellEntryTask(const CellEntryTask &) = delete;
    CellEntryTask &operator=(const CellEntryTask &) = delete;

    bool isListening() const;
    Address configuredAddress() const;
    Address address() const;
    EventLoop &loop();

    /// Runs the event loop on the calling thread until a drain has completed.
    void run();

    /// Starts the graceful shutdown. Further calls have no effect.
    void drain();

    /// Applies the settings file if it has changed.
    void reload();

private:
    PeerNetworkEvents networkEvents();
    void startServers();
    void receive(const std::string &peer, const PeerMessage &message);
    void receiveNotice(const std::string &peer, const wire::SchedulerNotice &notice);
    cell::EntryIncarnations knownEntries();
    void beginLeaseConfirmation();
    void loadEntryRecord();
    void recordEntries(const cell::EntryIncarnations &others);
    void maintainLeaseConfirmation();
    void confirmLeases();
    void askForLaterTerm();
    void answerLeaseQuestion(const std::string &peer, const wire::SchedulerNotice &question);
    void handleLeaseAnswer(const std::string &peer, const wire::SchedulerNotice &answer);
    void updateEarlierExtensions();
    void requestConfiguration(const std::string &peer, std::int64_t version);
    void configurationChanged(const cell::CellConfiguration &configuration);
    void serveEvacuations();
    void evacuationsChanged(const cell::Evacuations &evacuations);
    void evacuationsSeen(const std::string &peer, std::int64_t version);
    void noteRefusal(const PeerMessage &message);
    void showEvacuationRuns();
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
    void handleMembership(const Result<platform::Membership, platform::StoreError> &result, BootTime renewedAt);
    void beginTerm(std::int64_t generation);
    void confirmTerm(std::int64_t groupGeneration, BootTime renewedAt);
    void refusePendingSubmissions(bool isStoreReachable);
    void loadJobs(const std::string &afterKey);
    void jobsLoaded();
    void endTerm(const char *reason);
    void resignLeadership(const char *reason);
    void flush();
    void requestAdvice(const cell::AdviceRequest &request);
    void schedulePlan();
    void tick();
    void noteDelay(MonotonicTime now);
    void finishDrain(MonotonicTime now);

    cell::SettingsFile settingsFile_;
    const cell::CellSettings &settings_; ///< those of settingsFile_
    EventLoop loop_;
    Metrics metrics_;
    HttpClient http_;
    platform::StoreClient store_;
    ConfigurationFeed feed_;
    CallRelay relay_;
    CellCallerApi callerApi_;
    std::string self_; ///< peer address of this process
    const std::int64_t incarnation_; ///< of this process
    std::string member_; ///< member id in the store's group; differs for each incarnation, so that no two terms share a generation
    ProcessBudgets budgets_;
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> peerServer_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> metricsServer_;

    std::int64_t announcedConfiguration_ = 0; ///< newest version of the configuration that a peer has announced before it arrived here
    std::map<std::string, std::int64_t> announcedEvacuations_; ///< the evacuated failure domains as last sent to all peers
    std::int64_t generation_ = 0; ///< highest scheduler generation known to this process; never decreases
    std::string scheduler_; ///< peer address of the current scheduler; empty while unknown
    std::int64_t groupGeneration_ = 0; ///< group generation in the last answer to a join
    std::int64_t confirmedGroupGeneration_ = 0; ///< newest one for which it is certain that no other entry has begun a term since this one's
    bool holdsPartition_ = false; ///< according to the last answer to a join
    BootTime termConfirmedUntil_; ///< until then the store gives the leadership to no other entry
    TimerId leadershipTimer_ = 0;
    bool isGroupCallPending_ = false; ///< a join or a query of the owner is in progress
    bool isLeadershipFree_ = false; ///< result of the last query of the owner
    bool isChallenging_ = false; ///< the last join was sent while another entry was the leader
    cell::LeaderMonitor leaderMonitor_;
    cell::LeadershipLossDetector lossDetector_; ///< for the current term of this process

    cell::EntryHistory entryHistory_;
    cell::LeaseConfirmation leaseConfirmation_; ///< of the current term of this process
    cell::EarlierExtensions earlierExtensions_; ///< of the terms before the current one of this process
    std::int64_t confirmedTerm_ = 0; ///< generation of the term that this process last confirmed, its own or that of another entry
    BootTime confirmedTermAt_ = BootClock::now(); ///< when it did; at first when it started
    BootTime earlierTermConfirmedAt_ = confirmedTermAt_; ///< the same for the terms before that one
    BootTime askedForLaterTermAt_;
    cell::EntryIncarnations recordedEntries_; ///< as last written in the current term of this process
    BootTime entriesRecordedAt_; ///< when they were
    bool areLeasesExtended_ = true; ///< as last logged in the current term of this process
    std::set<std::string> connectedEntries_; ///< other entries with a connection; while there is none, only the store names a new configuration
    MonotonicTime tickedAt_ = std::chrono::steady_clock::now();
    const MonotonicTime startedAt_ = std::chrono::steady_clock::now();
    MonotonicTime termStartedAt_;
    Milliseconds handOverDelay_ {3000}; ///< minimum time from the start of a term to a hand-over; the peers are connected by then
    std::int64_t termGeneration_ = 0; ///< generation of this process's term as the leader; 0 while it is not the leader
    std::unique_ptr<JournalWriter> journal_; ///< not null during a term
    std::unique_ptr<cell::Scheduler> schedulerCore_; ///< not null from when the jobs are loaded to the end of the term
    std::map<std::string, std::string> loadedRecords_; ///< records read so far, by key
    bool isPlanScheduled_ = false;

    bool isDraining_ = false;
    MonotonicTime drainStartedAt_;
};

} // namespace knapweed
