// The agent beside an endpoint: passes the scheduler's orders on, renews the lease of what runs while the scheduler is heard, and reports runs and ends. It
// obeys the newest generation that it knows and starts nothing on an endpoint that leaves.
#pragma once

#include "cell/endpointstatus.h"
#include "peers/codec.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace knapweed::cell
{

struct AgentOptions
{
    std::int64_t incarnation = 0; ///< tells this process's reports from those of an earlier one at the same address
    Milliseconds lease {0}; ///< from when a report was sent that the scheduler has answered
};

struct AgentHooks
{
    EndpointDriver driver;
    std::function<void(const std::string &peer, const PeerMessage &message)> send;
    std::function<BootTime()> now;
};

constexpr Milliseconds longPollTimeout {500}; ///< how long a look at the endpoint waits for an end; progress is read as often

class Agent
{
public:
    Agent(AgentOptions options, AgentHooks hooks);

    /// The endpoint's report about itself. False when it is of an earlier boot or late, and says nothing.
    bool endpointReported(const EndpointStatus &status);
    /// The endpoint has said that it is gone.
    void endpointLeft(const std::string &id);

    void receive(const std::string &peer, const PeerMessage &message);
    /// The connection to @p peer is up: a scheduler there wants to know of this endpoint.
    void connected(const std::string &peer);

    /// Reports and renews when it is time. To be called some times a second.
    void tick();

    std::size_t runningTasks() const;

private:
    struct Incarnation
    {
        EndpointStatus status;
        Milliseconds clock {0}; ///< the endpoint's, as read last
        BootTime clockReadAt; ///< when the answer that named clock arrived
        bool isClockKnown = false;
        std::int64_t listedGeneration = -1; ///< whose fence the lists were read under
        std::uint64_t appliedRenewal = 0; ///< of the newest hold whose answer has been taken
        std::map<RunId, ListedRun> running;
        std::map<std::int64_t, ListedEnd> ended; ///< not durable yet
        std::int64_t endsStored = 0; ///< known to be durable
        std::int64_t endsDiscarded = 0; ///< that this boot is known to have forgotten; said once only, because the next boot counts from 1 again
        std::map<RunId, std::uint64_t> started; ///< started and perhaps not listed yet, by the newest hold sent before the start was answered
        bool hasLeft = false; ///< it has said so; what it ran ends with it
        BootTime leavesAt; ///< it may be gone from then on; meaningful while draining
        bool isGone = false; ///< it was due to leave, and nothing accepts connections at its address: nothing runs there any more
        std::map<RunId, std::uint64_t> stopped; ///< stopped and perhaps still listed, likewise
        std::set<RunId> pendingRefusals; ///< late starts of an earlier boot that this one must refuse before it gets work; its lists don't count until empty
        BootTime refusalsSentAt; ///< when their stops were sent last
        std::uint64_t renewalAtRefusal = 0; ///< lists of holds up to this one were read before the last of them was refused
    };

    /// A start without an answer. It may still be carried out, also by a later boot under the same id.
    struct UnansweredStart
    {
        std::string endpoint;
        BootTime until;
    };

    void updateScheduler(std::int64_t generation, const std::string &address, bool isLeaving);
    void handle(const std::string &peer, const wire::EndpointGrant &grant);
    void handle(const std::string &peer, const wire::StartOrder &order);
    void handle(const std::string &peer, const wire::StopOrder &order);
    bool isCurrent(const std::string &peer, std::int64_t generation, std::int64_t incarnation, const std::string &endpoint) const;
    void attemptStart(const std::string &peer, const wire::StartOrder &order, int attempt);
    void startSucceeded(const std::string &peer, const wire::StartOrder &order);
    std::optional<RunId> newestUnansweredStartOf(const TaskId &task) const;
    void answerStart(const std::string &peer, const wire::StartOrder &order, wire::StartOutcome::type outcome, const std::string &detail);
    void startFailed(const std::string &peer, const wire::StartOrder &order, EndpointError failure, int attempt);
    void beginIncarnation(const EndpointStatus &status);
    void refuseUnansweredStarts();
    void report();
    void renewLease(Milliseconds wait);
    void renewalSucceeded(std::uint64_t number, std::int64_t fence, std::int64_t incarnation, std::int64_t endsStored, const RenewalResult &answer);
    std::optional<Milliseconds> leaseUntil() const;
    void renewalFailed(const EndpointError &failure);
    void reportAbsentRuns();

    AgentOptions options_;
    AgentHooks hooks_;
    std::optional<Incarnation> incarnation_;
    std::map<RunId, UnansweredStart> unansweredStarts_;
    std::int64_t generation_ = 0; ///< the highest heard of; never falls
    std::string scheduler_; ///< its peer address; empty while none is known
    BootTime leaseExpiresAt_; ///< the runs' lease; only rises
    std::int64_t reportNumber_ = 0;
    BootTime lastReport_;
    std::uint64_t renewalNumber_ = 0; ///< of the newest hold sent
    bool isLongPollPending_ = false; ///< a hold that waits for ends is under way
    BootTime nextRenewal_;
};

} // namespace knapweed::cell
