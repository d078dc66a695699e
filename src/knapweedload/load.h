// Submits jobs to entries, at a fixed rate or by a fixed number of callers, and collects what became of them. Loop thread only.
#pragma once

#include "answercheck.h"
#include "base/eventloop.h"
#include "base/httpclient.h"
#include "jobmix.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweed
{

struct LoadOptions
{
    std::vector<Address> entries; ///< in turn
    std::string token;
    std::vector<JobKind> mix;
    JobOptions jobs;
    int rate = 0; ///< jobs a second; 0 for a closed loop
    int connections = 8; ///< callers of the closed loop; each sends its next job when the last one is answered
    std::uint64_t count = 0; ///< jobs to send; 0 for no limit
    Milliseconds duration {10000}; ///< no job is sent after this
};

struct KindFigures
{
    std::vector<Microseconds> latencies; ///< of completed jobs
    std::map<std::string, std::uint64_t> outcomes;
};

struct LoadFigures
{
    std::map<std::string, KindFigures> kinds;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0; ///< answers that were not whole or not the job's own
    std::vector<std::string> faults; ///< the first few of them
    Milliseconds took {0};
};

class Load
{
public:
    /// @p finished runs once, when the last job sent has been answered.
    Load(EventLoop &loop, LoadOptions options, std::function<void()> finished);

    void start();

    const LoadFigures &figures() const;

private:
    bool isOver() const;
    void sendDue();
    void sendNext(MonotonicTime due);
    void answered(const LoadJob &job, MonotonicTime due, const HttpResult &result);
    void finishWhenDone();

    EventLoop &loop_;
    LoadOptions options_;
    std::function<void()> finished_;
    HttpClient client_;
    LoadFigures figures_;
    std::set<std::string> jobIds_; ///< of all answers; two jobs never share one
    MonotonicTime begun_;
    TimerId timer_ = 0;
    bool isFinished_ = false;
};

} // namespace knapweed
