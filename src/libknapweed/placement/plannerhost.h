// Hosts the planner in an entry: turns agents' reports and entries' placement requests into the planner's terms, and its decisions into messages.
// Every entry keeps the fleet's state, so that any can become the planner at once; only the chosen one is asked.
#pragma once

#include "base/clock.h"
#include "operators/configuration.h"
#include "peers/codec.h"
#include "planning/planner.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweed
{

struct PlannerHostOptions
{
    Milliseconds requestExpiry {5000}; ///< a request that its home entry does not repeat for this long is dropped
    Milliseconds reportExpiry {4000}; ///< a worker whose agent does not report for this long is not planned for
};

class PlannerHost
{
public:
    using Messages = std::vector<std::pair<std::string, PeerMessage>>; ///< (peer, message)

    explicit PlannerHost(PlannerHostOptions options = {});

    void setConfiguration(const Configuration &configuration);

    /// Takes agents' reports, placement requests and withdrawals; other messages are ignored.
    void receive(MonotonicTime now, const PeerMessage &message);
    void agentLost(MonotonicTime now, const std::string &agent);

    /// Decides, and returns what to send.
    Messages decide(MonotonicTime now);
    /// Whether anything has changed since the last decide().
    bool isDue() const;

    bool canEverHold(const wire::JobSpec &spec) const;
    bool hasWorkers() const;
    std::string waitReason(const std::string &job) const;
    std::size_t waitingJobs() const;

    /// The newest report of each agent.
    const std::map<std::string, wire::AgentReport> &reports() const;

private:
    struct Request
    {
        std::string home;
        MonotonicTime receivedAt;
    };

    void receiveReport(MonotonicTime now, const wire::AgentReport &report);
    void receiveRequest(MonotonicTime now, const wire::PlacementRequest &request);
    void removeExpired(MonotonicTime now);
    void addDecision(Messages &messages, const planning::Decision &decision);

    PlannerHostOptions options_;
    planning::Planner planner_;
    Milliseconds preemptionGrace_ {2000};
    bool isDue_ = false;
    MonotonicTime nextExpiryCheck_;
    std::map<std::string, Request> requests_; ///< by job; invariant: exactly the jobs that the planner has waiting
    std::map<std::string, wire::AgentReport> reports_; ///< by agent
    std::map<std::string, MonotonicTime> reportedAt_; ///< by agent; invariant: the same keys as reports_
};

} // namespace knapweed
