// Test stand-in for one worker: grants fenced leases on accelerators, processors and memory, and runs tasks under these leases.
#pragma once

#include "standins/standin.h"

#include <cstdint>
#include <map>
#include <set>

namespace knapweed::standins
{

struct WorkerStandinOptions
{
    int accelerators = 8;
    int processors = 130;
    std::int64_t memoryMib = 256000;
};

class WorkerStandin
{
public:
    WorkerStandin(EventLoop &loop, WorkerStandinOptions options);

    void handle(const HttpRequest &request, const HttpResponder &respond);
    FaultGate &faults();

private:
    struct Lease
    {
        std::int64_t fence = 0;
        std::vector<int> accelerators;
        int processors = 0;
        std::int64_t memoryMib = 0;
        MonotonicTime expiresAt;
        bool isStarted = false;
        double share = 1; ///< fraction of the leased processors that the task may use, set by a throttle request
    };

    struct Usage
    {
        MonotonicTime at;
        int processors = 0;
        std::int64_t memoryMib = 0;
        std::vector<int> accelerators;
    };

    using Leases = std::map<std::string, Lease>;

    void serve(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse serveLease(const std::vector<std::string> &path, const HttpRequest &request);
    HttpResponse grant(const std::string &id, const nlohmann::json &body);
    HttpResponse renew(Lease &lease, const std::string &id, std::int64_t fence, Milliseconds duration);
    HttpResponse act(const std::string &id, const std::string &action, const nlohmann::json &body);
    HttpResponse start(const std::string &id, Lease &lease);
    HttpResponse end(const std::string &id, std::int64_t fence);
    HttpResponse list() const;
    HttpResponse usage() const;
    HttpResponse counts() const;

    bool isStale(std::int64_t fence, const std::vector<int> &accelerators) const;
    bool isTaken(const std::vector<int> &accelerators) const;
    bool hasCapacity(const Lease &requested) const;
    void expire();
    void sampleUsage();
    bool setFault(const std::string &name, const nlohmann::json &value);

    WorkerStandinOptions options_;
    FaultGate faults_;
    Leases leases_; ///< invariant: each accelerator belongs to at most one lease
    std::set<std::string> endedLeases_; ///< expired and deleted leases, which are never granted again
    std::map<int, std::int64_t> fences_; ///< highest fence seen for each accelerator; invariant: never decreases
    std::deque<Usage> samples_;
    std::map<std::string, int> starts_; ///< number of started tasks by lease
    std::map<std::string, int> checkpoints_;
    int expiredLeases_ = 0;
    bool failsAllTasks_ = false;
    bool ignoresCheckpoints_ = false;
};

} // namespace knapweed::standins
