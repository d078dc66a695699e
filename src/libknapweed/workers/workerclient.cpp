// Builds requests to the worker and parses its responses.

#include "workers/workerclient.h"

#include <nlohmann/json.hpp>

namespace knapweed
{

namespace
{

using Json = nlohmann::json;
using gangs::WorkerAnswer;
using gangs::WorkerCall;

WorkerAnswer::Status conflictStatus(const Json &body)
{
    const std::string code = body.value("error", "");
    if (code == "accelerator_taken") {
        return WorkerAnswer::Status::Taken;
    }
    return code == "no_capacity" ? WorkerAnswer::Status::NoCapacity : WorkerAnswer::Status::StaleFence;
}

void readLeases(const Json &body, WorkerAnswer &answer)
{
    answer.highestFence = body.value("highest_fence", std::int64_t(0));
    for (const Json &entry : body.at("leases")) {
        gangs::WorkerLease lease;
        lease.lease = entry.at("lease").get<std::string>();
        lease.fence = entry.at("fence").get<std::int64_t>();
        lease.accelerators = entry.at("accelerators").get<std::vector<std::int32_t>>();
        lease.started = entry.value("started", false);
        lease.remaining = Milliseconds(entry.value("remaining_ms", std::int64_t(0)));
        answer.leases.push_back(std::move(lease));
    }
}

void readAnswer(const HttpResponse &response, WorkerAnswer &answer)
{
    const Json body = response.body.empty() ? Json::object() : Json::parse(response.body);
    if (response.status == 200) {
        if (answer.kind == WorkerCall::Kind::List) {
            readLeases(body, answer);
        }
        // Unreachable makes the member repeat the call until the grace period ends, because the worker could not write the checkpoint yet.
        const bool written = answer.kind != WorkerCall::Kind::Checkpoint || body.value("checkpointed", true);
        answer.status = written ? WorkerAnswer::Status::Ok : WorkerAnswer::Status::Unreachable;
    } else if (response.status == 409) {
        answer.status = conflictStatus(body);
    } else if (response.status == 410 || response.status == 404) {
        answer.status = WorkerAnswer::Status::LeaseExpired;
    } else if (response.status == 500 && answer.kind == WorkerCall::Kind::Start) {
        answer.status = WorkerAnswer::Status::TaskFailed;
    }
}

} // namespace

HttpRequest workerRequest(const WorkerCall &call)
{
    const std::string lease = "/v1/leases/" + call.lease;
    HttpRequest request;
    request.method = "POST";
    request.headers["content-type"] = "application/json";
    switch (call.kind) {
    case WorkerCall::Kind::List:
        request.method = "GET";
        request.path = "/v1/leases";
        break;
    case WorkerCall::Kind::Grant:
        request.method = "PUT";
        request.path = lease;
        request.body = Json {{"fence", call.fence},
            {"accelerators", call.accelerators},
            {"processors", call.processors},
            {"memory_mib", call.memoryMib},
            {"duration_ms", call.duration.count()}}
                           .dump();
        break;
    case WorkerCall::Kind::Start:
        request.path = lease + "/start";
        request.body = Json {{"fence", call.fence}}.dump();
        break;
    case WorkerCall::Kind::Checkpoint:
        request.path = lease + "/checkpoint";
        request.body = Json {{"fence", call.fence}}.dump();
        break;
    case WorkerCall::Kind::End:
        request.method = "DELETE";
        request.path = lease + "?fence=" + std::to_string(call.fence);
        break;
    }
    return request;
}

WorkerAnswer workerAnswer(const WorkerCall &call, const HttpResult &result)
{
    WorkerAnswer answer;
    answer.kind = call.kind;
    answer.lease = call.lease;
    if (!isOk(result)) {
        return answer;
    }
    try {
        readAnswer(value(result), answer);
    } catch (const Json::exception &) {
        answer.status = WorkerAnswer::Status::Unreachable;
    }
    return answer;
}

WorkerClient::WorkerClient(HttpClient &http, Address worker, Milliseconds timeout)
    : http_(http)
    , worker_(std::move(worker))
    , timeout_(timeout)
{
}

void WorkerClient::perform(const WorkerCall &call, std::function<void(WorkerAnswer)> callback)
{
    const MonotonicTime sentAt = std::chrono::steady_clock::now();
    http_.send(worker_, workerRequest(call), timeout_, [call, sentAt, callback = std::move(callback)](const HttpResult &result) {
        WorkerAnswer answer = workerAnswer(call, result);
        answer.sentAt = sentAt;
        callback(std::move(answer));
    });
}

} // namespace knapweed
