// Checks the examples and tables of docs/interfaces/callers.md against the code that parses job requests.

#include "callers/jobrequest.h"
#include "documentation.h"

#include <nlohmann/json.hpp>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

const char *const page = "docs/interfaces/callers.md";

} // namespace

TEST_GROUP(CallersPage) {};

TEST(CallersPage, showsARequestThatTheEntryAccepts)
{
    const std::vector<std::string> examples = fencedBlocks(readSourceFile(page), "json");

    CHECK(isOk(parseJobRequest(examples.at(0))));
    for (const std::string &example : examples) {
        CHECK_TRUE_TEXT(nlohmann::json::parse(example, nullptr, false).is_object(), example.c_str());
    }
}

TEST(CallersPage, describesEveryKeyOfARequest)
{
    std::map<std::string, std::vector<std::string>> documented;
    for (const std::vector<std::string> &row : tableRows(readSourceFile(page))) {
        documented[row.at(0)] = row;
    }
    const nlohmann::json example = nlohmann::json::parse(fencedBlocks(readSourceFile(page), "json").at(0));
    for (const auto &[key, member] : example.items()) {
        LONGS_EQUAL_TEXT(5, documented['`' + key + '`'].size(), key.c_str());
    }
}

TEST(CallersPage, showsARefusalThatMatchesTheEntry)
{
    const Result<JobRequest, RequestError> refused = parseJobRequest(R"({"kind":"k","tasks":0})");
    const nlohmann::json example = nlohmann::json::parse(fencedBlocks(readSourceFile(page), "json").back());

    STRCMP_EQUAL(error(refused).code.c_str(), example["error"].get<std::string>().c_str());
    STRCMP_EQUAL(error(refused).field.c_str(), example["field"].get<std::string>().c_str());
    STRCMP_EQUAL(error(refused).detail.c_str(), example["detail"].get<std::string>().c_str());
}
