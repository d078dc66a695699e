// The agent of an endpoint. It forwards the scheduler's orders to the endpoint, renews the lease of the endpoint's runs while the scheduler answers its
// reports, and reports runs and their ends. It obeys only the newest scheduler generation and starts nothing on a draining endpoint.
#pragma once

#include "cell/endpointstatus.h"
#include "cell/evacuations.h"
#include "peers/codec.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweed::cell
{

struct AgentOptions
{
    std::int64_t incarnation = 0; ///< distinguishes this process's reports from those of an earlier process at the same address
    Milliseconds lease {0}; ///< validity of the runs' lease, counted from when a report that the scheduler answered was sent
    std::string service; ///< reports of endpoints of another service are ignored; empty: any service
    std::string failureDomain; ///< of this process; counts for an endpoint that does not state its own
    bool servesEvacuations = false; ///< otherwise requests to evacuate a failure domain have no effect
};

struct AgentHooks
{
    EndpointDriver driver;
    std::function<void(const std::string &peer, const PeerMessage &message)> send;
    std::function<BootTime()> now;
    std::function<void(std::int64_t version)> evacuationsChanged; ///< announces the version of the evacuation state to the peers; may be unset
};

constexpr Seconds lateOrderWindow {15}; ///< an unanswered order may be carried out up to 12 s later
constexpr Milliseconds longPollTimeout {500}; ///< maximum wait of a lease renewal for an end of a run; progress is read at this interval
constexpr Milliseconds idleRenewalInterval {2000}; ///< without runs, only delayed orders change the lists

class Agent
{
public:
    Agent(AgentOptions options, AgentHooks hooks);

    /// Applies an endpoint's report about itself. A report of another incarnation than the one that is served takes effect once the endpoint itself has
    /// answered as that incarnation. Returns false if the report is ignored: it is of another service or out of order.
    bool endpointReported(const EndpointStatus &status);
    /// Handles the endpoint's notification that it has left.
    void endpointLeft(const std::string &id);

    void receive(const std::string &peer, const PeerMessage &message);
    /// Handles a new connection to @p peer: if the scheduler runs there, sends it a report at once.
    void connected(const std::string &peer);
    /// Handles a heartbeat of @p peer that names the version of its evacuation state. Both sides send their state if the versions differ.
    void evacuationsSeen(const std::string &peer, std::int64_t version);
    const Evacuations &evacuations() const;

    /// Sends reports and renews the lease when they are due. Call this several times per second.
    void tick();

    std::size_t runningTasks() const;

private:
    /// A run whose start was sent to an incarnation, or which that has listed, and whose end is not known.
    struct OrderedRun
    {
        BootTime since; ///< when its start was first sent, or when it was first listed
        BootTime shownAt; ///< when the newest call was sent whose answer shows it: its start, or a renewal of the lease; the epoch before that
        bool isListed = false;
        std::uint64_t renewalAtAnswer = 0; ///< newest renewal sent before the start was answered; the lists of later ones hold the run or its end
    };

    /// A run that may have been lost with the incarnation before this one.
    struct LostRun
    {
        RunId run;
        OrderedRun ordered;
        bool isSettled = false;
        bool wasRunning = false; ///< it was shown so shortly before the crash that its end would have been read
    };

    struct Incarnation
    {
        EndpointStatus status;
        Milliseconds clock {0}; ///< the endpoint's clock as last read
        BootTime clockReadAt; ///< when the response with this clock value arrived
        bool isClockKnown = false;
        BootTime answeredAt; ///< when the endpoint last answered a renewal
        std::int64_t listedGeneration = -1; ///< generation under whose fence the lists were read; -1: no valid lists
        std::uint64_t appliedRenewal = 0; ///< number of the newest renewal whose lists have been applied
        std::map<RunId, ListedRun> running;
        std::map<std::int64_t, ListedEnd> ended; ///< ends not yet confirmed as stored durably
        std::int64_t endsStored = 0; ///< ends up to this number are stored durably
        /// The endpoint has confirmed that it discarded ends up to this number. The request is not repeated after that, because the next incarnation
        /// numbers its ends from 1 again.
        std::int64_t endsDiscarded = 0;
        std::map<RunId, OrderedRun> ordered; ///< runs whose start was sent, or which were listed; none whose end is known
        std::optional<BootTime> firstFailureAt; ///< when a renewal failed first since the newest lists: the endpoint may have crashed then
        std::uint64_t renewalAtFirstFailure = 0; ///< the newest one sent by then
        bool mayHaveMissedEnds = false; ///< an answer with the end of a run may have been missed since the newest lists
        bool isReplaced = false; ///< the next incarnation answers, so that nothing since hides an end of this one
        std::map<RunId, std::uint64_t> started; ///< started but maybe not listed yet; with the newest renewal sent before the answer
        std::int32_t speedPermille = 0; ///< relative speed of the endpoint as a scheduler has last stated it; 0: not stated
        bool hasLeft = false; ///< announced since the newest report; its runs end with it
        BootTime leavesAt; ///< earliest time at which the endpoint leaves, it may stay for longer; meaningful while draining
        /// Nothing runs there any more: the endpoint was due to leave and refuses connections, and it has said that it has left or its lease is over.
        bool isGone = false;
        std::map<RunId, std::uint64_t> stopped; ///< stopped but maybe still listed; with the newest renewal sent before the answer
        /// Unanswered starts of an earlier incarnation. This one must refuse them before it gets work, and its lists are ignored until then.
        std::set<RunId> pendingRefusals;
        BootTime refusalsSentAt; ///< when the stops for them were last sent
        std::uint64_t renewalAtRefusal = 0; ///< lists of renewals up to this number were read before the last refusal was confirmed
    };

    /// A start that got no answer. The endpoint may still carry it out, and so may a later incarnation under the same id.
    struct UnansweredStart
    {
        std::string endpoint;
        BootTime until; ///< the start cannot be carried out after this time
    };

    /// A stop that keeps an unanswered start from being carried out in an evacuated failure domain.
    struct LateStop
    {
        BootTime sentAt;
        bool isConfirmed = false;
    };

    struct SentRenewal
    {
        std::uint64_t number = 0;
        BootTime sentAt;
        std::int64_t fence = 0;
        std::int64_t endsStored = 0;
    };

    void updateScheduler(std::int64_t generation, const std::string &address, bool isLeaving);
    void handle(const std::string &peer, const wire::EndpointGrant &grant);
    void handle(const std::string &peer, const wire::StartOrder &order);
    void handle(const std::string &peer, const wire::StopOrder &order);
    bool isCurrent(const std::string &peer, std::int64_t generation, std::int64_t incarnation, const std::string &endpoint) const;
    void attemptStart(const std::string &peer, const wire::StartOrder &order, BootTime validUntil, int attempt);
    bool hasShrunkSince(const wire::StartOrder &order) const;
    void startSucceeded(const std::string &peer, const wire::StartOrder &order, BootTime sentAt);
    std::string failureDomain() const;
    bool isForbidden(const wire::StartOrder &order) const;
    void applyEvacuations(const Evacuations &later, const char *source);
    void stopLateStarts();
    void stopRun(const StopRequest &request, std::int64_t incarnation);
    void recordStopOrder(const RunId &run);
    std::optional<RunId> newestUnansweredStartOf(const TaskId &task) const;
    void answerStart(const std::string &peer, const wire::StartOrder &order, wire::StartOutcome::type outcome, const std::string &detail);
    void startFailed(const std::string &peer, const wire::StartOrder &order, EndpointError failure, int attempt);
    bool isServed(const EndpointStatus &status) const;
    void applyStatus(const EndpointStatus &status);
    void verifyIncarnation();
    void handleVerification(std::uint64_t number, const EndpointStatus &status, const Result<RenewalResult, EndpointError> &result);
    void beginIncarnation(const EndpointStatus &status, std::uint64_t verification, const RenewalResult &lists);
    void recordLostRuns(std::uint64_t verification, const RenewalResult &lists);
    void logLostRuns() const;
    void removeCarriedOutStarts(const RenewalResult &lists);
    bool wasRunningUntilCrash(const RunId &run, const OrderedRun &ordered) const;
    void refuseUnansweredStarts();
    void report();
    void renewLease(Milliseconds wait);
    void renewalSucceeded(const SentRenewal &renewal, std::int64_t incarnation, const RenewalResult &answer);
    std::optional<Milliseconds> leaseUntil() const;
    bool isLeaseCertainlyOver() const;
    void renewalFailed(std::uint64_t number, const EndpointError &failure);
    void noteFailedRenewal(std::uint64_t number, const EndpointError &failure);
    bool hasListedEnd(const RunId &run) const;
    void reportAbsentRuns();

    AgentOptions options_;
    AgentHooks hooks_;
    std::optional<Incarnation> incarnation_; ///< the endpoint itself has answered as this incarnation
    std::vector<LostRun> lostRuns_; ///< of the incarnation before this one, if it crashed
    bool areLostRunsKnown_ = false; ///< this incarnation's lists have shown which starts it carried out itself
    BootTime lostRunsExpireAt_; ///< they are reported until then
    std::optional<EndpointStatus> unverified_; ///< newest report of another incarnation that the endpoint has neither confirmed nor denied
    std::map<RunId, UnansweredStart> unansweredStarts_;
    std::map<RunId, LateStop> lateStops_; ///< by unanswered start, while the failure domain is evacuated
    Evacuations evacuations_;
    bool hasSeenEvacuations_ = false; ///< a peer has named its state
    std::map<RunId, BootTime> stopOrders_; ///< runs that were ordered to stop, with the time; their starts are not repeated
    std::int64_t generation_ = 0; ///< the highest one seen; never decreases
    std::string scheduler_; ///< the scheduler's peer address; empty while unknown
    BootTime leaseExpiresAt_; ///< expiry of the runs' lease; never moves back
    /// Expiries that the endpoint may have been told, by number of the renewal; 0: by an earlier process of this agent. None that has passed.
    std::map<std::uint64_t, BootTime> sentLeases_;
    std::int64_t reportNumber_ = 0;
    BootTime lastReport_;
    std::uint64_t renewalNumber_ = 0; ///< number of the newest renewal sent
    bool isLongPollPending_ = false; ///< a renewal that waits for ends is pending
    BootTime nextRenewal_;
};

} // namespace knapweed::cell
