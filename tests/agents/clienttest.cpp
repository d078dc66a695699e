// Contract tests of the worker and endpoint clients: the HTTP request of each call, and the answer parsed from each response.

#include "endpoints/announcement.h"
#include "endpoints/endpointclient.h"
#include "gangs/attempt.h"
#include "workers/workerclient.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::gangs;

namespace
{

HttpResult answer(int status, const std::string &body)
{
    return HttpResponse {status, {}, body};
}

HttpResult failure(HttpError::Kind kind)
{
    return HttpError {kind, "connection reset"};
}

} // namespace

TEST_GROUP(WorkerClient) {};

TEST(WorkerClient, sendsEachCallAsSpecified)
{
    struct Case
    {
        WorkerCall::Kind kind;
        const char *method;
        const char *path;
        const char *body;
    };
    const Case cases[] = {
        {WorkerCall::Kind::List, "GET", "/v1/leases", ""},
        {WorkerCall::Kind::Grant, "PUT", "/v1/leases/j-1.7.1.0", R"({"accelerators":[0,3],"duration_ms":3000,"fence":9,"memory_mib":256,"processors":2})"},
        {WorkerCall::Kind::Start, "POST", "/v1/leases/j-1.7.1.0/start", R"({"fence":9})"},
        {WorkerCall::Kind::Checkpoint, "POST", "/v1/leases/j-1.7.1.0/checkpoint", R"({"fence":9})"},
        {WorkerCall::Kind::End, "DELETE", "/v1/leases/j-1.7.1.0?fence=9", ""},
    };
    for (const Case &each : cases) {
        WorkerCall call {each.kind, "j-1.7.1.0", 9, {0, 3}, 2, 256, Milliseconds(3000)};
        const HttpRequest request = workerRequest(call);
        STRCMP_EQUAL(each.method, request.method.c_str());
        STRCMP_EQUAL(each.path, request.path.c_str());
        STRCMP_EQUAL(each.body, request.body.c_str());
    }
}

TEST(WorkerClient, parsesEachAnswerAndRejectsInvalidOnes)
{
    using Status = WorkerAnswer::Status;
    struct Case
    {
        WorkerCall::Kind kind;
        HttpResult result;
        Status status;
    };
    const Case cases[] = {
        {WorkerCall::Kind::Grant, answer(200, R"({"lease":"x","remaining_ms":3000})"), Status::Ok},
        {WorkerCall::Kind::Grant, answer(409, R"({"error":"stale_fence"})"), Status::StaleFence},
        {WorkerCall::Kind::Grant, answer(409, R"({"error":"accelerator_taken"})"), Status::Taken},
        {WorkerCall::Kind::Grant, answer(409, R"({"error":"no_capacity"})"), Status::NoCapacity},
        {WorkerCall::Kind::Grant, answer(410, R"({"error":"lapsed"})"), Status::LeaseExpired},
        {WorkerCall::Kind::Grant, answer(500, "{}"), Status::Unreachable},
        {WorkerCall::Kind::Grant, answer(200, "not json"), Status::Unreachable},
        {WorkerCall::Kind::Grant, answer(409, "[]"), Status::Unreachable},
        {WorkerCall::Kind::Grant, failure(HttpError::Kind::NotSent), Status::Unreachable},
        {WorkerCall::Kind::Grant, failure(HttpError::Kind::Interrupted), Status::Unreachable},
        {WorkerCall::Kind::Grant, failure(HttpError::Kind::TimedOut), Status::Unreachable},
        {WorkerCall::Kind::Start, answer(200, "{}"), Status::Ok},
        {WorkerCall::Kind::Start, answer(500, R"({"error":"task_failed"})"), Status::TaskFailed},
        {WorkerCall::Kind::Start, answer(410, "{}"), Status::LeaseExpired},
        {WorkerCall::Kind::Checkpoint, answer(200, R"({"checkpointed":true})"), Status::Ok},
        {WorkerCall::Kind::Checkpoint, answer(200, R"({"checkpointed":false})"), Status::Unreachable},
        {WorkerCall::Kind::List, answer(200, R"({"leases":[{"lease":"x"}]})"), Status::Unreachable},
        {WorkerCall::Kind::List, answer(200, R"({"leases":7})"), Status::Unreachable},
        {WorkerCall::Kind::List, answer(200, R"({"leases":[],"highest_fence":"high"})"), Status::Unreachable},
    };
    for (const Case &each : cases) {
        WorkerCall call;
        call.kind = each.kind;
        call.lease = "x";
        const WorkerAnswer read = workerAnswer(call, each.result);
        CHECK(each.status == read.status);
        STRCMP_EQUAL("x", read.lease.c_str());
    }
}

TEST(WorkerClient, parsesTheListOfLeases)
{
    const WorkerAnswer read = workerAnswer(
        {}, answer(200, R"({"leases":[{"lease":"j-1.7.1.0","fence":4,"accelerators":[1,2],"started":true,"remaining_ms":900}],"highest_fence":12})"));
    CHECK(read.status == WorkerAnswer::Status::Ok);
    LONGS_EQUAL(12, read.highestFence);
    LONGS_EQUAL(1, read.leases.size());
    LONGS_EQUAL(4, read.leases.front().fence);
    LONGS_EQUAL(2, read.leases.front().accelerators.size());
    CHECK(read.leases.front().started);
    LONGS_EQUAL(900, read.leases.front().remaining.count());
}

TEST_GROUP(EndpointClient) {};

TEST(EndpointClient, sendsEachCallAsSpecified)
{
    struct Case
    {
        EndpointCall::Kind kind;
        const char *method;
        const char *path;
        const char *body;
    };
    const Case cases[] = {
        {EndpointCall::Kind::List, "GET", "/v1/parts", ""},
        {EndpointCall::Kind::Reserve, "PUT", "/v1/parts/j-1.7.1.0", R"({"input":"text","job":"j-1","kind":"render","lease_ms":3000})"},
        {EndpointCall::Kind::Start, "POST", "/v1/parts/j-1.7.1.0/start", R"({"lease_ms":3000,"wait_ms":1000})"},
        {EndpointCall::Kind::Watch, "GET", "/v1/parts/j-1.7.1.0?wait_ms=1000", ""},
        {EndpointCall::Kind::Renew, "POST", "/v1/parts/j-1.7.1.0/renew", R"({"lease_ms":3000})"},
        {EndpointCall::Kind::Stop, "DELETE", "/v1/parts/j-1.7.1.0", ""},
    };
    for (const Case &each : cases) {
        const EndpointCall call {each.kind, {"127.0.0.1", 9}, "j-1.7.1.0", "j-1", "render", "text", Milliseconds(3000), Milliseconds(1000)};
        const HttpRequest request = endpointRequest(call);
        STRCMP_EQUAL(each.method, request.method.c_str());
        STRCMP_EQUAL(each.path, request.path.c_str());
        STRCMP_EQUAL(each.body, request.body.c_str());
    }
}

TEST(EndpointClient, parsesEachAnswerAndRejectsInvalidOnes)
{
    using Status = EndpointAnswer::Status;
    struct Case
    {
        EndpointCall::Kind kind;
        HttpResult result;
        Status status;
        EndpointPartState state = EndpointPartState::Reserved;
        const char *output = "";
    };
    const Case cases[] = {
        {EndpointCall::Kind::Reserve, answer(200, "{}"), Status::Ok},
        {EndpointCall::Kind::Reserve, answer(503, R"({"error":"no_slot"})"), Status::NoSlot},
        {EndpointCall::Kind::Reserve, answer(410, "{}"), Status::LeaseExpired},
        {EndpointCall::Kind::Start, answer(200, R"({"state":"completed","output":"done"})"), Status::Ok, EndpointPartState::Completed, "done"},
        {EndpointCall::Kind::Start, answer(200, R"({"state":"running"})"), Status::Ok, EndpointPartState::Running},
        {EndpointCall::Kind::Start, answer(200, R"({"state":"failed","output":""})"), Status::Ok, EndpointPartState::Failed},
        {EndpointCall::Kind::Start, answer(200, R"({"state":"stopped","output":""})"), Status::Ok, EndpointPartState::Stopped},
        {EndpointCall::Kind::Start, answer(410, "{}"), Status::LeaseExpired},
        {EndpointCall::Kind::Start, answer(200, "{}"), Status::Unreachable},
        {EndpointCall::Kind::Start, answer(503, "{}"), Status::Unreachable},
        {EndpointCall::Kind::Start, answer(200, R"({"state":"completed","output":7})"), Status::Unreachable, EndpointPartState::Completed},
        {EndpointCall::Kind::Watch, answer(404, "{}"), Status::LeaseExpired},
        {EndpointCall::Kind::Watch, failure(HttpError::Kind::TimedOut), Status::Unreachable},
        {EndpointCall::Kind::Stop, answer(200, R"({"ever_started":true})"), Status::Ok},
        {EndpointCall::Kind::Stop, answer(200, "{}"), Status::Unreachable},
        {EndpointCall::Kind::List, answer(200, R"({"parts":[{"part":"x","state":"running"}]})"), Status::Ok},
        {EndpointCall::Kind::List, answer(200, R"({"parts":[{}]})"), Status::Unreachable},
    };
    for (const Case &each : cases) {
        EndpointCall call;
        call.kind = each.kind;
        const EndpointAnswer read = endpointAnswer(call, each.result);
        CHECK(each.status == read.status);
        CHECK(each.state == read.state);
        STRCMP_EQUAL(each.output, read.output.c_str());
    }
}

TEST_GROUP(Announcement) {};

TEST(Announcement, isParsedWhenEveryFieldIsValid)
{
    const Result<EndpointAnnouncement, AnnouncementError> parsed =
        parseAnnouncement(R"({"ip":"127.0.0.1","port":8080,"slots":8,"connections":60,"state":"ready"})");
    CHECK(isOk(parsed));
    LONGS_EQUAL(8, value(parsed).slots);
    LONGS_EQUAL(8080, value(parsed).address.port);
    CHECK(value(parsed).ready);
}

TEST(Announcement, namesTheInvalidField)
{
    struct Case
    {
        const char *body;
        const char *field;
    };
    const Case cases[] = {
        {"", ""},
        {"[]", ""},
        {"{", ""},
        {R"({"ip":"localhost","port":1,"slots":1,"state":"ready"})", "ip"},
        {R"({"ip":7,"port":1,"slots":1,"state":"ready"})", "ip"},
        {R"({"ip":"127.0.0.1","port":0,"slots":1,"state":"ready"})", "port"},
        {R"({"ip":"127.0.0.1","port":70000,"slots":1,"state":"ready"})", "port"},
        {R"({"ip":"127.0.0.1","port":"1","slots":1,"state":"ready"})", "port"},
        {R"({"ip":"127.0.0.1","port":1,"slots":-1,"state":"ready"})", "slots"},
        {R"({"ip":"127.0.0.1","port":1,"slots":99999999999,"state":"ready"})", "slots"},
        {R"({"ip":"127.0.0.1","port":1,"slots":1.5,"state":"ready"})", "slots"},
        {R"({"ip":"127.0.0.1","port":1,"slots":1,"state":"gone"})", "state"},
        {R"({"ip":"127.0.0.1","port":1,"slots":1})", "state"},
    };
    for (const Case &each : cases) {
        const Result<EndpointAnnouncement, AnnouncementError> parsed = parseAnnouncement(each.body);
        CHECK_TEXT(!isOk(parsed), each.body);
        STRCMP_EQUAL(each.field, error(parsed).field.c_str());
        CHECK(!error(parsed).detail.empty());
    }
}

TEST_GROUP(PartId) {};

TEST(PartId, isParsedBackAndRejectsInvalidIds)
{
    const PartKey key {{"j.with.dots", -7, 3}, 2};
    CHECK(parsePartId(partId(key)) == key);
    for (const char *text : {"", "j", "j.1.2", "j.1.2.x", "j..1.2", ".1.2.3", "j.1.2.99999999999"}) {
        CHECK_TEXT(!parsePartId(text), text);
    }
}
