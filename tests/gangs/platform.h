// Fake worker and endpoint for tests with a simulated clock. Both follow their interface: leases expire by themselves, fences only increase, a part runs at
// most once.
#pragma once

#include "gangs/actions.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweed::gangs::test
{

/// One run of a part, as recorded by the fake endpoint.
struct Run
{
    MonotonicTime begin;
    MonotonicTime end = MonotonicTime::max(); ///< max() while the part runs
    bool completed = false;
};

class FakeWorker
{
public:
    WorkerAnswer call(MonotonicTime now, const WorkerCall &call);
    void expire(MonotonicTime now);

    bool failsTasks = false;
    bool writesCheckpoints = true;
    int checkpoints = 0; ///< number of checkpoints written

    struct Lease
    {
        std::int64_t fence = 0;
        std::vector<std::int32_t> accelerators;
        bool started = false;
        MonotonicTime until;
    };
    std::map<std::string, Lease> leases;

private:
    WorkerAnswer::Status grant(MonotonicTime now, const WorkerCall &call);

    std::set<std::string> ended_;
    std::map<std::int32_t, std::int64_t> fences_;
};

class FakeEndpoint
{
public:
    /// Performs @p call without its wait time.
    EndpointAnswer call(MonotonicTime now, const EndpointCall &call);
    /// Ends parts whose lease has expired or whose run time is over.
    void expire(MonotonicTime now);
    bool isRunning(const std::string &part) const;
    /// Stops every part, as if the instance failed.
    void stopAll(MonotonicTime now);
    /// Called at the first start of a part.
    std::function<void(const std::string &part)> started;

    int slots = 8;
    std::map<std::string, Run> runs; ///< every part that ever started

private:
    struct Part
    {
        EndpointPartState state = EndpointPartState::Reserved;
        MonotonicTime leaseUntil;
        MonotonicTime runUntil;
        std::string input; ///< run time in milliseconds, followed by " fail" for a part that fails
    };
    void end(MonotonicTime at, const std::string &id, Part &part, EndpointPartState state);
    EndpointAnswer::Status reserve(MonotonicTime now, const EndpointCall &call);
    EndpointAnswer::Status start(MonotonicTime now, const EndpointCall &call);

    std::map<std::string, Part> parts_;
};

/// The output that the fake endpoint returns for a completed part.
std::string expectedOutput(const std::string &part);

} // namespace knapweed::gangs::test
