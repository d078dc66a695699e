// The scheduler of the cell: the only writer of job state and the only one that gives orders, as long as its generation is the newest. Pure: messages,
// answers of the store and the time in; messages and records to store out.
#pragma once

#include "cell/advice.h"
#include "cell/configuration.h"
#include "cell/fleet.h"
#include "cell/jobtable.h"
#include "cell/planner.h"
#include "peers/codec.h"
#include "planning/estimates.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::cell
{

struct SchedulerOptions
{
    std::int64_t generation = 0; ///< of this tenure; the fence of all orders
    Milliseconds lease {0}; ///< how long an endpoint's runs outlive its agent's last contact
};

struct StoreWrite
{
    std::string key;
    std::string value; ///< empty: the key is dropped
};

struct SchedulerOutput
{
    std::vector<std::pair<std::string, PeerMessage>> messages; ///< by peer, in order
    std::vector<StoreWrite> writes; ///< in order; the last one's number is lastWrite
    std::uint64_t lastWrite = 0;
    std::vector<AdviceRequest> adviceRequests; ///< for the placement adviser
};

class Scheduler
{
public:
    explicit Scheduler(SchedulerOptions options);

    /// Takes in the stored records, before anything else. Records that can't be read are logged and skipped.
    void load(const std::map<std::string, std::string> &records, BootTime now, WallTime wall);

    /// A unit that an earlier scheduler may have started isn't started again until each agent that it was recorded with has reported, or until no lease of
    /// that scheduler can still run.
    void beginRecovery(BootTime now);

    void setConfiguration(const CellConfiguration &configuration);
    void setStoreReachable(bool isReachable);

    /// Jobs whose submission is not durable and that nothing else was recorded of.
    std::vector<std::string> pendingSubmissions() const;
    /// The submission was surely not stored and won't be: it is refused, and the job was never there.
    void retractSubmission(const std::string &job);

    void receive(const std::string &peer, const PeerMessage &message, BootTime now, WallTime wall);

    /// All writes up to @p write are durable.
    void stored(std::uint64_t write, BootTime now);

    /// The adviser's answer to a question; none when it failed, and the question will be put again.
    void handleAdviceReply(const StepName &step, const std::optional<AdviceReply> &answer);

    /// Time-outs, due occurrences, and planning.
    void tick(BootTime now, WallTime wall);

    SchedulerOutput takeOutput();

    bool isRecovering() const;
    /// Whether anything waits, runs or is due, so that tick() is needed soon.
    bool isBusy() const;
    /// Whether something has changed that planning must look at.
    bool isPlanDue() const;
    const std::map<std::string, Job> &jobs() const;
    const std::map<std::string, Endpoint> &endpoints() const;

private:
    struct PendingAnswer
    {
        std::uint64_t write = 0;
        std::string peer;
        wire::JobAnswer answer;
        bool isSubmission = false;
    };

    struct PendingStart
    {
        std::uint64_t write = 0;
        std::string agent;
        std::int64_t incarnation = 0;
        RunId run;
        wire::StartOrder order;
    };

    /// Of the endpoints of one service that may be given work.
    struct ServiceCapacity
    {
        Resources capacity;
        Resources free;
    };

    void handle(const std::string &peer, const wire::EndpointReport &report, BootTime now);
    void handle(const std::string &peer, const wire::StartResult &result, BootTime now);
    void handle(const std::string &peer, const wire::RunAbsent &absent, BootTime now);
    void handle(const std::string &peer, const wire::JobCall &call, BootTime now, WallTime wall);
    wire::JobAnswer submit(const wire::JobCall &call, std::uint64_t &write, BootTime now, WallTime wall);
    wire::JobAnswer query(const wire::JobCall &call, std::uint64_t &write) const;
    wire::JobAnswer cancel(const wire::JobCall &call, std::uint64_t &write, BootTime now);
    wire::JobAnswer countWaiting(const wire::JobCall &call) const;
    void answer(const std::string &peer, const wire::JobCall &call, const wire::JobAnswer &answer, std::uint64_t write);

    Endpoint *currentEndpoint(const std::string &agent, std::int64_t incarnation, const std::string &id);
    void updateEndpoint(const std::string &agent, const wire::EndpointReport &report, BootTime now);
    void applyEnds(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now);
    std::uint64_t applyEnd(Endpoint &endpoint, const wire::EndRow &end, BootTime now);
    void applyRunning(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now);
    void adopt(Endpoint &endpoint, const RunId &run, BootTime now);
    void recordRunTime(const Job &job, const Endpoint &endpoint, const RunId &run, BootTime now);
    Milliseconds runTimeOf(const Job &job, const Step &step) const;
    void updateHealth(Endpoint &endpoint, Job *job, RunOutcome outcome, BootTime now);
    void grant(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now);
    void advanceStoredEnds(Endpoint &endpoint);
    void release(Endpoint &endpoint, const RunId &run, BootTime now);
    void releaseAll(Endpoint &endpoint, BootTime now);
    void releaseOrphaned(Endpoint &endpoint, BootTime now);
    void releaseRuns(Endpoint &endpoint, const std::vector<RunId> &runs, BootTime now);

    void finishUnit(Job &job, const UnitKey &key, BootTime now);
    void countFailure(Job &job, const UnitKey &key, std::int64_t run);
    void updateJobState(Job &job, BootTime now);
    void stopUnit(Unit &unit, BootTime now);
    void stopJob(Job &job, BootTime now);
    void sendStop(Endpoint &endpoint, const RunId &run, BootTime now);
    std::uint64_t writeProgress(Job &job);
    void encodePendingProgress();
    std::uint64_t write(StoreWrite record);

    void removeLostEndpoints(BootTime now);
    void finishRecovery(BootTime now);
    bool mayRunOnAwaitedAgent(const Unit &unit) const;
    void stopPartialGangs(BootTime now);
    void sendStart(const PendingStart &start, BootTime now);
    void checkEndpoints(BootTime now);
    void recordCheckpoint(const RunId &run, const std::string &checkpoint);
    void writePendingCheckpoints(BootTime now);
    void checkRuns(Endpoint &endpoint, BootTime now);
    void addDueOccurrences(BootTime now, WallTime wall);
    void removeOldJobs(BootTime now);

    void plan(BootTime now);
    std::set<std::string> guaranteedJobs() const;
    void updateServiceCapacity(BootTime now);
    bool isMostlyIdle(const std::string &service, const Step &step) const;
    std::vector<WaitingUnit> waitingUnits(const std::set<std::string> &guaranteed, BootTime now, std::vector<std::pair<std::string, UnitKey>> &unitIds);
    WaitingUnit makeWaitingUnit(const Job &job, const UnitKey &key, const Unit &unit, Rank rank, BootTime now) const;
    std::vector<PlannedEndpoint> plannedEndpoints(
        const std::set<std::string> &guaranteed, BootTime now, std::vector<std::pair<std::string, UnitKey>> &unitIds) const;
    void addAdvice(const Job &job, const UnitKey &key, WaitingUnit &waiting, BootTime now);
    void startUnit(const std::string &jobId, const UnitKey &key, Rank rank, const std::vector<std::string> &agents, BootTime now);

    SchedulerOptions options_;
    CellConfiguration configuration_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, Endpoint> endpoints_; ///< by agent
    planning::RunEstimates runTimes_; ///< by client account and queue
    std::map<std::string, ServiceCapacity> capacityByService_; ///< at the last round
    std::map<StepName, StepAdvice> advice_; ///< of steps that have waited in queues that need advice
    std::vector<PendingAnswer> pendingAnswers_; ///< with a write above storedWrite_
    SchedulerOutput output_;
    std::map<std::string, std::size_t> pendingProgress_; ///< jobs whose progress is written with the next output, by the place of its record there
    std::uint64_t storedWrite_ = 0; ///< never above output_.lastWrite
    std::uint64_t acceptedJobs_ = 0;
    std::int64_t startedRuns_ = 0;
    bool isStoreReachable_ = true;
    bool isRecovering_ = true;
    bool isPlanDue_ = true; ///< something has changed since the last round
    bool hasBlockedUnits_ = false; ///< units had no room in the last round; patience and health change with time alone
    BootTime plannedAt_;
    BootTime checkedAt_; ///< when all runs were last looked at
    std::set<std::string> awaitedAgents_; ///< recorded with a run by an earlier scheduler and not heard of yet
    std::vector<PendingStart> pendingStarts_; ///< whose record isn't durable yet
    BootTime recoveryEnds_;
};

} // namespace knapweed::cell
