// Simulation of several agent cores with a simulated clock. Messages, log records and calls to workers and endpoints can be delayed, duplicated and lost;
// processes can be frozen and killed. Every guarantee for gangs is checked against the runs that the fake endpoints recorded.
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

/// Probabilities of faults, in thousandths.
struct Faults
{
    int lostMessage = 0;
    int doubledMessage = 0;
    int lateMessage = 0; ///< delayed by up to lateLimit
    Milliseconds lateLimit {5000};
    int lostCall = 0; ///< a call to worker or endpoint fails, before or after its effect
    int slowCall = 0; ///< takes up to the call timeout
    int lostLogAnswer = 0; ///< the acknowledgement of a record is lost, so the record is appended twice
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

    /// Submits a gang of @p members parts, each on @p accelerators random accelerators of a random agent. The first of these agents is the lead.
    AttemptKey submit(int members, int accelerators, bool repeatable, const std::string &input, Milliseconds lease = Milliseconds(3000));
    AttemptKey submitOn(const std::vector<int> &agents,
        const std::vector<std::vector<std::int32_t>> &accelerators,
        wire::JobSpec spec,
        Milliseconds lease,
        bool borrowed = false);
    /// Starts another attempt of the job of @p attempt on the same members, with the next of them as the lead.
    AttemptKey retry(const AttemptKey &attempt);
    void endAttempt(const AttemptKey &attempt, wire::StopReason::type reason, Milliseconds grace);
    void query(const AttemptKey &attempt);
    /// Appends an abandon record for @p attempt.
    void abandon(const AttemptKey &attempt);

    void freeze(int agent, Milliseconds duration);
    void kill(int agent, Milliseconds downtime);
    /// Drops all messages between @p agent and its peers for @p duration.
    void disconnect(int agent, Milliseconds duration);
    /// Kills the agent and stops the parts at its endpoint, as if their instance failed.
    void crash(int agent, Milliseconds downtime);
    /// Stops the parts at the endpoint, which answers no call from then on.
    void failEndpoint(int agent);
    void setEndpointReady(int agent, bool ready);
    /// Returned by interceptMessage for each message before it is sent: the number of copies that arrive, and their additional delay.
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
    /// Turns off all random faults and runs for @p duration, so that every attempt can finish.
    void runWithoutFaults(Milliseconds duration);

    MonotonicTime now() const;
    const HomeAttempt &attempt(const AttemptKey &key) const;
    const Run *partRun(const AttemptKey &key, int member) const;
    FakeWorker &worker(int agent);
    FakeEndpoint &endpoint(int agent);
    AgentCore &core(int agent);
    bool isAlive(int agent) const;
    std::uint32_t random(std::uint32_t bound);
    bool happens(int thousandths);

    /// Violated guarantees found so far, one line each.
    const std::vector<std::string> &violations();

    /// The longest time that a part ran while another part of its gang was neither running nor completed.
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
    std::map<std::string, std::set<AttemptKey>> startedAttempts_; ///< by job
    std::vector<std::string> violations_;
    int jobs_ = 0;
    MonotonicTime appendedUntil_; ///< when the home entry's newest record is appended; the next one follows it
    std::int64_t nonces_ = 0;
};

} // namespace knapweed::gangs::test
