// Decides which waiting job starts where, and what is preempted for it. Pure: no sockets, no clock of its own. Its state is soft: agents decide in the
// end, and a wrong decision costs a refused hold and another try.
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

/// A part that an agent reports as holding or running.
struct Part
{
    std::string job;
    std::int64_t attemptOwner = 0;
    std::int32_t attemptNumber = 0;
    std::string account;
    std::string kind;
    std::string lead; ///< agent address
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
    bool available = false; ///< its endpoint takes work and the agent is connected
    int slots = 0; ///< parts that its endpoint can hold at once
    int accelerators = 0;
    int processors = 0;
    std::int64_t memoryMib = 0;
    std::vector<Part> parts;
    std::int64_t startedTasks = 0; ///< rising counts, for the worker's health
    std::int64_t failedTasks = 0;
};

struct WaitingJob
{
    std::string id;
    std::string account;
    std::string kind;
    Shape shape;
    MonotonicTime enqueuedAt;
    Milliseconds declaredRun {0}; ///< zero when the caller declared none; often wrong
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
    std::string job; ///< the whole gang goes
    std::int64_t attemptOwner = 0;
    std::int32_t attemptNumber = 0;
    std::string lead;
    std::string forJob;
};

/// The fleet could never hold the job.
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

    /// Adding a job that waits already updates it.
    void addJob(const WaitingJob &job);
    /// In constant time.
    void removeJob(const std::string &job);
    std::size_t waitingJobs() const;

    /// What happened, for learned run times.
    void recordRun(const std::string &account, const std::string &kind, Milliseconds run);

    /// A placed job leaves the queue; its accelerators stay taken until a report shows it or, when none does, for a short time.
    std::vector<Decision> decide(MonotonicTime now);

    /// Whether some state of the whole known fleet could hold @p shape; false with no workers known.
    bool canEverHold(const Shape &shape) const;

    /// Why @p job still waits, one line for operators and callers; empty when unknown.
    std::string waitReason(const std::string &job) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace knapweed::planning
