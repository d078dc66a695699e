// Decides which waiting job starts where, and what is preempted for it. It uses no sockets and no clock of its own. Its state may be out of date: the agents
// make the final decision, and a wrong decision of the planner costs one refused hold and another attempt.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace knapweed::planning
{

enum class Adjacency { None, Worker, Rack };

struct Shape
{
    int tasks = 1;
    int acceleratorsPerTask = 1;
    int processorsPerTask = 0;
    std::int64_t memoryMibPerTask = 0;
    Adjacency adjacency = Adjacency::None;
};

/// A part of a gang that an agent reports as held or running.
struct Part
{
    std::string job;
    std::int64_t attemptOwner = 0;
    std::int32_t attemptNumber = 0;
    std::string account;
    std::string kind;
    std::string lead; ///< address of the gang's lead agent
    std::vector<int> accelerators;
    int processors = 0;
    std::int64_t memoryMib = 0;
    int gangSize = 1;
    bool checkpointable = false;
    bool repeatable = true;
    MonotonicTime startedAt;
    MonotonicTime checkpointedAt;
};

struct Worker
{
    std::string id;
    std::string agent; ///< address of the agent with authority over it
    std::string rack;
    std::string failureDomain;
    std::string region;
    bool available = false; ///< its endpoint accepts work and the agent is connected
    int slots = 0; ///< parts that its endpoint can hold at once
    int accelerators = 0;
    int processors = 0;
    std::int64_t memoryMib = 0;
    std::vector<Part> parts;
    std::int64_t startedTasks = 0; ///< cumulative, as is failedTasks; both serve to judge the worker's health
    std::int64_t failedTasks = 0;
};

struct WaitingJob
{
    std::string id;
    std::string account;
    std::string kind;
    Shape shape;
    MonotonicTime enqueuedAt;
    Milliseconds declaredRun {0}; ///< zero if the caller declared none; often inaccurate
    bool repeatable = true;
    bool checkpointable = false;
    bool urgent = false;
    std::vector<std::string> avoidWorkers; ///< where earlier attempts failed
};

struct AccountPolicy
{
    double weight = 1;
    std::vector<Shape> guarantee;
};

struct Policy
{
    std::map<std::string, AccountPolicy> accounts;
    std::vector<std::string> excludedWorkers;
    double completionWeight = 0.6;
    double fragmentationWeight = 0.4;
    Milliseconds preemptionGrace {2000};
};

struct PlacedMember
{
    std::string worker;
    std::string agent;
    std::vector<int> accelerators;
};

struct Place
{
    std::string job;
    std::vector<PlacedMember> members;
    bool borrowed = false; ///< uses accelerators that are reserved for another account
};

struct Preempt
{
    std::string job; ///< its whole gang is to be stopped
    std::int64_t attemptOwner = 0;
    std::int32_t attemptNumber = 0;
    std::string lead;
    std::string forJob;
};

/// The known fleet could not hold the job even if it were idle.
struct Refuse
{
    std::string job;
    std::string detail;
};

using Decision = std::variant<Place, Preempt, Refuse>;

class Planner
{
public:
    Planner();
    ~Planner();
    Planner(const Planner &) = delete;
    Planner &operator=(const Planner &) = delete;

    void setPolicy(Policy policy);
    void updateWorker(MonotonicTime now, const Worker &worker);
    void removeWorker(MonotonicTime now, const std::string &worker);

    /// Updates the job if it is waiting already.
    void addJob(const WaitingJob &job);
    /// Takes constant time on average.
    void removeJob(const std::string &job);
    std::size_t waitingJobs() const;

    /// Records the duration of a finished run for the run time estimates.
    void recordRun(const std::string &account, const std::string &kind, Milliseconds run);

    /// Runs one planning round. A placed job leaves the queue. Its accelerators stay in use until a report shows the job or, if none does, for a short time.
    std::vector<Decision> decide(MonotonicTime now);

    /// Whether the known fleet could hold @p shape if it were idle; false if no workers are known.
    bool canEverHold(const Shape &shape) const;

    /// Why @p job is still waiting, as one line for operators and callers; empty if unknown.
    std::string waitReason(const std::string &job) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace knapweed::planning
