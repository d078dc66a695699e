// At a fixed rate a job's latency counts from when it was due, so that a slow entry can't hide its delay by slowing the load.

#include "load.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace knapweed
{

namespace
{

constexpr Milliseconds rateInterval {1};
constexpr Milliseconds answerGrace {5000}; ///< beyond the job's own deadline
constexpr std::size_t faultsKept = 10;

} // namespace

Load::Load(EventLoop &loop, LoadOptions options, std::function<void()> finished)
    : loop_(loop)
    , options_(std::move(options))
    , finished_(std::move(finished))
    , client_(loop)
{
}

void Load::start()
{
    begun_ = std::chrono::steady_clock::now();
    if (options_.rate > 0) {
        timer_ = loop_.callEvery(rateInterval, [this]() {
            sendDue();
        });
        return;
    }
    for (int caller = 0; caller < options_.connections; ++caller) {
        sendNext(std::chrono::steady_clock::now());
    }
    finishWhenDone();
}

const LoadFigures &Load::figures() const
{
    return figures_;
}

bool Load::isOver() const
{
    const bool isAllSent = options_.count > 0 && figures_.sent >= options_.count;
    return isAllSent || std::chrono::steady_clock::now() - begun_ >= options_.duration;
}

void Load::sendDue()
{
    const Microseconds interval(Seconds(1) / Microseconds(1) / options_.rate);
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (MonotonicTime due = begun_ + interval * figures_.sent; due <= now && !isOver(); due += interval) {
        sendNext(due);
    }
    if (isOver()) {
        loop_.cancelTimer(timer_);
        finishWhenDone();
    }
}

void Load::sendNext(MonotonicTime due)
{
    if (isOver()) {
        return;
    }
    const LoadJob job = makeJob(options_.mix, options_.jobs, figures_.sent);
    const Address &entry = options_.entries[figures_.sent % options_.entries.size()];
    ++figures_.sent;
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.headers["authorization"] = "Bearer " + options_.token;
    request.headers["content-type"] = "application/json";
    request.headers["idempotency-key"] = job.key;
    request.body = job.body;
    client_.send(entry, std::move(request), options_.jobs.deadline + answerGrace, [this, job, due](const HttpResult &result) {
        answered(job, due, result);
    });
}

void Load::answered(const LoadJob &job, MonotonicTime due, const HttpResult &result)
{
    Verdict verdict = judgeAnswer(job, result);
    if (verdict.fault.empty() && !verdict.job.empty() && !jobIds_.insert(verdict.job).second) {
        verdict.fault = "another job had this id";
    }
    ++figures_.answered;
    KindFigures &kind = figures_.kinds[job.kind.name];
    ++kind.outcomes[verdict.outcome];
    if (verdict.outcome == "completed") {
        kind.latencies.push_back(std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() - due));
    }
    if (!verdict.fault.empty()) {
        ++figures_.wrong;
        if (figures_.faults.size() < faultsKept) {
            figures_.faults.push_back(job.key + ": " + verdict.fault);
        }
    }
    if (options_.rate == 0) {
        sendNext(std::chrono::steady_clock::now());
    }
    finishWhenDone();
}

void Load::finishWhenDone()
{
    if (!isFinished_ && isOver() && figures_.answered == figures_.sent) {
        isFinished_ = true;
        figures_.took = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begun_);
        finished_();
    }
}

} // namespace knapweed
