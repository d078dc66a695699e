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
constexpr Milliseconds checkTimeout {800}; ///< for the scheduler's answer on the configuration; lets one lost message be sent again
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
        return retryLaterResponse(503,
            call.kind == wire::CallKind::Submit ? "not accepted" : "the state of jobs is not known",
            std::max<std::int64_t>(1, (answer.retryAfterMs + 999) / 1000));
    case wire::CallOutcome::Missing:
        return errorResponse(410, "no such job");
    default:
        return errorResponse(504, "the fate of the call is not known");
    }
}

} // namespace

CellCallerApi::CellCallerApi(const cell::CellConfiguration &configuration, CallRelay &relay, std::function<bool()> isConfirmed)
    : configuration_(configuration)
    , isConfirmed_(std::move(isConfirmed))
    , relay_(relay)
{
}

void CellCallerApi::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (configuration_.version == 0) {
        respond(retryLaterResponse(503, "no configuration yet", retryAfterSeconds));
        return;
    }
    admit(std::make_shared<const OpenCall>(OpenCall {request, respond, std::chrono::steady_clock::now()}));
}

bool CellCallerApi::needsBody(const HttpRequest &request) const
{
    const cell::Queue *queue = request.method == "POST" ? cell::findQueue(configuration_, hostOf(request), request.path) : nullptr;
    return queue != nullptr && (queue->isPublic || configuration_.accountByKey.count(platform::accessKey(headerOf(request, "authorization"))) != 0);
}

void CellCallerApi::admit(const OpenCallPointer &open)
{
    const HttpRequest &request = open->request;
    const cell::Queue *queue = cell::findQueue(configuration_, hostOf(request), request.path);
    if (queue == nullptr) {
        logEvent(LogLevel::Info, "call.unrouted", {{"host", hostOf(request)}, {"path", request.path}, {"version", std::to_string(configuration_.version)}});
        refuse(open, errorResponse(404, "no such queue"));
        return;
    }
    const auto account = configuration_.accountByKey.find(platform::accessKey(headerOf(request, "authorization")));
    if (!queue->isPublic && account == configuration_.accountByKey.end()) {
        logEvent(LogLevel::Info, "call.unauthorized", {{"queue", queue->name}, {"version", std::to_string(configuration_.version)}});
        refuse(open, errorResponse(401, "unknown key"));
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
        logEvent(LogLevel::Info, "call.malformed", {{"method", request.method}, {"path", request.path}, {"queue", queue->name}});
        refuse(open, errorResponse(request.method == "POST" ? 400 : 410, "not a job's id"));
        return;
    } else if (request.method == "POST") {
        submit(*queue, accountName, job, open);
        return;
    } else if (request.method == "GET" || request.method == "DELETE") {
        call.kind = request.method == "GET" ? wire::CallKind::Query : wire::CallKind::Cancel;
    } else {
        open->respond(errorResponse(405, "the methods are GET, POST and DELETE"));
        return;
    }
    relay(std::move(call), open);
}

void CellCallerApi::submit(const cell::Queue &queue, const std::string &account, const std::string &job, const OpenCallPointer &open)
{
    const HttpRequest &request = open->request;
    if (request.isBodyDropped) {
        // The configuration that gives the request its queue came after the request.
        open->respond(retryLaterResponse(503, "not accepted", retryAfterSeconds));
        return;
    }
    const bool isTooLarge = request.body.size() > configuration_.maximumBodyBytes;
    Result<cell::JobSpec, platform::DocumentError> decoded = isTooLarge
        ? Result<cell::JobSpec, platform::DocumentError>(platform::DocumentError {"the body exceeds the configured maximum size"})
        : platform::decodeSubmission(request.body);
    if (!isOk(decoded)) {
        logEvent(LogLevel::Info, "job.refused", {{"job", job}, {"reason", error(decoded).detail}});
        open->respond(errorResponse(400, "not a job"));
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
    relay(std::move(call), open);
}

/// A refusal rests on this process's configuration alone. If the store has not confirmed that lately, the scheduler is asked first.
void CellCallerApi::refuse(const OpenCallPointer &open, HttpResponse response)
{
    if (isConfirmed_()) {
        open->respond(std::move(response));
        return;
    }
    wire::JobCall call;
    call.kind = wire::CallKind::CheckConfiguration;
    call.configurationVersion = configuration_.version;
    const MonotonicTime now = std::chrono::steady_clock::now();
    relay_.call(std::move(call), now, now + submitSendTimeout, now + checkTimeout, [this, open, response](const RelayedAnswer &relayed) {
        switch (relayed.kind) {
        case RelayedAnswer::Kind::Answered:
            if (relayed.answer.outcome == wire::CallOutcome::Refused) {
                open->respond(retryLaterResponse(503, "the configuration is not confirmed", retryAfterSeconds));
            } else {
                open->respond(response);
            }
            break;
        case RelayedAnswer::Kind::Outdated:
            admit(open);
            break;
        case RelayedAnswer::Kind::NotSent:
        case RelayedAnswer::Kind::Unknown:
            open->respond(retryLaterResponse(503, "the configuration is not confirmed", retryAfterSeconds));
            break;
        }
    });
}

void CellCallerApi::relay(wire::JobCall call, const OpenCallPointer &open)
{
    const Milliseconds allowed = std::max(Milliseconds(50), deadlineOf(open->request) - answerMargin);
    // The caller can send a refused submission to another entry at once. Other calls gain nothing from an early refusal, so they wait until the deadline.
    const Milliseconds sendTimeout = call.kind == wire::CallKind::Submit ? std::min(allowed, submitSendTimeout) : allowed;
    call.configurationVersion = configuration_.version;
    wire::JobCall original = call;
    original.spec.clear();
    const auto answered = [this, original, open](const RelayedAnswer &relayed) {
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
        case RelayedAnswer::Kind::Outdated:
            admit(open);
            return;
        }
        const Milliseconds taken = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - open->arrivedAt);
        logEvent(LogLevel::Info,
            "call.answered",
            {{"job", original.job},
                {"call", std::to_string(original.kind)},
                {"queue", original.queue},
                {"status", std::to_string(response.status)},
                {"state", relayed.answer.state},
                {"version", std::to_string(original.configurationVersion)},
                {"generation", std::to_string(relayed.answer.generation)},
                {"basis", relayed.answer.basis == wire::AnswerBasis::Record ? "record" : "memory"},
                {"took_ms", std::to_string(taken.count())}});
        open->respond(std::move(response));
    };
    relay_.call(std::move(call), std::chrono::steady_clock::now(), open->arrivedAt + sendTimeout, open->arrivedAt + allowed, answered);
}

} // namespace knapweed
