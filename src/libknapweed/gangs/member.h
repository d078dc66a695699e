// The member: the sole authority over the accelerators of a worker and the slots of an endpoint. Grants holds with increasing fences, arms and starts parts,
// and stops each part on its own when the gang lease expires. Performs no I/O and reads no clock: time and events are passed in, actions are returned.
#pragma once

#include "base/settings.h"
#include "gangs/part.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::gangs
{

class Member
{
public:
    Member(CoreOptions options, WorkerSettings worker);

    /// Stops parts whose gang lease has expired. Must run before each event is handled, because the process may have been paused.
    void expire(MonotonicTime now, Actions &actions);
    /// Sends or repeats the calls and reports that are due.
    void advance(MonotonicTime now, Actions &actions);

    void handle(MonotonicTime now, const std::string &peer, const wire::HoldRequest &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::ArmRequest &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::GoRequest &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::RenewRequest &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::StopRequest &request, Actions &actions);
    void handle(MonotonicTime now, const std::string &peer, const wire::PartAck &ack, Actions &actions);

    void handle(MonotonicTime now, const WorkerAnswer &answer, Actions &actions);
    void handle(MonotonicTime now, const EndpointAnswer &answer, Actions &actions);
    void handle(MonotonicTime now, const EndpointAnnouncement &announcement, Actions &actions);

    /// Grants no more holds. Armed parts can still go.
    void drain();
    void stopAll(MonotonicTime now, wire::Reason::type reason, Actions &actions);

    /// Whether holds are granted now.
    bool isAvailable(MonotonicTime now) const;
    bool hasParts() const;
    bool hasUnreportedResults() const;

    /// Returns whether report() has changed since the previous call.
    bool takeChanged();
    /// The fields of the agent's report that the member can fill in.
    wire::AgentReport report(MonotonicTime now) const;

    const std::map<PartKey, Part> &parts() const;

private:
    bool isEndpointReady(MonotonicTime now) const;
    wire::Reason::type refusalReason(MonotonicTime now, const wire::HoldRequest &request) const;
    enum class CapacityCheck { Available, BeingReleased, Unavailable };
    CapacityCheck checkCapacity(const wire::HoldRequest &request) const;
    void retryHolds(MonotonicTime now, Actions &actions);
    Part *findPart(const wire::AttemptId &attempt, std::int32_t member);
    EndedPart *findEnded(const wire::AttemptId &attempt, std::int32_t member);
    void addPart(MonotonicTime now, const std::string &peer, const wire::HoldRequest &request);
    bool isInContact(MonotonicTime now, const Part &part) const;

    void advancePart(MonotonicTime now, Part &part, Actions &actions);
    void arm(MonotonicTime now, Part &part, Actions &actions);
    void renewLeases(MonotonicTime now, Part &part, Actions &actions);
    void run(MonotonicTime now, Part &part, Actions &actions);
    void stop(MonotonicTime now, Part &part, Actions &actions);
    void beginStop(MonotonicTime now, Part &part, wire::Reason::type reason, Actions &actions);
    void refuseArm(MonotonicTime now, Part &part, wire::Reason::type reason, Actions &actions);
    void callWorker(MonotonicTime now, Part &part, WorkerCall::Kind kind, CallState &state, Actions &actions);
    void callEndpoint(MonotonicTime now, Part &part, EndpointCall::Kind kind, CallState &state, Actions &actions);
    bool isStopped(MonotonicTime now, const Part &part) const;
    void finish(MonotonicTime now, Part &part, Actions &actions);
    EndedPart &recordEnd(MonotonicTime now, Part &part, bool succeeded, wire::Reason::type reason, std::string output);
    void sendReport(MonotonicTime now, const PartKey &key, EndedPart &ended, Actions &actions);
    void repeatReports(MonotonicTime now, Actions &actions);
    void evictEnded(MonotonicTime now);

    void handleGrant(MonotonicTime now, Part &part, const WorkerAnswer &answer, Actions &actions);
    void handleWorkerStart(MonotonicTime now, Part &part, const WorkerAnswer &answer, Actions &actions);
    void handleReserve(MonotonicTime now, Part &part, const EndpointAnswer &answer, Actions &actions);
    void handleProgress(MonotonicTime now, Part &part, const EndpointAnswer &answer, Actions &actions);
    void handleEnd(MonotonicTime now, Part &part, const EndpointAnswer &answer, Actions &actions);

    /// The leases and parts that the worker and the endpoint list when the process starts.
    struct Discovery
    {
        CallState workerList, endpointList;
        std::optional<WorkerAnswer> worker;
        std::optional<EndpointAnswer> endpoint;
        bool done = false;
    };
    /// A lease or part that this agent does not manage. All orphans are stopped before any hold is granted.
    struct Orphan
    {
        std::int64_t fence = 0;
        bool atWorker = false, atEndpoint = false;
        CallState workerEnd, endpointStop;
    };
    void discover(MonotonicTime now, Actions &actions);
    void reconcile(MonotonicTime now);
    void adopt(MonotonicTime now, const PartKey &key, const WorkerLease &lease);
    void stopOrphans(MonotonicTime now, Actions &actions);
    bool handleOrphan(const std::string &id, bool atWorker, bool ok, MonotonicTime now);

    CoreOptions options_;
    WorkerSettings worker_;
    std::map<PartKey, Part> parts_; ///< invariant: no accelerator belongs to two of them
    std::map<PartKey, EndedPart> ended_; ///< invariant: each key is in endedOrder_
    std::deque<PartKey> endedOrder_; ///< oldest first
    std::vector<PartKey> dueReports_; ///< keys of ended_ whose report is not acknowledged
    std::optional<EndpointAnnouncement> endpoint_;
    MonotonicTime endpointSeenAt_;
    std::int64_t highestFence_ = 0; ///< invariant: never decreases
    Discovery discovery_;
    std::map<std::string, Orphan> orphans_;
    /// A hold request that waits until other parts on its accelerators have been stopped.
    struct WaitingHold
    {
        std::string peer;
        wire::HoldRequest request;
        MonotonicTime until;
    };
    std::vector<WaitingHold> waitingHolds_;
    bool draining_ = false;
    bool changed_ = true;
    bool lastAvailable_ = false;
    std::int64_t startedTasks_ = 0;
    std::int64_t failedTasks_ = 0;
};

} // namespace knapweed::gangs
