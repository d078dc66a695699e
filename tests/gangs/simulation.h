// Several agent cores on a driven clock, with a network, a log and platform calls that may delay, double and lose, and processes that freeze and die.
// Every promise on gangs is checked against what the fake endpoints saw.
#pragma once

#include "gangs/agentcore.h"
#include "gangs/platform.h"
#include "gangs/startverdict.h"
#include "logservice/jobfold.h"

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace knapweed::gangs::test
{

/// Chances in thousandths.
struct Faults
{
    int lostMessage = 0;
    int doubledMessage = 0;
    int lateMessage = 0; ///< delayed by up to lateLimit
    Milliseconds lateLimit {5000};
    int lostCall = 0; ///< a call to worker or endpoint, before or after its effect
    int slowCall = 0; ///< takes up to the call timeout
    int lostLogAnswer = 0; ///< the record is appended twice
    Milliseconds logDelay {5};
};

struct HomeAttempt
{
    wire::GangRequest request;
    bool acknowledged = false;
    bool ended = false;
    bool abandonSent = false;
    std::vector<wire::OutcomeReport> outcomes;
    bool reportedNeverStarted = false;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, int agents, Faults faults);

    /// Sends a gang of @p members parts, each on @p accelerators random accelerators of a random agent, the first of which leads.
    AttemptKey submit(int members, int accelerators, bool repeatable, const std::string &input, Milliseconds lease = Milliseconds(3000));
    AttemptKey submitOn(const std::vector<int> &agents,
        const std::vector<std::vector<std::int32_t>> &accelerators,
        wire::JobSpec spec,
        Milliseconds lease,
        bool borrowed = false);
    /// Another try at the job of @p attempt on the same members, led by another of them.
    AttemptKey retry(const AttemptKey &attempt);
    void endAttempt(const AttemptKey &attempt, wire::StopReason::type reason, Milliseconds grace);
    void query(const AttemptKey &attempt);
    /// Appends an abandon record for @p attempt.
    void abandon(const AttemptKey &attempt);

    void freeze(int agent, Milliseconds duration);
    void kill(int agent, Milliseconds downtime);
    /// Nothing passes between @p agent and any peer until @p duration is over.
    void disconnect(int agent, Milliseconds duration);
    /// The agent and the parts at its endpoint are gone at once, as when their instance fails.
    void crash(int agent, Milliseconds downtime);
    /// The parts at the endpoint are gone, and it answers nothing from now on.
    void failEndpoint(int agent);
    void setEndpointReady(int agent, bool ready);
    /// Asked for each message before it is sent: how many copies arrive, and how much later than usual.
    struct Delivery
    {
        int copies = 1;
        Milliseconds delay {0};
    };
    std::function<Delivery(const std::string &from, const std::string &to, const PeerMessage &message)> interceptMessage;
    void setAnnouncing(int agent, bool announcing);
    void drain(int agent);
    void stopAll(int agent);
    void setFaults(Faults faults);

    void run(Milliseconds duration);
    /// Runs without faults until everything has ended, at most @p limit.
    void runWithoutFaults(Milliseconds limit);

    MonotonicTime now() const;
    const HomeAttempt &attempt(const AttemptKey &key) const;
    const Run *partRun(const AttemptKey &key, int member) const;
    FakeWorker &worker(int agent);
    FakeEndpoint &endpoint(int agent);
    AgentCore &core(int agent);
    bool isAlive(int agent) const;
    std::uint32_t random(std::uint32_t bound);
    bool happens(int thousandths);

    /// Faults found so far, one line each.
    const std::vector<std::string> &violations();

    /// The longest that a part ran while another of its gang was neither running nor completed.
    Milliseconds longestIncompleteRun() const;
    std::size_t startedParts() const;
    std::size_t outcomes(wire::Outcome::type outcome) const;

    static Milliseconds incompleteRunLimit(Milliseconds lease);

private:
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const;
    };
    struct Agent
    {
        std::string address;
        std::unique_ptr<AgentCore> core;
        std::int64_t incarnation = 0;
        MonotonicTime frozenUntil;
        MonotonicTime disconnectedUntil;
        bool endpointReady = true;
        bool endpointFailed = false;
        bool announcing = true;
        FakeWorker worker;
        FakeEndpoint endpoint;
        JobFold fold;
        std::vector<UndecidedStart> undecided;
    };
    struct Placement
    {
        std::vector<int> agents;
        std::vector<std::vector<std::int32_t>> accelerators;
    };

    void at(MonotonicTime time, std::function<void()> action);
    void after(Milliseconds delay, std::function<void()> action);
    void start(int agent);
    void deliver(int agent, std::int64_t incarnation, std::function<Actions(AgentCore &)> event);
    void perform(int agent, const Actions &actions);
    void performAction(int agent, const SendMessage &action);
    void performAction(int agent, const WorkerCall &call);
    void performAction(int agent, const EndpointCall &call);
    void performAction(int agent, const AppendStart &append);
    void pollEndpoint(int agent, const EndpointCall &call, MonotonicTime sentAt, MonotonicTime until);
    void answerEndpoint(int agent, std::int64_t incarnation, EndpointAnswer answer, MonotonicTime sentAt, Milliseconds delay);
    void send(const std::string &from, const std::string &to, const PeerMessage &message);
    void receiveAtHome(const PeerMessage &message);
    void append(const Record &record);
    void appendAtHome(const Record &record);
    void applyRecord(const Record &record);
    Milliseconds logDelay();
    void fold(int agent, std::size_t offset);
    void tick(int agent);
    void homeTick();
    void expirePlatform();
    Milliseconds messageDelay();
    int indexOf(const std::string &address) const;
    void checkStart(int agent, const std::string &part);
    void checkIncompleteRuns();
    void checkOutcomeReports();
    void violation(const std::string &text);

    pcg32 random_;
    Faults faults_;
    MonotonicTime now_;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::vector<Record> log_;
    JobFold homeFold_;
    std::map<AttemptKey, HomeAttempt> attempts_;
    std::map<AttemptKey, Placement> placements_;
    std::map<std::string, std::set<AttemptKey>> startedAttempts_; ///< of each job
    std::vector<std::string> violations_;
    int jobs_ = 0;
    MonotonicTime appendedUntil_; ///< the home's records keep their order
    std::int64_t nonces_ = 0;
};

} // namespace knapweed::gangs::test
