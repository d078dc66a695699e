// The scheduler of the cell. While its generation is the newest, no other process writes job state or sends orders to endpoints. It performs no I/O:
// messages, acknowledgements of the store and the time are passed in; messages and records to store are returned.
#pragma once

#include "cell/advice.h"
#include "cell/advisercalls.h"
#include "cell/configuration.h"
#include "cell/endpointspeeds.h"
#include "cell/evacuations.h"
#include "cell/fleet.h"
#include "cell/jobtable.h"
#include "cell/leaseconfirmation.h"
#include "cell/loadpolicy.h"
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

constexpr std::int64_t runsPerGeneration = 1000000; ///< range of run numbers of one term, so that those of a later term are higher

struct SchedulerOptions
{
    std::int64_t generation = 0; ///< of this term; sent as the fence of all orders
    Milliseconds lease {0}; ///< how long the runs of an endpoint continue after the agent's last contact
    bool servesEvacuations = false; ///< nothing is started in an evacuated failure domain, and nothing at all while it is not known which ones are
    LoadPolicyOptions loadPolicy {}; ///< with the default, decisions under load are as without it
};

/// Why the scheduler takes it as certain that a run uses no capacity any more.
enum class ReleaseReason {
    Ended, ///< its end is listed
    NeverOrdered, ///< its start order was not sent
    Refused, ///< the endpoint or its agent refused the start
    Unlisted, ///< it was listed, and later lists hold neither the run nor its end
    Absent, ///< it was stopped, and later lists do not hold it
    LeaseExpired, ///< the lease of its endpoint has expired
    EndpointReplaced, ///< its agent reports another endpoint
    NextIncarnation, ///< a later incarnation of its endpoint has reported its lists
};

struct StoreWrite
{
    std::string key;
    std::string value; ///< empty: the record is deleted
};

struct SchedulerOutput
{
    std::vector<std::pair<std::string, PeerMessage>> messages; ///< receiving peer and message, in sending order
    std::vector<StoreWrite> writes; ///< in order; the last one has the number lastWrite
    std::uint64_t lastWrite = 0;
    std::vector<AdviceRequest> adviceRequests; ///< to be sent to the placement adviser
};

/// The state of the load policy, for the metrics.
struct LoadGauges
{
    std::map<std::string, double> reserved; ///< endpoints kept for urgent work, by service
    std::map<Rank, std::size_t> waiting; ///< units by rank, as of the last planning round
};

class Scheduler
{
public:
    explicit Scheduler(SchedulerOptions options);

    /// Loads the stored records; must be called before any other function. Unreadable records are logged and skipped.
    void load(const std::map<std::string, std::string> &records, BootTime now, WallTime wall);

    /// Starts the recovery after a change of scheduler. A unit that an earlier scheduler may have started is not started again until all agents recorded with
    /// it have reported the lists of their endpoints, or until the leases there, including those granted by this scheduler, have expired.
    void beginRecovery(BootTime now);
    /// No earlier scheduler extends a lease from @p end on (leaseconfirmation.h); without a call, from when the recovery began. May be called again.
    void setEarlierExtensionsEnd(BootTime end);

    void setConfiguration(const CellConfiguration &configuration);
    void setStoreReachable(bool isReachable);

    /// Merges @p evacuations into the state that is known. Starts in an evacuated failure domain that are planned but not sent are withdrawn with their units.
    void applyEvacuations(const Evacuations &evacuations, BootTime now);
    /// Runs that are going on or may still start, by evacuated failure domain.
    std::map<std::string, std::size_t> evacuationRuns() const;

    /// Until @p until, the store gives the leadership to no other entry, so that no later term can begin. An answer that rests on memory alone is only given
    /// before then; calls that need one are held back until the term is confirmed anew, and refused if that takes too long. A time that has passed revokes the
    /// confirmation.
    void confirmTerm(BootTime until, BootTime now, WallTime wall);

    /// Until @p until, leases are extended although the term may not be confirmed: a majority of the entries knows of no later term
    /// (leaseconfirmation.h).
    void confirmLeases(BootTime until);

    /// Records the entries that are counted for that. Returns the number of the write.
    std::uint64_t recordEntries(const EntryIncarnations &entries);

    /// Jobs whose submission is not durable yet and for which nothing else has been recorded.
    std::vector<std::string> pendingSubmissions() const;
    /// Refuses a submission that is confirmed not stored and will not be stored later, and removes its job.
    void retractSubmission(const std::string &job);

    void receive(const std::string &peer, const PeerMessage &message, BootTime now, WallTime wall);

    /// To be called when all writes up to @p write are durable.
    void stored(std::uint64_t write, BootTime now);

    /// Handles the end of the call @p number to the placement adviser. A call that failed is repeated.
    void handleAdvice(std::int64_t number, const AdviceResult &result, BootTime now);

    /// Handles time-outs and due occurrences, and plans.
    void tick(BootTime now, WallTime wall);

    SchedulerOutput takeOutput();

    bool isRecovering() const;
    /// Whether recovery, planning, an unfinished job or a run that may still be going on requires calls of tick().
    bool isBusy() const;
    /// Whether something has changed that requires a planning round.
    bool isPlanDue() const;
    const std::map<std::string, Job> &jobs() const;
    const std::map<std::string, Endpoint> &endpoints() const;
    const LoadGauges &loadGauges() const;
    const AdviserCalls &adviserCalls() const;

private:
    struct PendingAnswer
    {
        std::uint64_t write = 0;
        std::string peer;
        wire::JobAnswer answer;
        bool isSubmission = false;
    };

    /// A call whose answer waits for a confirmation of the term.
    struct HeldCall
    {
        wire::JobCall call;
        BootTime heldSince;
    };

    /// A cancel that was recorded while its job was unknown.
    struct EarlyCancel
    {
        BootTime recordedAt;
        std::uint64_t write = 0; ///< makes it durable
    };

    struct PendingStart
    {
        std::uint64_t write = 0;
        std::string agent;
        std::int64_t incarnation = 0;
        RunId run;
        wire::StartOrder order;
    };

    /// A run as the planner's input is prepared.
    struct ObservedRun
    {
        std::size_t unit = 0; ///< number of its unit in the planner's input
        const Job *job = nullptr;
        UnitKey key;
        const Allocation *allocation = nullptr;
        const Unit *state = nullptr; ///< null if the unit is unknown
        double speed = 1; ///< of its endpoint
    };

    /// An endpoint that can be given work, and its capacity that is free.
    struct UsableEndpoint
    {
        const Endpoint *endpoint = nullptr;
        Resources free;
    };

    /// Total over the endpoints of one service that can be given work.
    struct ServiceCapacity
    {
        Resources capacity;
        Resources free;
        std::size_t endpoints = 0;
    };

    void handle(const std::string &peer, const wire::EndpointReport &report, BootTime now);
    void handle(const std::string &peer, const wire::StartResult &result, BootTime now);
    void handle(const std::string &peer, const wire::RunAbsent &absent, BootTime now);
    void handle(const std::string &peer, const wire::JobCall &call, BootTime now, WallTime wall);
    wire::JobAnswer submit(const wire::JobCall &call, std::uint64_t &write, BootTime now, WallTime wall);
    wire::JobAnswer query(const wire::JobCall &call, std::uint64_t &write) const;
    wire::JobAnswer cancel(const wire::JobCall &call, std::uint64_t &write, BootTime now);
    std::uint64_t recordEarlyCancel(const std::string &job, BootTime now);
    wire::JobAnswer countWaiting(const wire::JobCall &call) const;
    void answer(const std::string &peer, const wire::JobCall &call, const wire::JobAnswer &answer, std::uint64_t write);
    void refuseHeldCalls(BootTime now);

    Endpoint *currentEndpoint(const std::string &agent, std::int64_t incarnation, const std::string &id);
    void updateEndpoint(const std::string &agent, const wire::EndpointReport &report, BootTime now);
    void applyEnds(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now);
    std::uint64_t applyEnd(Endpoint &endpoint, const wire::EndRow &end, BootTime now);
    void applyRunning(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now);
    void adopt(Endpoint &endpoint, const RunId &run, BootTime now);
    void recordRunTime(const Job &job, const Endpoint &endpoint, const RunId &run, BootTime now);
    void observeProgress(const Endpoint &endpoint, const RunId &run, const Allocation &allocation, BootTime now);
    void declareRunTimes(const JobSpec &spec);
    Milliseconds runTimeOf(const Job &job, const Step &step) const;
    std::vector<BootTime> latestStartsOf(const Job &job, int occurrence) const;
    void countCrashes(const wire::EndpointReport &report, BootTime now);
    void countCrash(const wire::LostRun &lost, const std::string &endpoint, bool isCertain, BootTime now);
    void removeFromRecords(const Endpoint &endpoint);
    void updateHealth(Endpoint &endpoint, Job *job, RunOutcome outcome, BootTime now);
    void grant(Endpoint &endpoint, const wire::EndpointReport &report, BootTime now);
    void advanceStoredEnds(Endpoint &endpoint);
    void release(Endpoint &endpoint, const RunId &run, ReleaseReason reason, BootTime now);
    void releaseAll(Endpoint &endpoint, ReleaseReason reason, BootTime now);
    void releaseOrphaned(Endpoint &endpoint, BootTime now);
    void releaseRuns(Endpoint &endpoint, const std::vector<RunId> &runs, ReleaseReason reason, BootTime now);

    void finishUnit(Job &job, const UnitKey &key, BootTime now);
    void countFailure(Job &job, const UnitKey &key, std::int64_t run);
    void updateJobState(Job &job, BootTime now);
    void stopUnit(Unit &unit, BootTime now);
    void stopJob(Job &job, BootTime now);
    void sendStop(Endpoint &endpoint, const RunId &run, BootTime now);
    std::uint64_t writeProgress(Job &job);
    void encodePendingProgress();
    std::uint64_t write(StoreWrite record);

    void restoreOrder();
    void loadEarlyCancels(const std::map<std::string, std::string> &records, BootTime now);
    void removeLostEndpoints(BootTime now);
    BootTime latestRunEnd(const std::string &agent) const;
    void removeLapsedAgents(BootTime now);
    void finishRecovery(BootTime now);
    bool mayRunOnAwaitedAgent(const Unit &unit) const;
    void stopPartialGangs(BootTime now);
    void sendStart(const PendingStart &start, BootTime now);
    void checkEndpoints(BootTime now);
    void recordCheckpoint(const RunId &run, const std::string &checkpoint);
    void writePendingCheckpoints(BootTime now);
    void checkRuns(Endpoint &endpoint, BootTime now);
    void moveGangs(const Endpoint &endpoint, BootTime now);
    bool hasRoomElsewhere(const Job &job, const UnitKey &key, const Unit &unit, BootTime now) const;
    static void recordStall(Endpoint &endpoint, const RunId &run, const Allocation &allocation, BootTime now);
    void addDueOccurrences(BootTime now, WallTime wall);
    void removeOldJobs(BootTime now);
    void removeOldEarlyCancels(BootTime now);

    bool isInEvacuatedDomain(const Endpoint &endpoint) const;
    bool mayPlan() const;
    bool isEmptyingDomain() const;
    void checkEvacuations();

    void plan(BootTime now);
    std::set<std::string> guaranteedJobs() const;
    /// Whether work may be planned on the endpoint, apart from its health.
    bool isUsable(const Endpoint &endpoint, BootTime now) const;
    void updateServiceCapacity(BootTime now);
    bool isMostlyIdle(const std::string &service, const Step &step) const;
    std::vector<WaitingUnit> waitingUnits(const std::set<std::string> &guaranteed, BootTime now, std::vector<std::pair<std::string, UnitKey>> &unitIds);
    WaitingUnit makeWaitingUnit(const Job &job, const UnitKey &key, const Unit &unit, Rank rank, BootTime now) const;
    std::vector<PlannedEndpoint> plannedEndpoints(
        const std::set<std::string> &guaranteed, BootTime now, std::vector<std::pair<std::string, UnitKey>> &unitIds) const;
    void observeUrgentArrival(const WaitingUnit &waiting, BootTime now);
    void assessRunningParts(const std::vector<ObservedRun> &running, std::vector<PlannedEndpoint> &planned, BootTime now) const;
    PlannerPolicy plannerPolicy(BootTime now);
    void applyLoadPolicy(const Job &job, const UnitKey &key, const Unit &unit, BootTime latestStart, WaitingUnit &waiting, BootTime now) const;
    std::set<std::string> advisedAgents(const Job &job, const StepName &step, BootTime now);
    void callAdviser(const std::vector<WaitingUnit> &units, const std::vector<std::pair<std::string, UnitKey>> &unitIds, const Plan &plan, BootTime now);
    std::vector<UsableEndpoint> usableEndpoints(BootTime now) const;
    std::vector<EndpointLife> adviceTargets(
        const Job &job, const StepAdvice &advice, const WaitingUnit &unit, std::size_t tasks, const std::vector<UsableEndpoint> &endpoints, BootTime now) const;
    void dropRefusedTicket(const StepName &step, const Endpoint &endpoint, BootTime now);
    void removeOldAdvice(BootTime now);
    void startUnit(const std::string &jobId, const UnitKey &key, Rank rank, const std::vector<std::string> &agents, BootTime now);

    SchedulerOptions options_;
    CellConfiguration configuration_;
    std::map<std::string, Job> jobs_;
    /// By job. The submission may still be on its way; when it arrives, its job is accepted as a cancelled one.
    std::map<std::string, EarlyCancel> earlyCancels_;
    std::map<std::string, Endpoint> endpoints_; ///< by agent
    Evacuations evacuations_;
    std::set<std::string> emptiedDomains_; ///< evacuated failure domains in which nothing runs any more, as far as this scheduler has found
    planning::RunEstimates runTimes_; ///< by client account and queue
    EndpointSpeeds speeds_;
    std::map<std::string, ServiceCapacity> capacityByService_; ///< as of the last planning round
    std::map<std::string, ArrivalForecast> urgentArrivals_; ///< by service
    LoadGauges loadGauges_;
    BootTime reserveLoggedAt_; ///< when reserved capacity was last logged
    std::map<StepName, StepAdvice> advice_; ///< for steps that have waited in queues that require advice
    AdviserCalls adviserCalls_;
    std::vector<PendingAnswer> pendingAnswers_; ///< wait until their write, above storedWrite_, is durable
    BootTime confirmedUntil_; ///< end of the time for which the term is confirmed
    BootTime leasesConfirmedUntil_; ///< end of the time for which leases may be extended without a confirmed term
    std::map<std::pair<std::string, std::int64_t>, HeldCall> heldCalls_; ///< by peer and number of the call
    SchedulerOutput output_;
    std::map<std::string, std::size_t> pendingProgress_; ///< jobs whose progress is part of the next output, with the index of the record in its writes
    std::uint64_t storedWrite_ = 0; ///< newest durable write; never above output_.lastWrite
    std::uint64_t acceptedJobs_ = 0;
    std::int64_t startedRuns_ = 0;
    bool isStoreReachable_ = true;
    bool isRecovering_ = true;
    bool isPlanDue_ = true; ///< something has changed since the last planning round
    bool hasBlockedUnits_ = false; ///< units found no free capacity in the last round; rack waits and endpoint health also change with time
    BootTime plannedAt_;
    BootTime checkedAt_; ///< when the time-outs of all runs were last checked
    std::set<std::string> awaitedAgents_; ///< recorded with a run by an earlier scheduler; the endpoint's lists are not known yet, and its lease is not over
    std::size_t lapsedAgents_ = 0; ///< agents that were awaited until no lease was left
    std::vector<PendingStart> pendingStarts_; ///< wait until their record is durable
    BootTime recoveryBeganAt_;
    BootTime earlierLeasesEnd_; ///< when all leases granted by earlier schedulers have expired
};

} // namespace knapweed::cell
