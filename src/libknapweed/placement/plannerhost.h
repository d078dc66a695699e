// Runs the planner in an entry: converts the agents' reports and the entries' placement requests to the planner's types, and the planner's decisions to
// messages. Every entry keeps the state of the fleet so that it can take over as the planner at once; only the chosen entry receives requests.
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
    Milliseconds requestExpiry {5000}; ///< a request that its home entry has not repeated for this long is removed
    Milliseconds reportExpiry {4000}; ///< a worker whose agent has not reported for this long is removed
};

class PlannerHost
{
public:
    using Messages = std::vector<std::pair<std::string, PeerMessage>>; ///< (peer, message)

    explicit PlannerHost(PlannerHostOptions options = {});

    void setConfiguration(const Configuration &configuration);

    /// Handles agents' reports, placement requests and their retractions; other messages are ignored.
    void receive(MonotonicTime now, const PeerMessage &message);
    void agentLost(MonotonicTime now, const std::string &agent);

    /// Runs a planning round and returns the messages to send.
    Messages decide(MonotonicTime now);
    /// Whether the input of the planner has changed since the last decide().
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
    std::map<std::string, Request> requests_; ///< by job; invariant: exactly the jobs that wait in the planner
    std::map<std::string, wire::AgentReport> reports_; ///< by agent
    std::map<std::string, MonotonicTime> reportedAt_; ///< by agent; invariant: the same keys as reports_
};

} // namespace knapweed
