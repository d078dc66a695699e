// Decoding of the platform's documents: complete ones, ones with missing fields or fields of another type, and unreadable ones.

#include "documents.h"
#include "endpointcalls.h"
#include "fields.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::platform;

TEST_GROUP(PlatformDocuments) {};

TEST(PlatformDocuments, configurationGivesQueuesKeysAndGuarantees)
{
    const Result<cell::CellConfiguration, DocumentError> decoded = decodeConfiguration(R"({"version":7,"routes":[{"name":"r1","host":"h.example",
        "pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":3000,"sloMs":1000,"priority":1,"service":"s1","maxAttempts":4,"stretch":3.5,"public":false,
        "advice":{"decideMs":30,"eachMs":2,"validMs":3000}}],"services":[],"limits":{"maxBodyBytes":1000},
        "tenants":[{"name":"t1","apiKeys":["k1","k2"],"guaranteed":{"gpu":16}}],"newField":1})");
    CHECK(isOk(decoded));
    const cell::CellConfiguration &configuration = value(decoded);
    LONGS_EQUAL(7, configuration.version);
    LONGS_EQUAL(1, configuration.queues.size());
    const cell::Queue &queue = configuration.queues.front();
    STRCMP_EQUAL("s1", queue.service.c_str());
    LONGS_EQUAL(1, queue.priority);
    LONGS_EQUAL(4, queue.attempts);
    DOUBLES_EQUAL(3.5, queue.stretch, 0.001);
    LONGS_EQUAL(1000, queue.slack.count());
    CHECK(queue.advice.isRequired);
    LONGS_EQUAL(3000, queue.advice.validity.count());
    STRCMP_EQUAL("t1", configuration.accountByKey.at("k2").c_str());
    LONGS_EQUAL(16, cell::guaranteedAccelerators(configuration, "t1"));
    LONGS_EQUAL(1000, configuration.maximumBodyBytes);
}

TEST(PlatformDocuments, configurationWithoutAVersionIsRefused)
{
    CHECK(!isOk(decodeConfiguration("{}")));
    CHECK(!isOk(decodeConfiguration("not json")));
    CHECK(!isOk(decodeConfiguration(R"({"version":"7"})")));
    CHECK(isOk(decodeConfiguration(R"({"version":7,"routes":5,"tenants":[{"apiKeys":3}, 4]})")));
}

TEST(PlatformDocuments, submissionFieldsAreAllDecoded)
{
    const Result<cell::JobSpec, DocumentError> decoded = decodeSubmission(R"({"spec":"text","times":3,"firstMs":1000,"intervalMs":500,"steps":[
        {"count":4,"cpu":500,"memMb":256,"gpu":2,"estMs":900,"affinity":"r1-3","gang":true,"rackLocality":true,"requires":"a","antiAffinity":2,
         "speculative":true,"image":"i1"},
        {"cpu":2000,"dependsOn":[0],"checkpointing":true,"longRunning":true,"fills":true,"targetMs":40,"mayMiss":1}]})");
    CHECK(isOk(decoded));
    const cell::JobSpec &spec = value(decoded);
    STRCMP_EQUAL("text", spec.input.c_str());
    LONGS_EQUAL(3, spec.occurrences);
    LONGS_EQUAL(500, spec.interval.count());
    const cell::Step &first = spec.steps.at(0);
    LONGS_EQUAL(4, first.tasks);
    CHECK(first.needs == (cell::Resources {500, 256, 2}));
    LONGS_EQUAL(900, first.estimate.count());
    STRCMP_EQUAL("r1-3", first.dataRack.c_str());
    CHECK(first.isGang && first.prefersOneRack && first.maySpeculate);
    STRCMP_EQUAL("a", first.requiredLabel.c_str());
    LONGS_EQUAL(2, first.tasksPerEndpoint);
    STRCMP_EQUAL("i1", first.image.c_str());
    const cell::Step &second = spec.steps.at(1);
    LONGS_EQUAL(1, second.tasks);
    LONGS_EQUAL(0, second.after.at(0));
    CHECK(second.hasCheckpoints && second.isLongRunning && second.isFiller);
    LONGS_EQUAL(40, second.latencyTarget.count());
    LONGS_EQUAL(1, second.maxUnavailable);
}

TEST(PlatformDocuments, submissionsThatCanNeverRunAreRefused)
{
    CHECK(!isOk(decodeSubmission("")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x"})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[]})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{"dependsOn":[0]}]})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{},{"dependsOn":[-1]}]})")));
}

/// Each of these submissions would exhaust the scheduler's memory or need a record that exceeds the limit of the store.
TEST(PlatformDocuments, submissionsBeyondTheLimitsAreRefused)
{
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{"count":1000000000}]})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{"count":3000},{"count":3000}]})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{}],"times":2000000000,"firstMs":0,"intervalMs":0})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{}],"times":9000000000000000000})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{}],"times":2,"firstMs":9000000000000000000,"intervalMs":1})")));
    CHECK(!isOk(decodeSubmission(R"({"spec":"x","steps":[{}],"times":2,"firstMs":1,"intervalMs":-5})")));
    CHECK(isOk(decodeSubmission(R"({"spec":"x","steps":[{"count":230},{"count":230}],"times":6,"firstMs":1767225600000,"intervalMs":4500})")));
}

TEST(PlatformDocuments, documentsThatAreNotEndpointReportsAreRefused)
{
    const char *good = R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"draining","remainingMs":1500,"coldLeftMs":0,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"clockMs":5,"seq":4,"born":1779173895892})";
    const Result<cell::EndpointStatus, DocumentError> decoded = decodeEndpointStatus("i-1", good);
    CHECK(isOk(decoded));
    STRCMP_EQUAL("r1-3", value(decoded).rack.c_str());
    CHECK(value(decoded).isDraining);
    LONGS_EQUAL(1500, value(decoded).remaining.count());
    CHECK(value(decoded).incarnation == 1779173895892);
    CHECK(!isOk(decodeEndpointStatus("", good)));
    CHECK(!isOk(decodeEndpointStatus("i-1", R"({"service":"s1","state":"resting","seq":4})")));
    CHECK(!isOk(decodeEndpointStatus("i-1", R"({"service":7,"state":"ready","seq":4})")));
    CHECK(!isOk(decodeEndpointStatus("i-1", R"({"service":"s1","state":"ready","seq":"4"})")));
    CHECK(!isOk(decodeEndpointStatus("i-1", "\xff\xfe")));
}

namespace
{

const nlohmann::json completeReport = {{"service", "s1"},
    {"address", "10.0.0.1:80"},
    {"zone", "z"},
    {"version", "v1"},
    {"slots", 8},
    {"state", "draining"},
    {"remainingMs", 1500},
    {"coldLeftMs", 0},
    {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 8}}},
    {"labels", {"a", "r1-3"}},
    {"clockMs", 5},
    {"seq", 4},
    {"born", 1779173895892}};

bool isReport(const nlohmann::json &document)
{
    return isOk(decodeEndpointStatus("i-1", document.dump()));
}

/// The complete report with one more member, or another value of one, given as text.
std::string reportWithText(const std::string &name, const std::string &value)
{
    nlohmann::json report = completeReport;
    report.erase(name);
    const std::string text = report.dump();
    return text.substr(0, text.size() - 1) + ",\"" + name + "\":" + value + '}';
}

nlohmann::json reportWith(const std::string &pointer, const nlohmann::json &value)
{
    nlohmann::json report = completeReport;
    report[nlohmann::json::json_pointer(pointer)] = value;
    return report;
}

} // namespace

/// A report of another writer that is taken for one of the endpoint replaces its identity, its capacity or its notice period, and its runs are started
/// elsewhere.
TEST(PlatformDocuments, endpointReportsThatLackAFieldAreRefused)
{
    CHECK(isReport(completeReport));
    for (const char *name : {"service", "address", "zone", "version", "slots", "state", "remainingMs", "coldLeftMs", "capacity", "labels", "clockMs", "seq"}) {
        nlohmann::json report = completeReport;
        report.erase(name);
        CHECK_TEXT(!isReport(report), name);
    }
    for (const char *name : {"cpu", "memMb", "gpu"}) {
        nlohmann::json report = completeReport;
        report["capacity"].erase(name);
        CHECK_TEXT(!isReport(report), name);
    }
}

/// As endpointReportsThatLackAFieldAreRefused.
TEST(PlatformDocuments, endpointReportsWithAFieldOfAnotherTypeAreRefused)
{
    const nlohmann::json notText[] = {nullptr, true, 7, 1.5, nlohmann::json::array(), nlohmann::json::object(), ""};
    for (const char *pointer : {"/service", "/address", "/zone", "/version", "/state"}) {
        for (const nlohmann::json &other : notText) {
            const nlohmann::json report = reportWith(pointer, other);
            CHECK_TEXT(!isReport(report), report.dump().c_str());
        }
    }
    const nlohmann::json notCounts[] = {nullptr, true, "4", "", 1.5, 4.0, 1e300, -1, 18446744073709551615U, nlohmann::json::array(), nlohmann::json::object()};
    for (const char *pointer : {"/slots", "/remainingMs", "/coldLeftMs", "/capacity/cpu", "/capacity/memMb", "/capacity/gpu", "/clockMs", "/seq", "/born"}) {
        for (const nlohmann::json &other : notCounts) {
            const nlohmann::json report = reportWith(pointer, other);
            CHECK_TEXT(!isReport(report), report.dump().c_str());
        }
    }
    for (const nlohmann::json &other :
        {nlohmann::json(), nlohmann::json(7), nlohmann::json("a"), nlohmann::json::array(), nlohmann::json::array({16000, 32768, 8})}) {
        CHECK(!isReport(reportWith("/capacity", other)));
    }
    for (const nlohmann::json &other : {nlohmann::json(),
             nlohmann::json(7),
             nlohmann::json("a"),
             nlohmann::json::object(),
             nlohmann::json::array({"a", 7}),
             nlohmann::json::array({nullptr, "r1-3"})}) {
        CHECK(!isReport(reportWith("/labels", other)));
    }
}

TEST(PlatformDocuments, endpointReportsMayLackWhatThePlatformOmitsAndHaveMore)
{
    nlohmann::json report = completeReport;
    report.erase("born");
    report["newField"] = {{"a", 1}};
    CHECK(isReport(report));
    report["state"] = "ready";
    report.erase("remainingMs");
    CHECK(isReport(report));
    report["remainingMs"] = "1500";
    CHECK(!isReport(report));
}

/// Guards against processes that end by themselves: one deeply nested entry of another writer took down whoever read it.
TEST(PlatformDocuments, deeplyNestedDocumentsAreRefused)
{
    for (const std::size_t depth : {40, 1000, 400000}) {
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        const std::string report = reportWithText("extra", nested);
        CHECK(!isOk(decodeEndpointStatus("i-1", report)));
        CHECK(!isOk(decodeSubmission(R"({"steps":[{"count":1}],"extra":)" + nested + '}')));
        CHECK(!isOk(decodeConfiguration(R"({"version":7,"extra":)" + nested + '}')));
    }
    CHECK(isOk(decodeEndpointStatus("i-1", reportWithText("extra", "[[[{\"a\":[1]}]]]"))));
}

/// Guards against sums that overflow: a number that is too large was taken as a capacity or a time.
TEST(PlatformDocuments, endpointReportsWithANumberTooLargeAreRefused)
{
    for (const char *name : {"slots", "coldLeftMs", "clockMs", "seq", "born"}) {
        for (const char *number : {"9223372036854775807", "9007199254740993", "18446744073709551616", "1e300", "-1"}) {
            CHECK_TEXT(!isOk(decodeEndpointStatus("i-1", reportWithText(name, number))), (std::string(name) + ' ' + number).c_str());
        }
    }
    for (const char *capacity :
        {R"({"cpu":9223372036854775807,"memMb":1,"gpu":0})", R"({"cpu":1,"memMb":1000000000001,"gpu":0})", R"({"cpu":1,"memMb":1,"gpu":1e30})"}) {
        CHECK_TEXT(!isOk(decodeEndpointStatus("i-1", reportWithText("capacity", capacity))), capacity);
    }
}

TEST(PlatformDocuments, endpointReportsWithAnAddressOutOfRangeAreRefused)
{
    for (const char *address : {"\"10.128.0.9:99999\"", "\"10.128.0.9:0\"", "\"10.128.0.9:-1\"", "\"10.128.0.9\"", "\"10.128.0.9:8080x\""}) {
        CHECK_TEXT(!isOk(decodeEndpointStatus("i-1", reportWithText("address", address))), address);
    }
}

/// Guards against sums that overflow: a whole number written as a floating point number of any size was converted.
TEST(PlatformDocuments, numbersTooLargeInOtherDocumentsAreNotTaken)
{
    const Result<cell::JobSpec, DocumentError> spec =
        decodeSubmission(R"({"steps":[{"count":1,"cpu":1e300,"memMb":9223372036854775807,"gpu":2e18,"estMs":1e18}]})");
    CHECK(!isOk(spec));
    CHECK(!isOk(decodeConfiguration(R"({"version":1e300})")));
    CHECK(!isOk(decodeConfiguration(R"({"version":18446744073709551615})")));
}

TEST(PlatformDocuments, taskNamesAreEncodedAndParsed)
{
    const cell::TaskId task {"5c0e7a21d94b36f8", 3, 1, 17};
    STRCMP_EQUAL("5c0e7a21d94b36f8.3.1.17", taskName(task).c_str());
    cell::TaskId parsed;
    CHECK(parseTaskName(taskName(task), parsed));
    CHECK(parsed == task);
    for (const char *bad : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3", "a.1.2.-3"}) {
        CHECK(!parseTaskName(bad, parsed));
    }
}

TEST(PlatformDocuments, accessKeysFollowTheirScheme)
{
    STRCMP_EQUAL("abc", accessKey("Token abc").c_str());
    STRCMP_EQUAL("", accessKey("Bearer abc").c_str());
    STRCMP_EQUAL("", accessKey("").c_str());
}

// Guards against documents that take many times their size, and long to build, before they are refused; and against a refusal of legal ones.
TEST(PlatformDocuments, documentsOfVeryManyValuesAreNotBuilt)
{
    const auto listOf = [](const std::string &value, std::size_t count) {
        std::string list = value;
        for (std::size_t index = 1; index < count; ++index) {
            list += ',' + value;
        }
        return '[' + list + ']';
    };
    const auto isBuilt = [](const std::string &text) {
        return !parseForeignObject(text).is_null();
    };
    CHECK_FALSE(isBuilt("{\"steps\":" + listOf("{}", 85000) + '}'));
    CHECK_FALSE(isBuilt("{\"steps\":" + listOf("[]", 85000) + '}'));
    CHECK_FALSE(isBuilt("{\"steps\":" + listOf("1", 140000) + '}'));
    CHECK(isBuilt("{\"steps\":" + listOf("{\"dependsOn\":[0,1,2]}", 1000) + '}'));
    CHECK(isBuilt("{\"steps\":" + listOf("1", 130000) + '}'));
    // What stands in strings is no value.
    CHECK(isBuilt("{\"spec\":\"" + std::string(9000, '[') + "\\\"" + std::string(9000, '{') + "\"}"));
    CHECK(isOk(decodeSubmission("{\"steps\":" + listOf(R"({"count":4,"cpu":1000,"memMb":64,"gpu":1,"dependsOn":[]})", 1000) + '}')));
    CHECK(!isOk(decodeSubmission("{\"steps\":" + listOf("{}", 85000) + '}')));
}
