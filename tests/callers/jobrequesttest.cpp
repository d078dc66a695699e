// Checks which job requests the parser accepts, and the error code and field that it reports for invalid ones.

#include "callers/jobrequest.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace knapweed;

TEST_GROUP(JobRequest) {};

TEST(JobRequest, fillsInDefaults)
{
    const Result<JobRequest, RequestError> parsed = parseJobRequest(R"({"kind":"alteration-sheet"})");
    CHECK(isOk(parsed));
    const JobRequest &request = value(parsed);
    LONGS_EQUAL(1, request.spec.tasks);
    LONGS_EQUAL(1, request.spec.acceleratorsPerTask);
    CHECK(request.spec.repeatable);
    CHECK(!request.deadline.has_value());
}

TEST(JobRequest, refusesDeepNestingAndNamesGivenTwice)
{
    const std::string deep = R"({"kind":)" + std::string(500000, '[') + std::string(500000, ']') + "}";
    CHECK(!isOk(parseJobRequest(deep)));
    CHECK(!isOk(parseJobRequest(R"({"kind":"a","kind":"b"})")));
}

TEST(JobRequest, namesTheFieldAtFault)
{
    struct Case
    {
        std::string body;
        std::string code;
        std::string field;
    };
    const std::vector<Case> cases = {
        {"", "bad_json", ""},
        {"{", "bad_json", ""},
        {"[]", "bad_json", ""},
        {"{}", "missing_field", "kind"},
        {R"({"kind":""})", "bad_value", "kind"},
        {R"({"kind":"a b"})", "bad_value", "kind"},
        {R"({"kind":7})", "bad_value", "kind"},
        {R"({"kind":"k","task":1})", "unknown_field", "task"},
        {R"({"kind":"k","tasks":"1"})", "bad_value", "tasks"},
        {R"({"kind":"k","tasks":0})", "bad_value", "tasks"},
        {R"({"kind":"k","tasks":65})", "bad_value", "tasks"},
        {R"({"kind":"k","tasks":1.5})", "bad_value", "tasks"},
        {R"({"kind":"k","tasks":18446744073709551615})", "bad_value", "tasks"},
        {R"({"kind":"k","adjacency":"room"})", "bad_value", "adjacency"},
        {R"({"kind":"k","repeatable":1})", "bad_value", "repeatable"},
        {R"({"kind":"k","deadline_ms":0})", "bad_value", "deadline_ms"},
        {R"({"kind":"k","input":{}})", "bad_value", "input"},
    };
    for (const Case &fault : cases) {
        const Result<JobRequest, RequestError> parsed = parseJobRequest(fault.body);
        CHECK_TEXT(!isOk(parsed), fault.body.c_str());
        STRCMP_EQUAL_TEXT(fault.code.c_str(), error(parsed).code.c_str(), fault.body.c_str());
        STRCMP_EQUAL_TEXT(fault.field.c_str(), error(parsed).field.c_str(), fault.body.c_str());
        LONGS_EQUAL(400, error(parsed).status);
    }
}
