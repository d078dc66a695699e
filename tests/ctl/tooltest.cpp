// Tests the interface of knapweedctl: the requests it sends, its output, and the exit codes that scripts rely on.

#include "tool/tool.h"
#include "tool/statustext.h"

#include "ctl/fakeentry.h"

#include <nlohmann/json.hpp>

#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

struct ToolRun
{
    ExitCode code = ExitCode::Success;
    std::string output;
    std::string errors;
};

ToolRun runWith(const std::map<std::string, std::string> &variables, const std::vector<std::string> &arguments, const std::string &input = "")
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream errors;
    ToolEnvironment environment {in, out, errors, [&](const std::string &name) {
                                     const std::map<std::string, std::string>::const_iterator found = variables.find(name);
                                     return found == variables.end() ? std::string() : found->second;
                                 }};
    const ExitCode code = runTool(arguments, environment);
    return {code, out.str(), errors.str()};
}

ToolRun runAgainst(const FakeEntry &entry, const std::vector<std::string> &arguments, const std::string &input = "")
{
    return runWith({{"KNAPWEED_ENTRY", toString(entry.address())}, {"KNAPWEED_TOKEN", "secret-token"}, {"USER", "rota-a"}}, arguments, input);
}

struct UsageCase
{
    std::vector<std::string> arguments;
    const char *error;
};

const std::vector<UsageCase> usageCases = {
    {{}, "found no command"},
    {{"frob"}, "found the unknown command frob"},
    {{"config"}, "found the unknown command config"},
    {{"--frob", "status"}, "--frob: unknown option"},
    {{"status", "--kind", "k"}, "--kind: unknown option"},
    {{"status", "more"}, "status: found 1 arguments, allowed is 0"},
    {{"job"}, "job: found 0 arguments, allowed is 1"},
    {{"job", "../x"}, "JOB: found ../x"},
    {{"job", "j-1", "--wait-ms", "soon"}, "--wait-ms: found soon, allowed is a whole number"},
    {{"job", "j-1", "--wait-ms", "-1"}, "--wait-ms: found less than 0"},
    {{"submit"}, "--kind: found nothing"},
    {{"submit", "--kind"}, "--kind: missing argument"},
    {{"submit", "--kind", "k", "--kind", "l"}, "--kind: found twice"},
    {{"submit", "--kind", "k", "--tasks", "2x"}, "--tasks: found 2x"},
    {{"submit", "--kind", "k", "--input", "a", "--input-file", "b"}, "--input: found with --input-file"},
    {{"submit", "--kind", "k", "--input-file", "no-such-file"}, "no-such-file: found no readable file"},
    {{"config", "set", "-"}, "--base: found nothing"},
    {{"config", "set", "--base", "1", "-"}, "-: (document): found no JSON"},
    {{"exception", "add", "--subject", "worker:w3", "--setting", "excluded", "--value", "true"}, "--reason: found nothing"},
    {{"exception", "add", "--subject", "worker:w3", "--setting", "excluded", "--value", "yes", "--reason", "r"}, "--value: found yes"},
    {{"exception", "add", "--subject", "worker:w3", "--setting", "excluded", "--value", "true", "--reason", "r", "--expires", "soon"}, "--expires: found soon"},
    {{"explain", "no-such-file"}, "no-such-file: found no readable file"},
    {{"status", "--token", "a", "--token-file", "b"}, "--token: found with --token-file"},
    {{"status", "--entry", "here"}, "--entry: found here, allowed is IP:PORT"},
    {{"status", "--timeout-ms", "0"}, "--timeout-ms: found less than 1"},
};

struct AnswerCase
{
    std::vector<std::string> arguments;
    HttpResponse answer;
    ExitCode code;
    const char *output;
    const char *errors;
};

HttpResponse finished(const std::string &outcome, const std::string &reason = "none")
{
    return jsonResponse(200, R"({"job":"j-1","state":"finished","outcome":")" + outcome + R"(","reason":")" + reason + R"(","detail":"","parts":[]})");
}

const std::vector<AnswerCase> answerCases = {
    {{"job", "j-1"}, finished("completed"), ExitCode::Success, "j-1 completed\n", ""},
    {{"job", "j-1"}, finished("failed", "worker_failed"), ExitCode::Refused, "j-1 failed, worker_failed\n", ""},
    {{"job", "j-1"}, finished("not_run"), ExitCode::Refused, "j-1 not_run\n", ""},
    {{"job", "j-1"}, finished("unknown"), ExitCode::Unknown, "j-1 unknown\n", ""},
    {{"job", "j-1"}, jsonResponse(200, R"({"job":"j-1","state":"queued"})"), ExitCode::Success, "j-1 queued\n", ""},
    {{"job", "j-1"}, jsonResponse(404, R"({"error":"not_found","detail":"no such job"})"), ExitCode::Refused, "", "knapweedctl: not_found: no such job\n"},
    {{"cancel", "j-1"}, finished("cancelled"), ExitCode::Success, "j-1 cancelled\n", ""},
    {{"cancel", "j-1"}, finished("completed"), ExitCode::Refused, "j-1 completed\n", ""},
    {{"submit", "--kind", "k"}, finished("completed"), ExitCode::Success, "j-1 completed\n", ""},
    {{"submit", "--kind", "k", "--no-wait"}, jsonResponse(202, R"({"job":"j-1","state":"queued"})"), ExitCode::Success, "j-1 queued\n", ""},
    {{"submit", "--kind", "k"},
        jsonResponse(400, R"({"error":"bad_request","detail":"tasks: found 0"})"),
        ExitCode::Usage,
        "",
        "knapweedctl: bad_request: tasks: found 0\n"},
    {{"submit", "--kind", "k"}, jsonResponse(413, R"({"error":"too_large","detail":"d"})"), ExitCode::Usage, "", "knapweedctl: too_large: d\n"},
    {{"submit", "--kind", "k"}, jsonResponse(401, R"({"error":"unauthorized","detail":"d"})"), ExitCode::Refused, "", "knapweedctl: unauthorized: d\n"},
    {{"submit", "--kind", "k"}, jsonResponse(503, R"({"error":"draining","detail":"d"})"), ExitCode::Refused, "", "knapweedctl: draining: d\n"},
    {{"submit", "--kind", "k"}, jsonResponse(503, "<html>"), ExitCode::Refused, "", "knapweedctl: status 503: \n"},
    {{"submit", "--kind", "k"},
        jsonResponse(409, R"({"error":7,"lines":[1,{"a":2}]})"),
        ExitCode::Refused,
        "",
        "knapweedctl: 7: 1\nknapweedctl: 7: {\"a\":2}\n"},
    {{"job", "j-1", "--json"}, jsonResponse(200, R"({"state":"running","job":"j-1"})"), ExitCode::Success, "{\"job\":\"j-1\",\"state\":\"running\"}\n", ""},
    {{"config", "get"},
        jsonResponse(200, R"({"version":7,"author":"rota-b","configuration":{"accounts":{}}})"),
        ExitCode::Success,
        "{\n  \"accounts\": {}\n}\n",
        "version 7 by rota-b\n"},
    {{"config", "history"},
        jsonResponse(200, R"({"versions":[{"version":1,"author":"rota-a","change":"c-1"},{"version":2,"author":"b","change":""}]})"),
        ExitCode::Success,
        "VERSION  AUTHOR  CHANGE\n1        rota-a  c-1\n2        b       -\n",
        ""},
    {{"exception", "list"},
        jsonResponse(200,
            R"({"version":1,"configuration":{"exceptions":[{"id":"x1","subject":"worker:w3","setting":"excluded","value":true,"reason":"fan","author":"a"}]}})"),
        ExitCode::Success,
        "ID  SUBJECT    SETTING   VALUE  AUTHOR  ADDED  EXPIRES  REASON\nx1  worker:w3  excluded  true   a       -      -        fan\n",
        ""},
};

HttpResponse configurationAnswer(int version)
{
    const nlohmann::json body = {
        {"version", version},
        {"author", "rota-b"},
        {"configuration", {{"accounts", {{"a", {{"token", "token-of-a"}}}}}}},
    };
    return jsonResponse(200, body.dump());
}

const HttpResponse staleAnswer = jsonResponse(409, R"({"error":"stale_base_version","detail":"version 8 by rota-c","version":8,"author":"rota-c"})");

} // namespace

TEST_GROUP(Tool) {};

TEST(Tool, reportsInvalidArguments)
{
    for (const UsageCase &usage : usageCases) {
        const ToolRun run = runWith({{"KNAPWEED_ENTRY", "127.0.0.1:1"}, {"KNAPWEED_TOKEN", "secret-token"}, {"USER", "rota-a"}}, usage.arguments);
        LONGS_EQUAL_TEXT(static_cast<int>(ExitCode::Usage), static_cast<int>(run.code), usage.error);
        STRCMP_CONTAINS(usage.error, run.errors.c_str());
        STRCMP_EQUAL("", run.output.c_str());
    }
}

TEST(Tool, requiresAnEntryAndAToken)
{
    STRCMP_CONTAINS("--entry: found nothing", runWith({}, {"status"}).errors.c_str());
    STRCMP_CONTAINS("--token-file: found nothing", runWith({{"KNAPWEED_ENTRY", "127.0.0.1:1"}}, {"status"}).errors.c_str());
}

TEST(Tool, reportsWhenNothingWasChanged)
{
    const ToolRun run = runWith({{"KNAPWEED_ENTRY", "127.0.0.1:1"}, {"KNAPWEED_TOKEN", "secret-token"}}, {"submit", "--kind", "k"});

    LONGS_EQUAL(static_cast<int>(ExitCode::Unreachable), static_cast<int>(run.code));
    STRCMP_CONTAINS("nothing was changed", run.errors.c_str());
}

TEST(Tool, reportsAnUnknownOutcomeWhenTheAnswerIsLost)
{
    FakeEntry entry;
    entry.enqueueResponse({0, {}, {}});
    const ToolRun run = runAgainst(entry, {"submit", "--kind", "k", "--timeout-ms", "200"});

    LONGS_EQUAL(static_cast<int>(ExitCode::Unknown), static_cast<int>(run.code));
    STRCMP_CONTAINS("may have taken effect", run.errors.c_str());
}

TEST(Tool, mapsAnswersToTextAndExitCodes)
{
    FakeEntry entry;
    for (const AnswerCase &answer : answerCases) {
        entry.enqueueResponse(answer.answer);
        const ToolRun run = runAgainst(entry, answer.arguments);
        STRCMP_EQUAL(answer.output, run.output.c_str());
        STRCMP_EQUAL(answer.errors, run.errors.c_str());
        LONGS_EQUAL_TEXT(static_cast<int>(answer.code), static_cast<int>(run.code), answer.output);
    }
}

TEST(Tool, sendsAllFieldsOfAJob)
{
    FakeEntry entry;
    entry.enqueueResponse(finished("completed"));
    runAgainst(entry,
        {"--json",
            "submit",
            "--kind",
            "k",
            "--tasks",
            "2",
            "--accelerators",
            "4",
            "--processors",
            "3",
            "--memory-mib",
            "5",
            "--adjacency",
            "rack",
            "--not-repeatable",
            "--checkpointable",
            "--urgent",
            "--run-ms",
            "6",
            "--deadline-ms",
            "7",
            "--input-file",
            "-",
            "--key",
            "order-1",
            "--no-wait"},
        "crew 17");

    const HttpRequest request = entry.requests().at(0);
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/v1/jobs", request.path.c_str());
    STRCMP_EQUAL("Bearer secret-token", request.headers.at("authorization").c_str());
    STRCMP_EQUAL("order-1", request.headers.at("idempotency-key").c_str());
    STRCMP_EQUAL("respond-async", request.headers.at("prefer").c_str());
    const nlohmann::json expected = nlohmann::json::parse(R"({"kind":"k","tasks":2,"accelerators_per_task":4,"processors_per_task":3,
        "memory_mib_per_task":5,"adjacency":"rack","repeatable":false,"checkpointable":true,"urgent":true,"declared_run_ms":6,"deadline_ms":7,
        "input":"crew 17"})");
    STRCMP_EQUAL(expected.dump().c_str(), nlohmann::json::parse(request.body).dump().c_str());
}

TEST(Tool, checksLengthAndDigestOfOutputs)
{
    FakeEntry entry;
    const std::string intact = R"({"worker":"w1","output":"","length":0,"digest":"2d06800538d394c2"})"; // XXH3 of empty input, as published with the algorithm
    const std::string truncated = R"({"worker":"w1","output":"","length":4,"digest":"2d06800538d394c2"})";
    const std::string altered = R"({"worker":"w1","output":"other","length":5,"digest":"2d06800538d394c2"})";
    for (const std::string &part : {intact, truncated, altered}) {
        entry.enqueueResponse(jsonResponse(200, R"({"job":"j-1","state":"finished","outcome":"completed","reason":"none","parts":[)" + part + "]}"));
        const ToolRun run = runAgainst(entry, {"job", "j-1"});
        LONGS_EQUAL_TEXT(static_cast<int>(part == intact ? ExitCode::Success : ExitCode::Unknown), static_cast<int>(run.code), part.c_str());
    }
}

TEST(Tool, sendsAConfigurationWithItsBaseVersion)
{
    FakeEntry entry;
    entry.enqueueResponse(jsonResponse(200, R"({"version":8})"));
    const ToolRun run = runAgainst(entry, {"config", "set", "--base", "7", "--change", "c-1234567", "-"}, R"({"accounts":{}})");

    LONGS_EQUAL(static_cast<int>(ExitCode::Success), static_cast<int>(run.code));
    STRCMP_EQUAL("version 8 accepted\n", run.output.c_str());
    const HttpRequest request = entry.requests().at(0);
    STRCMP_EQUAL("PUT", request.method.c_str());
    STRCMP_EQUAL(R"({"author":"rota-a","base_version":7,"change":"c-1234567","configuration":{"accounts":{}}})", request.body.c_str());
}

TEST(Tool, reportsAStaleBaseVersion)
{
    FakeEntry entry;
    entry.enqueueResponse(staleAnswer);
    const ToolRun run = runAgainst(entry, {"config", "set", "--base", "7", "-"}, "{}");

    LONGS_EQUAL(static_cast<int>(ExitCode::StaleBase), static_cast<int>(run.code));
    STRCMP_EQUAL("knapweedctl: stale_base_version: version 8 by rota-c\n", run.errors.c_str());
}

TEST(Tool, looksUpAChangeInTheHistoryWhenItsAnswerIsLost)
{
    FakeEntry entry;
    for (const HttpResponse &lost : {HttpResponse {0, {}, {}}, jsonResponse(504, R"({"error":"unknown","detail":"late"})")}) {
        entry.enqueueResponse(lost);
        entry.enqueueResponse(jsonResponse(200, R"({"versions":[{"version":8,"author":"rota-a","change":"c-1234567"}]})"));
        const ToolRun found = runAgainst(entry, {"config", "set", "--base", "7", "--change", "c-1234567", "--timeout-ms", "200", "-"}, "{}");
        LONGS_EQUAL(static_cast<int>(ExitCode::Success), static_cast<int>(found.code));

        entry.enqueueResponse(lost);
        entry.enqueueResponse(jsonResponse(200, R"({"versions":[]})"));
        const ToolRun missing = runAgainst(entry, {"config", "set", "--base", "7", "--change", "c-1234567", "--timeout-ms", "200", "-"}, "{}");
        LONGS_EQUAL(static_cast<int>(ExitCode::Unknown), static_cast<int>(missing.code));
        STRCMP_CONTAINS("look for change c-1234567", missing.errors.c_str());
    }
}

TEST(Tool, retriesAnExceptionAfterAConcurrentChange)
{
    FakeEntry entry;
    entry.enqueueResponse(configurationAnswer(7));
    entry.enqueueResponse(staleAnswer);
    entry.enqueueResponse(configurationAnswer(8));
    entry.enqueueResponse(jsonResponse(200, R"({"version":9})"));
    const ToolRun run = runAgainst(
        entry, {"exception", "add", "--subject", "account:a", "--setting", "queued_limit", "--value", "2000", "--reason", "fitting week", "--id", "x1"});

    LONGS_EQUAL(static_cast<int>(ExitCode::Success), static_cast<int>(run.code));
    const nlohmann::json sent = nlohmann::json::parse(entry.requests().at(3).body);
    LONGS_EQUAL(8, sent["base_version"].get<int>());
    const nlohmann::json exception = sent["configuration"]["exceptions"][0];
    STRCMP_EQUAL("fitting week", exception["reason"].get<std::string>().c_str());
    STRCMP_EQUAL("rota-a", exception["author"].get<std::string>().c_str());
    LONGS_EQUAL(2000, exception["value"].get<int>());
}

TEST(Tool, rejectsAnInvalidException)
{
    FakeEntry entry;
    entry.enqueueResponse(configurationAnswer(7));
    const ToolRun unknownAccount = runAgainst(entry, {"exception", "add", "--subject", "account:b", "--setting", "weight", "--value", "2", "--reason", "r"});
    LONGS_EQUAL(static_cast<int>(ExitCode::Usage), static_cast<int>(unknownAccount.code));
    STRCMP_CONTAINS("exceptions[0].subject: found \"account:b\"", unknownAccount.errors.c_str());

    entry.enqueueResponse(configurationAnswer(7));
    const ToolRun unknownId = runAgainst(entry, {"exception", "remove", "x9"});
    LONGS_EQUAL(static_cast<int>(ExitCode::Usage), static_cast<int>(unknownId.code));
    LONGS_EQUAL(2, entry.requests().size());
}

TEST(Tool, printsHelp)
{
    STRCMP_CONTAINS("Exit codes:", runWith({}, {"--help"}).output.c_str());
    for (const std::vector<std::string> &command : std::vector<std::vector<std::string>> {{"submit"},
             {"job"},
             {"cancel"},
             {"config", "get"},
             {"config", "set"},
             {"config", "history"},
             {"exception", "add"},
             {"exception", "remove"},
             {"exception", "list"},
             {"status"}}) {
        std::vector<std::string> arguments = command;
        arguments.emplace_back("--help");
        const ToolRun run = runWith({}, arguments);
        LONGS_EQUAL(static_cast<int>(ExitCode::Success), static_cast<int>(run.code));
        STRCMP_CONTAINS("Examples:", run.output.c_str());
    }
}

TEST(Tool, formatsStatusWithMissingOrInvalidMembers)
{
    const WallTime now = std::chrono::system_clock::now();
    for (const char *text : {"{}", R"({"accounts":7,"workers":[1,null,{}],"configuration":[],"log":"x","exceptions":[{"added_at":5}]})"}) {
        STRCMP_CONTAINS("Configuration: version -", formatStatus(nlohmann::json::parse(text), now).c_str());
    }
    STRCMP_EQUAL("119s", formatAge(Seconds(119)).c_str());
    STRCMP_EQUAL("2m", formatAge(Seconds(120)).c_str());
    STRCMP_EQUAL("47h", formatAge(Seconds(47 * 3600 + 3599)).c_str());
    STRCMP_EQUAL("2d", formatAge(Seconds(48 * 3600)).c_str());
}
