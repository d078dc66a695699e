// Tests the operators' configuration interface with a simulated log and simulated timers.

#include "operators/operatorapi.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

const char *const token = "secret-operators";

/// An entry with its fold, and a log whose records are delivered by calls of read().
struct Entry
{
    ConfigurationFold fold;
    std::vector<ConfigurationRecord> appended;
    std::vector<std::function<void()>> timers;
    bool acceptsAppends = true;
    std::vector<std::string> checkFaults;
    OperatorApi api;

    Entry()
        : api(fold, {token, Milliseconds(100)}, hooks())
    {
    }

    OperatorApiHooks hooks()
    {
        return {
            [this](const ConfigurationRecord &record) {
                if (acceptsAppends) {
                    appended.push_back(record);
                }
                return acceptsAppends;
            },
            [this](Milliseconds, std::function<void()> callback) {
                timers.push_back(std::move(callback));
            },
            [this](const Configuration &) {
                return checkFaults;
            },
        };
    }

    void read(std::int64_t offset, const ConfigurationRecord &record)
    {
        api.recordApplied(record, fold.apply(offset, record));
    }

    void passTimeout()
    {
        for (const std::function<void()> &timer : timers) {
            timer();
        }
        timers.clear();
    }
};

/// The response to one request, when it has arrived, and the number of responses.
struct Answer
{
    std::optional<HttpResponse> response;
    int count = 0;

    int status() const
    {
        return response ? response->status : 0;
    }

    nlohmann::json body() const
    {
        return nlohmann::json::parse(response->body);
    }
};

HttpRequest request(const std::string &method, const std::string &path, const std::string &body = "")
{
    HttpRequest made;
    made.method = method;
    made.path = path;
    made.headers["authorization"] = std::string("Bearer ") + token;
    made.body = body;
    return made;
}

HttpRequest put(std::int64_t base, int queuedLimit, const std::string &author = "rota-a", const std::string &change = "")
{
    nlohmann::json body = {{"base_version", base}, {"author", author}};
    body["configuration"]["accounts"]["a"] = {{"token", "token-of-a"}, {"queued_limit", queuedLimit}};
    if (!change.empty()) {
        body["change"] = change;
    }
    return request("PUT", "/v1/configuration", body.dump());
}

void send(Entry &entry, const HttpRequest &made, Answer &answer)
{
    CHECK(entry.api.handle(made, [&answer](HttpResponse response) {
        answer.response = std::move(response);
        ++answer.count;
    }));
}

Answer ask(Entry &entry, const HttpRequest &made)
{
    Answer answer;
    send(entry, made, answer);
    return answer;
}

struct RefusalCase
{
    const char *name;
    HttpRequest request;
    int status;
    const char *error;
    const char *detail; ///< text that the detail contains
};

const RefusalCase refusals[] = {
    {"no JSON", request("PUT", "/v1/configuration", "{"), 400, "bad_request", "found no JSON at byte 2"},
    {"not an object", request("PUT", "/v1/configuration", "[]"), 400, "bad_request", "(document): found []"},
    {"unknown field",
        request("PUT", "/v1/configuration", R"({"base_version":0,"author":"a","configuration":{},"x":1})"),
        400,
        "bad_request",
        "unknown key \"x\""},
    {"no base", request("PUT", "/v1/configuration", R"({"author":"a","configuration":{}})"), 400, "bad_request", "base_version: found nothing"},
    {"base of text",
        request("PUT", "/v1/configuration", R"({"base_version":"0","author":"a","configuration":{}})"),
        400,
        "bad_request",
        "base_version: found \"0\""},
    {"base too large",
        request("PUT", "/v1/configuration", R"({"base_version":9223372036854775807,"author":"a","configuration":{}})"),
        400,
        "bad_request",
        "base_version: found 9223372036854775807"},
    {"no author", request("PUT", "/v1/configuration", R"({"base_version":0,"configuration":{}})"), 400, "bad_request", "author: found nothing"},
    {"no configuration", request("PUT", "/v1/configuration", R"({"base_version":0,"author":"a"})"), 400, "bad_request", "configuration: found nothing"},
    {"bad configuration",
        request("PUT", "/v1/configuration", R"({"base_version":0,"author":"a","configuration":{"accounts":{"a":{}}}})"),
        422,
        "invalid_configuration",
        "accounts.a.token: found nothing"},
    {"wrong method", request("DELETE", "/v1/configuration"), 405, "method_not_allowed", "GET or PUT"},
    {"history is read only", request("PUT", "/v1/configuration/history"), 405, "method_not_allowed", "GET"},
};

} // namespace

TEST_GROUP(OperatorApi) {};

TEST(OperatorApi, ignoresOtherPaths)
{
    Entry entry;
    for (const char *path : {"/v1/jobs", "/v1/configuration/", "/v1/configurations", "/v1/status"}) {
        CHECK(!entry.api.handle(request("GET", path), [](const HttpResponse &) {
            FAIL("answered");
        }));
    }
}

TEST(OperatorApi, requiresTheOperatorsToken)
{
    Entry entry;
    for (const char *header : {"", "Bearer ", "Bearer secret", "Bearer secret-operators2", "Basic secret-operators", "secret-operators", "Bearer token-of-a"}) {
        HttpRequest made = put(0, 1);
        made.headers["authorization"] = header;
        LONGS_EQUAL_TEXT(401, ask(entry, made).status(), header);
        made = request("GET", "/v1/configuration");
        made.headers["authorization"] = header;
        const Answer answer = ask(entry, made);
        LONGS_EQUAL_TEXT(401, answer.status(), header);
        CHECK(answer.response->body.find(token) == std::string::npos);
    }
    LONGS_EQUAL(0, entry.appended.size());
}

TEST(OperatorApi, refusesInvalidChangesAndAppendsNothing)
{
    Entry entry;
    for (const RefusalCase &refusal : refusals) {
        const Answer answer = ask(entry, refusal.request);
        LONGS_EQUAL_TEXT(refusal.status, answer.status(), refusal.name);
        STRCMP_EQUAL_TEXT(refusal.error, answer.body()["error"].get<std::string>().c_str(), refusal.name);
        STRCMP_CONTAINS_TEXT(refusal.detail, answer.body()["detail"].get<std::string>().c_str(), refusal.name);
    }
    LONGS_EQUAL(0, entry.appended.size());
    LONGS_EQUAL(0, entry.fold.version());
}

TEST(OperatorApi, respondsToAChangeOnlyAfterReadingItBack)
{
    Entry entry;
    Answer answer;
    send(entry, put(0, 10), answer);
    LONGS_EQUAL(0, answer.count);
    LONGS_EQUAL(0, ask(entry, request("GET", "/v1/configuration")).body()["version"].get<int>());

    entry.read(0, entry.appended.at(0));

    LONGS_EQUAL(200, answer.status());
    LONGS_EQUAL(1, answer.body()["version"].get<int>());
    const nlohmann::json read = ask(entry, request("GET", "/v1/configuration")).body();
    LONGS_EQUAL(1, read["version"].get<int>());
    STRCMP_EQUAL("rota-a", read["author"].get<std::string>().c_str());
    STRCMP_EQUAL("token-of-a", read["configuration"]["accounts"]["a"]["token"].get<std::string>().c_str());
    const nlohmann::json history = ask(entry, request("GET", "/v1/configuration/history")).body();
    STRCMP_EQUAL(entry.appended.at(0).changeId.c_str(), history["versions"][0]["change"].get<std::string>().c_str());
}

TEST(OperatorApi, namesTheWinnerOfARaceInTheStaleResponse)
{
    Entry west;
    Entry east;
    Answer first;
    Answer second;
    send(west, put(0, 10, "rota-a"), first);
    send(east, put(0, 20, "rota-b"), second);
    const std::vector<ConfigurationRecord> log {east.appended.at(0), west.appended.at(0)};
    for (std::size_t i = 0; i < log.size(); ++i) {
        west.read(static_cast<std::int64_t>(i), log[i]);
        east.read(static_cast<std::int64_t>(i), log[i]);
    }

    LONGS_EQUAL(200, second.status());
    LONGS_EQUAL(409, first.status());
    STRCMP_EQUAL("stale_base_version", first.body()["error"].get<std::string>().c_str());
    STRCMP_EQUAL("rota-b", first.body()["author"].get<std::string>().c_str());
    LONGS_EQUAL(1, first.body()["version"].get<int>());
    STRCMP_EQUAL(west.fold.current().document.c_str(), east.fold.current().document.c_str());
}

TEST(OperatorApi, refusesAnOldBaseWithoutAnAppend)
{
    Entry entry;
    Answer answer;
    send(entry, put(0, 10), answer);
    entry.read(0, entry.appended.at(0));

    LONGS_EQUAL(409, ask(entry, put(0, 11)).status());
    LONGS_EQUAL(1, entry.appended.size());
}

TEST(OperatorApi, respondsOnceWhenTheRecordAppearsTwice)
{
    Entry entry;
    Answer answer;
    send(entry, put(0, 10), answer);
    entry.read(0, entry.appended.at(0));
    entry.read(1, entry.appended.at(0));
    entry.passTimeout();

    LONGS_EQUAL(1, answer.count);
    LONGS_EQUAL(200, answer.status());
}

TEST(OperatorApi, returnsUnknownAfterATimeoutAndRecognizesARetry)
{
    Entry entry;
    Answer answer;
    send(entry, put(0, 10, "rota-a", "change-1"), answer);
    entry.passTimeout();
    LONGS_EQUAL(504, answer.status());
    STRCMP_EQUAL("unknown", answer.body()["error"].get<std::string>().c_str());
    STRCMP_EQUAL("change-1", answer.body()["change"].get<std::string>().c_str());

    Answer retry;
    send(entry, put(0, 10, "rota-a", "change-1"), retry);
    entry.read(0, entry.appended.at(0));
    entry.read(1, entry.appended.at(1));

    LONGS_EQUAL(200, retry.status());
    LONGS_EQUAL(1, answer.count);
    LONGS_EQUAL(200, ask(entry, put(0, 10, "rota-a", "change-1")).status());
    LONGS_EQUAL(422, ask(entry, put(0, 11, "rota-a", "change-1")).status());
    LONGS_EQUAL(1, entry.fold.version());
    LONGS_EQUAL(0, entry.api.pendingChanges());
}

TEST(OperatorApi, returnsUnavailableWhenNothingCanBeAppended)
{
    Entry entry;
    entry.acceptsAppends = false;

    LONGS_EQUAL(503, ask(entry, put(0, 10)).status());
    LONGS_EQUAL(0, entry.api.pendingChanges());
}

TEST(OperatorApi, findsAChangeEvaluatedThroughASnapshot)
{
    Entry entry;
    entry.fold.skipTo(50);
    Answer answer;
    send(entry, put(7, 10), answer);
    entry.read(50, entry.appended.at(0));
    LONGS_EQUAL(0, answer.count);

    SnapshotRecord snapshot;
    snapshot.configurationVersion = 7;
    snapshot.configurationDocument = "{}";
    snapshot.throughOffset = 50;
    entry.fold.apply(51, snapshot);
    entry.passTimeout();

    LONGS_EQUAL(200, answer.status());
    LONGS_EQUAL(8, answer.body()["version"].get<int>());
}

TEST(OperatorApi, refusesConfigurationsThatFailTheCheck)
{
    Entry entry;
    entry.checkFaults = {"accounts.a.guarantee: found 9 workers of 8, allowed is 8 workers of 8", "second"};
    const Answer answer = ask(entry, put(0, 10));

    LONGS_EQUAL(422, answer.status());
    LONGS_EQUAL(2, answer.body()["lines"].size());
    LONGS_EQUAL(0, entry.appended.size());
}
