// The callers' HTTP interface: accounts and limits, submission, long-polls and cancellation. Keeps the responders of callers that wait.
#pragma once

#include "base/eventloop.h"
#include "base/httpserver.h"
#include "base/metrics.h"
#include "callers/jobregistry.h"
#include "callers/ratelimiter.h"
#include "placement/plannerhost.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed
{

/// docs/interfaces/callers.md. Loop thread only.
class CallerApi
{
public:
    CallerApi(EventLoop &loop, JobRegistry &jobRegistry, const JobFold &fold, const PlannerHost &planner, Metrics &metrics);

    void setConfiguration(const Configuration &effective);

    /// Answers requests below /v1/jobs; false for others. Board actions may be waiting afterwards.
    bool handle(const HttpRequest &request, HttpResponder respond);

    /// Answers those who wait for the job, when it has come as far as they asked.
    void jobChanged(const std::string &id);

    /// Counts and logs the outcome of a job that has just finished.
    void recordOutcome(const Job &job);

    /// From now on new requests are refused, and long-polls of unfinished jobs are answered with the state that they have.
    void drain();

    /// Callers that wait for the outcome of their own request.
    std::size_t waitingSubmitters() const;

private:
    enum class WaitFor { Acceptance, Outcome, OutcomeOrTimeout };
    struct Waiter
    {
        WaitFor waitFor = WaitFor::Outcome;
        HttpResponder respond;
        TimerId timer = 0; ///< 0 when it waits without a limit
    };

    void submit(const HttpRequest &request, const ClientAccount &account, HttpResponder respond);
    void show(const HttpRequest &request, const ClientAccount &account, const std::string &id, HttpResponder respond);
    void cancel(const ClientAccount &account, const std::string &id, HttpResponder respond);
    void list(const ClientAccount &account, const HttpResponder &respond);
    void wait(const std::string &id, WaitFor waitFor, Milliseconds limit, HttpResponder respond);
    void expireWaiter(const std::string &id, TimerId timer);
    bool isSatisfied(const Job &job, const Waiter &waiter) const;
    HttpResponse stateOf(const std::string &id) const;
    bool isOwnedBy(const std::string &id, const ClientAccount &account) const;
    const ClientAccount *accountOf(const HttpRequest &request) const;

    EventLoop &loop_;
    JobRegistry &jobRegistry_;
    const JobFold &fold_;
    const PlannerHost &planner_;
    Metrics &metrics_;
    RateLimiter rateLimiter_;
    std::vector<ClientAccount> accounts_;
    std::map<std::string, std::vector<Waiter>> waiters_; ///< by job
    std::size_t submitters_ = 0; ///< waiters that wait for Outcome or Acceptance
    bool isDraining_ = false;
};

} // namespace knapweed
