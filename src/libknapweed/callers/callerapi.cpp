// Routing, limits and waiting callers.

#include "callers/callerapi.h"

#include "base/logging.h"
#include "base/token.h"
#include "callers/jobdocument.h"
#include "callers/jobid.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace knapweed
{

namespace
{

constexpr Milliseconds acceptanceTimeout {10000};
constexpr Milliseconds maximumPollTime {60000};
constexpr std::size_t maximumKeyLength = 256; ///< characters

const std::string jobsPath = "/v1/jobs";

std::string header(const HttpRequest &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

Milliseconds pollLimit(const HttpRequest &request)
{
    const auto found = request.query.find("wait_ms");
    std::int64_t milliseconds = 0;
    if (found != request.query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), milliseconds);
    }
    return std::clamp(Milliseconds(milliseconds), Milliseconds(0), maximumPollTime);
}

HttpResponse notFound()
{
    return jsonResponse(404, R"({"error":"unknown_job","detail":"no such job of this client account is known here"})");
}

HttpResponse acceptanceUnknown(const std::string &id)
{
    const nlohmann::json document = {{"error", "unknown"},
        {"outcome", "unknown"},
        {"job", id},
        {"detail", "the log service did not confirm the request in time; it may still be accepted, ask for the job"}};
    HttpResponse response = jsonResponse(504, document.dump());
    response.headers["location"] = jobsPath + '/' + id;
    return response;
}

} // namespace

CallerApi::CallerApi(EventLoop &loop, JobRegistry &jobRegistry, const JobFold &fold, const PlannerHost &planner, Metrics &metrics)
    : loop_(loop)
    , jobRegistry_(jobRegistry)
    , fold_(fold)
    , planner_(planner)
    , metrics_(metrics)
{
}

void CallerApi::setConfiguration(const Configuration &effective)
{
    accounts_.clear();
    for (const auto &[name, account] : effective.accounts) {
        accounts_.push_back(account);
    }
}

const ClientAccount *CallerApi::accountOf(const HttpRequest &request) const
{
    const std::string token = bearerToken(request);
    const ClientAccount *found = nullptr;
    // The token is compared with that of every account, so that the response time reveals nothing about the tokens.
    for (const ClientAccount &account : accounts_) {
        if (isSameToken(token, account.token)) {
            found = &account;
        }
    }
    return found;
}

bool CallerApi::handle(const HttpRequest &request, HttpResponder respond)
{
    const bool isCollection = request.path == jobsPath;
    if (!isCollection && request.path.rfind(jobsPath + '/', 0) != 0) {
        return false;
    }
    const ClientAccount *account = accountOf(request);
    if (account == nullptr) {
        respond(
            refusalResponse({401, "unauthorized", "authorization", "authorization: found no known token, allowed is \"Bearer TOKEN\" of a client account"}));
        return true;
    }
    const std::string id = isCollection ? std::string() : request.path.substr(jobsPath.size() + 1);
    if (isCollection && request.method == "POST") {
        submit(request, *account, std::move(respond));
    } else if (isCollection && request.method == "GET") {
        list(*account, respond);
    } else if (!isCollection && request.method == "GET") {
        show(request, *account, id, std::move(respond));
    } else if (!isCollection && request.method == "DELETE") {
        cancel(*account, id, std::move(respond));
    } else {
        respond(jsonResponse(405, R"({"error":"method_not_allowed","detail":"allowed are POST and GET /v1/jobs, GET and DELETE /v1/jobs/{id}"})"));
    }
    return true;
}

void CallerApi::submit(const HttpRequest &request, const ClientAccount &account, HttpResponder respond)
{
    const auto refuse = [this, &respond, &account](const RequestError &error) {
        metrics_.increment("refused_requests_total", {{"account", account.name}, {"reason", error.code}});
        respond(refusalResponse(error));
    };
    if (isDraining_) {
        refuse({503, "draining", "", "this entry is shutting down; ask another"});
        return;
    }
    Submission submission;
    submission.key = header(request, "idempotency-key");
    const auto retriesKnownJob = [this, &submission, &account]() {
        return !submission.key.empty() && isOwnedBy(jobIdForKey(account.name, submission.key), account);
    };
    if (submission.key.size() > maximumKeyLength) {
        refuse({400, "bad_value", "idempotency-key", "idempotency-key: found more than 256 characters"});
        return;
    }
    Result<JobRequest, RequestError> parsed = parseJobRequest(request.body);
    if (!isOk(parsed)) {
        refuse(error(parsed));
        return;
    }
    submission.request = std::move(value(parsed));
    submission.request.spec.account = account.name;
    submission.digest = digestText(digestOf(request.body));
    submission.isAsync = header(request, "prefer").find("respond-async") != std::string::npos;
    if (!retriesKnownJob()) {
        if (!rateLimiter_.allow(std::chrono::steady_clock::now(), account.name, account.requestsPerSecond, account.burst)) {
            refuse({429, "rate_limited", "", "the client account is over its requests_per_second"});
            return;
        }
        if (jobRegistry_.unfinishedJobs(account.name) >= static_cast<std::size_t>(account.queuedLimit)) {
            refuse({429, "queue_full", "", "the client account has queued_limit unfinished jobs here"});
            return;
        }
        if (planner_.hasWorkers() && !planner_.canEverHold(submission.request.spec)) {
            refuse({422, "never_placeable", "tasks", "tasks: no state of the fleet could hold this shape; see the workers' sizes in status"});
            return;
        }
    }
    const bool isAsync = submission.isAsync;
    const Result<std::string, RequestError> accepted = jobRegistry_.submit(std::chrono::steady_clock::now(), submission);
    if (!isOk(accepted)) {
        refuse(error(accepted));
        return;
    }
    wait(value(accepted), isAsync ? WaitFor::Acceptance : WaitFor::Outcome, isAsync ? acceptanceTimeout : Milliseconds(0), std::move(respond));
}

void CallerApi::show(const HttpRequest &request, const ClientAccount &account, const std::string &id, HttpResponder respond)
{
    if (!isOwnedBy(id, account)) {
        respond(notFound());
        return;
    }
    const Job *job = jobRegistry_.job(id);
    const Milliseconds limit = pollLimit(request);
    const FoldedJob *folded = fold_.job(id);
    const bool isFinished = job != nullptr ? isTerminal(*job) : folded != nullptr && folded->outcome;
    if (isFinished || limit.count() == 0 || isDraining_) {
        respond(stateOf(id));
        return;
    }
    wait(id, WaitFor::OutcomeOrTimeout, limit, std::move(respond));
}

void CallerApi::cancel(const ClientAccount &account, const std::string &id, HttpResponder respond)
{
    if (!isOwnedBy(id, account)) {
        respond(notFound());
        return;
    }
    jobRegistry_.cancel(std::chrono::steady_clock::now(), id);
    wait(id, WaitFor::OutcomeOrTimeout, acceptanceTimeout, std::move(respond));
}

void CallerApi::list(const ClientAccount &account, const HttpResponder &respond)
{
    nlohmann::json document = {{"jobs", nlohmann::json::array()}};
    for (const auto &[id, job] : jobRegistry_.jobs()) {
        if (job.spec.account == account.name) {
            document["jobs"].push_back({{"job", id}, {"kind", job.spec.kind}, {"state", phaseName(job.phase)}});
        }
    }
    respond(jsonResponse(200, document.dump()));
}

bool CallerApi::isOwnedBy(const std::string &id, const ClientAccount &account) const
{
    const Job *job = jobRegistry_.job(id);
    if (job != nullptr) {
        return job->spec.account == account.name;
    }
    const FoldedJob *folded = fold_.job(id);
    return folded != nullptr && folded->submit.spec.account == account.name;
}

HttpResponse CallerApi::stateOf(const std::string &id) const
{
    const Job *job = jobRegistry_.job(id);
    const FoldedJob *folded = fold_.job(id);
    if (folded != nullptr && (job == nullptr || (job->phase == JobPhase::Remote && !job->outcome))) {
        return foldedJobResponse(*folded);
    }
    return job == nullptr ? notFound() : jobResponse(*job, planner_.waitReason(id));
}

void CallerApi::wait(const std::string &id, WaitFor waitFor, Milliseconds limit, HttpResponder respond)
{
    Waiter waiter;
    waiter.waitFor = waitFor;
    waiter.respond = std::move(respond);
    if (limit.count() > 0) {
        const std::shared_ptr<TimerId> timer = std::make_shared<TimerId>(0);
        *timer = loop_.callAfter(limit, [this, id, timer]() {
            expireWaiter(id, *timer);
        });
        waiter.timer = *timer;
    }
    if (waitFor != WaitFor::OutcomeOrTimeout) {
        ++submitters_;
    }
    waiters_[id].push_back(std::move(waiter));
    jobChanged(id);
}

void CallerApi::expireWaiter(const std::string &id, TimerId timer)
{
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) {
        return;
    }
    std::vector<Waiter> &waiting = found->second;
    const auto expired = std::find_if(waiting.begin(), waiting.end(), [timer](const Waiter &waiter) {
        return waiter.timer == timer;
    });
    if (expired == waiting.end()) {
        return;
    }
    const Waiter waiter = std::move(*expired);
    waiting.erase(expired);
    if (waiting.empty()) {
        waiters_.erase(found);
    }
    if (waiter.waitFor == WaitFor::Acceptance) {
        --submitters_;
        waiter.respond(acceptanceUnknown(id));
    } else {
        waiter.respond(stateOf(id));
    }
}

bool CallerApi::isSatisfied(const Job &job, const Waiter &waiter) const
{
    if (isTerminal(job)) {
        return true;
    }
    return waiter.waitFor == WaitFor::Acceptance && job.phase != JobPhase::AwaitingLog;
}

void CallerApi::jobChanged(const std::string &id)
{
    const Job *job = jobRegistry_.job(id);
    const FoldedJob *folded = fold_.job(id);
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) {
        return;
    }
    std::vector<Waiter> satisfied;
    std::vector<Waiter> &waiting = found->second;
    const auto isDone = [this, job, folded](const Waiter &waiter) {
        return job != nullptr ? isSatisfied(*job, waiter) : folded == nullptr || folded->outcome;
    };
    const auto firstDone = std::stable_partition(waiting.begin(), waiting.end(), [&isDone](const Waiter &waiter) {
        return !isDone(waiter);
    });
    std::move(firstDone, waiting.end(), std::back_inserter(satisfied));
    waiting.erase(firstDone, waiting.end());
    if (waiting.empty()) {
        waiters_.erase(found);
    }
    for (const Waiter &waiter : satisfied) {
        loop_.cancelTimer(waiter.timer);
        if (waiter.waitFor != WaitFor::OutcomeOrTimeout) {
            --submitters_;
        }
        const bool isAcceptance = waiter.waitFor == WaitFor::Acceptance && job != nullptr && !isTerminal(*job);
        waiter.respond(isAcceptance ? acceptedResponse(*job) : stateOf(id));
    }
}

void CallerApi::recordOutcome(const Job &job)
{
    if (job.finishedAt == MonotonicTime {} || !job.outcome) {
        return;
    }
    const MetricLabels labels = {{"account", job.spec.account}, {"kind", job.spec.kind}};
    MetricLabels outcomeLabels = labels;
    outcomeLabels["outcome"] = outcomeName(job.outcome->outcome);
    metrics_.increment("jobs_total", outcomeLabels);
    metrics_.observe("completion_time_seconds", std::chrono::duration_cast<Microseconds>(job.finishedAt - job.submittedAt), labels);
    if (job.placedAt != MonotonicTime {}) {
        metrics_.observe("queue_time_seconds", std::chrono::duration_cast<Microseconds>(job.placedAt - job.submittedAt), labels);
    }
    logEvent(LogLevel::Info,
        "job.finished",
        {{"job", job.id},
            {"account", job.spec.account},
            {"kind", job.spec.kind},
            {"outcome", outcomeName(job.outcome->outcome)},
            {"reason", reasonName(job.outcome->reason)},
            {"attempts", std::to_string(job.attemptsMade)},
            {"detail", job.outcome->detail}});
}

void CallerApi::drain()
{
    isDraining_ = true;
    std::vector<std::pair<std::string, Waiter>> polls;
    for (auto &[id, waiting] : waiters_) {
        const auto firstPoll = std::stable_partition(waiting.begin(), waiting.end(), [](const Waiter &waiter) {
            return waiter.waitFor != WaitFor::OutcomeOrTimeout;
        });
        for (auto poll = firstPoll; poll != waiting.end(); ++poll) {
            polls.emplace_back(id, std::move(*poll));
        }
        waiting.erase(firstPoll, waiting.end());
    }
    std::erase_if(waiters_, [](const std::pair<const std::string, std::vector<Waiter>> &entry) {
        return entry.second.empty();
    });
    for (const auto &[id, poll] : polls) {
        loop_.cancelTimer(poll.timer);
        poll.respond(stateOf(id));
    }
}

std::size_t CallerApi::waitingSubmitters() const
{
    return submitters_;
}

} // namespace knapweed
