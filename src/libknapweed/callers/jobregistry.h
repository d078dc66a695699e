// The jobs that this entry answers for, from acceptance to outcome. Protocol logic only: inputs in, actions out; no sockets and no clock of its own.
//
// A job that must be durable is appended to the log and goes on only when its submit record is read back as the first. Its attempts run one after
// another, each with a lead that the planner named. "Not run" is said only when every attempt has been proved never to have started.
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

/// The job has been accepted, has ended, or has otherwise changed for those who wait for it.
struct JobChanged
{
    std::string job;
    bool hasFinished = false; ///< true once for each job
};

using JobRegistryAction = std::variant<SendPeer, AppendRecord, JobChanged>;

struct JobRegistryOptions
{
    std::string address; ///< of this process, "ip:port"
    std::int64_t nonce = 0; ///< of this process; differs after a restart
    Milliseconds requestRetryInterval {500}; ///< unanswered requests to planner and lead are sent again after this
    Milliseconds queryInterval {1000}; ///< an acknowledged attempt is asked after this often
    Milliseconds leadTimeout {4000}; ///< a lead that says nothing for this long is unreachable
    Milliseconds unknownOutcomeTimeout {30000}; ///< an attempt that may have run and whose lead stays silent this long ends as Unknown
    Milliseconds logConfirmationTimeout {1000}; ///< a repeatable job with a waiting caller goes on without the log after this
    Milliseconds retryDelay {20}; ///< first backoff before another attempt; doubles with jitter
    Milliseconds maxRetryDelay {1000};
    Milliseconds orphanDelay {5000}; ///< a job whose owner has been gone this long is claimed
    std::size_t maxFinishedJobs = 20000; ///< finished jobs kept for those who ask
    std::function<std::int64_t(const std::string &agent)> incarnationOf; ///< 0 when unknown; may be empty
};

struct Submission
{
    JobRequest request; ///< with the account filled in
    std::string key;
    std::string digest; ///< of the request body
    bool isAsync = false; ///< the caller wants a 202
};

class JobRegistry
{
public:
    /// @p fold must outlive the board; every record is applied to it before applied() is called here.
    JobRegistry(JobRegistryOptions options, const JobFold &fold);

    /// Accepts a job, or finds the job that an earlier request with the same key made. Returns its id.
    Result<std::string, RequestError> submit(MonotonicTime now, const Submission &submission);
    /// Asks for the end of a job; returns false when it is unknown.
    bool cancel(MonotonicTime now, const std::string &id);

    void receive(MonotonicTime now, const std::string &peer, const PeerMessage &message);
    void recordApplied(MonotonicTime now, const Record &record);
    void tick(MonotonicTime now);

    void setPlanner(MonotonicTime now, const std::string &address);
    void setDefaults(const Defaults &defaults);
    void setLogReachable(bool isReachable);
    /// The entries that live, as (nonce, address); jobs of others are claimed after a delay, each by one of them.
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
    std::int32_t lastAttemptNumber_ = 0; ///< over all jobs, so that a job id that comes again after it was forgotten never reuses an attempt
    std::map<std::string, Job> jobs_;
    std::map<std::string, std::size_t> unfinished_; ///< by account; invariant: counts exactly the jobs of jobs_ that are not terminal
    std::set<std::pair<MonotonicTime, std::string>> dueJobs_; ///< invariant: one element for each job with a nextDue
    std::set<std::pair<MonotonicTime, std::string>> finishedJobs_; ///< invariant: exactly the terminal jobs
    std::vector<JobRegistryAction> actions_;
};

} // namespace knapweed
