// Performs the checks that do not need the scheduler. Each call is checked against the newest configuration of this process.

#include "cellcallerapi.h"

#include "base/logging.h"
#include "documents.h"
#include "jobs/jobrecord.h"

#include <algorithm>
#include <cstdlib>

namespace knapweed
{

namespace
{

constexpr Milliseconds defaultDeadline {3000}; ///< for requests without a valid x-deadline-ms header
constexpr Milliseconds answerMargin {120}; ///< reserved for returning the answer before the caller's deadline
constexpr Milliseconds submitSendTimeout {400}; ///< how long a submission waits for a scheduler; longer than a planned hand-over takes
constexpr std::size_t jobIdLength = 16;
constexpr int retryAfterSeconds = 1; ///< a fail-over takes about two seconds

HttpResponse errorResponse(int status, const std::string &reason)
{
    return jsonResponse(status, R"({"error":")" + reason + "\"}");
}

HttpResponse retryLaterResponse(int status, const std::string &reason, std::int64_t retryAfter)
{
    HttpResponse response = errorResponse(status, reason);
    response.headers["retry-after"] = std::to_string(retryAfter);
    return response;
}

bool isJobId(const std::string &text)
{
    return text.size() == jobIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::string hostOf(const HttpRequest &request)
{
    return request.host.substr(0, request.host.find(':'));
}

std::string headerOf(const HttpRequest &request, const char *name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

Milliseconds deadlineOf(const HttpRequest &request)
{
    const long long stated = std::atoll(headerOf(request, "x-deadline-ms").c_str());
    return stated > 0 ? Milliseconds(stated) : defaultDeadline;
}

HttpResponse responseTo(const wire::JobCall &call, const wire::JobAnswer &answer)
{
    switch (answer.outcome) {
    case wire::CallOutcome::Ok:
        if (call.kind == wire::CallKind::Query) {
            return jsonResponse(200, platform::encodeJobState(answer.state));
        }
        return jsonResponse(200, call.kind == wire::CallKind::CountWaiting ? platform::encodeWaitingCount(answer.waiting) : "{}");
    case wire::CallOutcome::Refused:
        return retryLaterResponse(503, "not accepted", std::max<std::int64_t>(1, (answer.retryAfterMs + 999) / 1000));
    case wire::CallOutcome::Missing:
        return errorResponse(410, "no such job");
    default:
        return errorResponse(504, "the fate of the call is not known");
    }
}

} // namespace

CellCallerApi::CellCallerApi(const cell::CellConfiguration &configuration, CallRelay &relay)
    : configuration_(configuration)
    , relay_(relay)
{
}

void CellCallerApi::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (configuration_.version == 0) {
        respond(retryLaterResponse(503, "no configuration yet", retryAfterSeconds));
        return;
    }
    const cell::Queue *queue = cell::findQueue(configuration_, hostOf(request), request.path);
    if (queue == nullptr) {
        logEvent(LogLevel::Info, "call.unrouted", {{"host", hostOf(request)}, {"path", request.path}, {"version", std::to_string(configuration_.version)}});
        respond(errorResponse(404, "no such queue"));
        return;
    }
    const auto account = configuration_.accountByKey.find(platform::accessKey(headerOf(request, "authorization")));
    if (!queue->isPublic && account == configuration_.accountByKey.end()) {
        logEvent(LogLevel::Info, "call.unauthorized", {{"queue", queue->name}, {"version", std::to_string(configuration_.version)}});
        respond(errorResponse(401, "unknown key"));
        return;
    }
    const std::string accountName = account == configuration_.accountByKey.end() ? std::string() : account->second;
    const std::string job = request.path.substr(queue->pathPrefix.size());
    wire::JobCall call;
    call.queue = queue->name;
    call.job = job;
    call.account = accountName;
    if (request.method == "GET" && job.empty()) {
        call.kind = wire::CallKind::CountWaiting;
    } else if (!isJobId(job)) {
        respond(errorResponse(request.method == "POST" ? 400 : 410, "not a job's id"));
        return;
    } else if (request.method == "POST") {
        submit(*queue, accountName, job, request, respond);
        return;
    } else if (request.method == "GET" || request.method == "DELETE") {
        call.kind = request.method == "GET" ? wire::CallKind::Query : wire::CallKind::Cancel;
    } else {
        respond(errorResponse(405, "the methods are GET, POST and DELETE"));
        return;
    }
    relay(std::move(call), request, respond);
}

void CellCallerApi::submit(
    const cell::Queue &queue, const std::string &account, const std::string &job, const HttpRequest &request, const HttpResponder &respond)
{
    Result<cell::JobSpec, platform::DocumentError> decoded = platform::decodeSubmission(request.body);
    if (!isOk(decoded) || request.body.size() > configuration_.maximumBodyBytes) {
        logEvent(
            LogLevel::Info, "job.refused", {{"job", job}, {"reason", isOk(decoded) ? "the body exceeds the configured maximum size" : error(decoded).detail}});
        respond(errorResponse(400, "not a job"));
        return;
    }
    cell::JobSpec &spec = value(decoded);
    spec.id = job;
    spec.queue = queue.name;
    spec.account = account;
    wire::JobCall call;
    call.kind = wire::CallKind::Submit;
    call.queue = queue.name;
    call.job = job;
    call.account = account;
    call.spec = cell::encodeSpec(spec);
    relay(std::move(call), request, respond);
}

void CellCallerApi::relay(wire::JobCall call, const HttpRequest &request, const HttpResponder &respond)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const Milliseconds allowed = std::max(Milliseconds(50), deadlineOf(request) - answerMargin);
    // The caller can send a refused submission to another entry at once. Other calls gain nothing from an early refusal, so they wait until the deadline.
    const Milliseconds sendTimeout = call.kind == wire::CallKind::Submit ? std::min(allowed, submitSendTimeout) : allowed;
    const wire::JobCall original = call;
    relay_.call(
        std::move(call), now, now + sendTimeout, now + allowed, [original, respond, now, version = configuration_.version](const RelayedAnswer &relayed) {
            HttpResponse response;
            switch (relayed.kind) {
            case RelayedAnswer::Kind::Answered:
                response = responseTo(original, relayed.answer);
                break;
            case RelayedAnswer::Kind::NotSent:
                response = retryLaterResponse(503, "no scheduler is reached", retryAfterSeconds);
                break;
            case RelayedAnswer::Kind::Unknown:
                response = errorResponse(504, "the fate of the call is not known");
                break;
            }
            const Milliseconds taken = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - now);
            logEvent(LogLevel::Info,
                "call.answered",
                {{"job", original.job},
                    {"call", std::to_string(original.kind)},
                    {"queue", original.queue},
                    {"status", std::to_string(response.status)},
                    {"state", relayed.answer.state},
                    {"version", std::to_string(version)},
                    {"took_ms", std::to_string(taken.count())}});
            respond(std::move(response));
        });
}

} // namespace knapweed
