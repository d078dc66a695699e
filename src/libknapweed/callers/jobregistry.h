// The jobs that this entry owns, from acceptance to outcome. Protocol logic without sockets or clock: takes messages, records and times, returns actions.
//
// A durable job is appended to the log and proceeds only after its submit record has been read back as the first one for its id. Attempts run one at a
// time, each with a lead chosen by the planner. The outcome is NotRun only if every attempt is proved never to have started.
#pragma once

#include "base/result.h"
#include "callers/job.h"
#include "callers/jobrequest.h"
#include "logservice/jobfold.h"
#include "operators/configuration.h"
#include "peers/codec.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace knapweed
{

struct SendPeer
{
    std::string peer;
    PeerMessage message;
};

struct AppendRecord
{
    Record record;
};

/// A job was accepted, has finished or changed in another way that matters to waiting callers.
struct JobChanged
{
    std::string job;
    bool hasFinished = false; ///< true exactly once per job
};

using JobRegistryAction = std::variant<SendPeer, AppendRecord, JobChanged>;

struct JobRegistryOptions
{
    std::string address; ///< of this process, "ip:port"
    std::int64_t nonce = 0; ///< random number of this process; differs after a restart
    Milliseconds requestRetryInterval {500}; ///< interval for repeating unanswered requests to the planner and the lead
    Milliseconds queryInterval {1000}; ///< interval for querying the lead of an acknowledged attempt
    Milliseconds leadTimeout {4000}; ///< a lead is unreachable after this time without a message
    Milliseconds unknownOutcomeTimeout {30000}; ///< an attempt that may have run finishes as Unknown after this time without a message from its lead
    Milliseconds logConfirmationTimeout {1000}; ///< a repeatable job with a waiting caller proceeds without the log after this
    Milliseconds retryDelay {20}; ///< first backoff before another attempt; doubles per attempt, with jitter
    Milliseconds maxRetryDelay {1000};
    Milliseconds orphanDelay {5000}; ///< a job is claimed after its owner has not been live for this long
    std::size_t maxFinishedJobs = 20000; ///< finished jobs kept for later queries
    std::function<std::int64_t(const std::string &agent)> incarnationOf; ///< returns 0 if unknown; the function may be empty
};

struct Submission
{
    JobRequest request; ///< with the account set
    std::string key;
    std::string digest; ///< of the request body
    bool isAsync = false; ///< the caller requested an asynchronous response (202)
};

class JobRegistry
{
public:
    /// @p fold must outlive the registry. Each record must be applied to it before it is passed to recordApplied().
    JobRegistry(JobRegistryOptions options, const JobFold &fold);

    /// Accepts a job or finds the job created by an earlier request with the same key. Returns the job id.
    Result<std::string, RequestError> submit(MonotonicTime now, const Submission &submission);
    /// Requests cancellation of a job. Returns false if the job is unknown.
    bool cancel(MonotonicTime now, const std::string &id);

    void receive(MonotonicTime now, const std::string &peer, const PeerMessage &message);
    void recordApplied(MonotonicTime now, const Record &record);
    void tick(MonotonicTime now);

    void setPlanner(MonotonicTime now, const std::string &address);
    void setDefaults(const Defaults &defaults);
    void setLogReachable(bool isReachable);
    /// Live entries by nonce, with their addresses. After orphanDelay each job of any other owner is claimed by one live entry.
    void setLiveEntries(const std::map<std::int64_t, std::string> &entries);

    const Job *job(const std::string &id) const;
    const std::map<std::string, Job> &jobs() const;
    std::size_t unfinishedJobs(const std::string &account) const;
    std::size_t unfinishedJobs() const;

    std::vector<JobRegistryAction> takeActions();

private:
    // jobregistry.cpp
    Job &addJob(MonotonicTime now, const Submission &submission, const std::string &id);
    void advance(MonotonicTime now, Job &job);
    void advanceAwaitingLog(MonotonicTime now, Job &job);
    void advanceQueued(MonotonicTime now, Job &job);
    void enqueue(MonotonicTime now, Job &job);
    void finish(MonotonicTime now, Job &job, JobOutcome outcome);
    void markFinished(MonotonicTime now, Job &job);
    void schedule(Job &job, MonotonicTime due);
    void send(const std::string &peer, PeerMessage message);
    void notifyChanged(const Job &job);
    void evictOldestFinished();

    // jobattempts.cpp
    void handlePlacement(MonotonicTime now, const wire::Placement &placement);
    void handleRefusal(MonotonicTime now, const wire::PlacementRefusal &refusal);
    void handleGangAck(MonotonicTime now, const wire::GangAck &ack);
    void handleOutcome(MonotonicTime now, const std::string &peer, const wire::OutcomeReport &report);
    void handleEndReply(MonotonicTime now, const wire::EndAttemptReply &reply);
    void endAttempt(MonotonicTime now, Job &job, const wire::OutcomeReport &report);
    void advanceStarting(MonotonicTime now, Job &job);
    void advanceAbandoning(MonotonicTime now, Job &job);
    void sendGangRequest(MonotonicTime now, Job &job);
    void sendEndAttempt(const Job &job, wire::StopReason::type reason);
    void sendQuery(const Job &job);
    void handleUnreachableLead(MonotonicTime now, Job &job);
    void retry(MonotonicTime now, Job &job, wire::Reason::type reason, const std::string &detail);
    Job *currentAttempt(const wire::AttemptId &attempt);

    // jobrecords.cpp
    void appendSubmit(Job &job);
    void appendOutcome(const Job &job);
    void handleOwnership(MonotonicTime now, const std::string &id);
    void handleSubmitFolded(MonotonicTime now, Job &job);
    void handleOutcomeFolded(MonotonicTime now, const std::string &id);
    void handleAbandonFolded(MonotonicTime now, const wire::AttemptId &attempt);
    void adopt(MonotonicTime now, const FoldedJob &folded);
    void claimOrphans(MonotonicTime now);

    JobRegistryOptions options_;
    const JobFold &fold_;
    Defaults defaults_;
    std::string planner_;
    bool isLogReachable_ = false;
    std::map<std::int64_t, std::string> liveEntries_;
    std::map<std::string, MonotonicTime> orphanedSince_;
    MonotonicTime nextOrphanScan_;
    std::int32_t lastAttemptNumber_ = 0; ///< shared by all jobs, so that a job id resubmitted after eviction never reuses an attempt number
    std::map<std::string, Job> jobs_;
    std::map<std::string, std::size_t> unfinished_; ///< by account; invariant: counts exactly the jobs in jobs_ that are not terminal
    std::set<std::pair<MonotonicTime, std::string>> dueJobs_; ///< invariant: one element per job with a nextDue
    std::set<std::pair<MonotonicTime, std::string>> finishedJobs_; ///< invariant: exactly the terminal jobs
    std::vector<JobRegistryAction> actions_;
};

} // namespace knapweed
