// Callers' HTTP interface: authorization, limits, submission, long polling and cancellation. Keeps the responders of waiting callers.
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

/// Implements docs/interfaces/callers.md. To be used on the event loop's thread only.
class CallerApi
{
public:
    CallerApi(EventLoop &loop, JobRegistry &jobRegistry, const JobFold &fold, const PlannerHost &planner, Metrics &metrics);

    void setConfiguration(const Configuration &effective);

    /// Handles requests to /v1/jobs and the paths below it; returns false for all others. Afterwards the job registry may have actions to perform.
    bool handle(const HttpRequest &request, HttpResponder respond);

    /// Responds to the callers that wait for the job, if it has reached the state that they wait for.
    void jobChanged(const std::string &id);

    /// Counts and logs the outcome of a job that has just finished.
    void recordOutcome(const Job &job);

    /// From now on, refuses new submissions and answers long polls of unfinished jobs with the current state.
    void drain();

    /// Number of callers that wait for the acceptance or the outcome of a job that they submitted.
    std::size_t waitingSubmitters() const;

private:
    enum class WaitFor { Acceptance, Outcome, OutcomeOrTimeout };
    struct Waiter
    {
        WaitFor waitFor = WaitFor::Outcome;
        HttpResponder respond;
        TimerId timer = 0; ///< 0 when there is no time limit
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
    std::map<std::string, std::vector<Waiter>> waiters_; ///< by job id
    std::size_t submitters_ = 0; ///< number of waiters for Acceptance or Outcome
    bool isDraining_ = false;
};

} // namespace knapweed
