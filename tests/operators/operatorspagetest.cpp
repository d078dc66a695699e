// Tests that the page docs/interfaces/operators.md matches the code: its table of keys, and its examples of requests and responses.

#include "documentation.h"
#include "operators/configuration.h"
#include "operators/operatorapi.h"
#include "tool/statustext.h"

#include <nlohmann/json.hpp>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

const char *const page = "docs/interfaces/operators.md";

/// The page's JSON examples, in their order on the page.
enum Example { Answer, Change, History, Document, Status, ExampleCount };

std::string faultsOf(const std::string &document)
{
    const Result<Configuration, ConfigurationError> parsed = parseConfiguration(document);
    std::string lines;
    for (const std::string &line : isOk(parsed) ? std::vector<std::string>() : error(parsed).lines) {
        lines += line + '\n';
    }
    return lines;
}

} // namespace

TEST_GROUP(OperatorsPage) {};

TEST(OperatorsPage, describesEveryKeyOfTheConfiguration)
{
    std::map<std::string, std::vector<std::string>> documented;
    for (const std::vector<std::string> &row : tableRows(readSourceFile(page))) {
        documented[row.at(0)] = row;
    }
    for (const FieldDescription &field : describeConfiguration()) {
        const std::vector<std::string> row = documented['`' + field.path + '`'];
        CHECK_TRUE_TEXT(row.size() == 5, field.path.c_str());
        STRCMP_EQUAL(field.allowed.c_str(), row.at(2).c_str());
        STRCMP_EQUAL(field.fallback.empty() ? "" : ('`' + field.fallback + '`').c_str(), row.at(3).c_str());
        CHECK_TRUE_TEXT(!row.at(4).empty(), field.path.c_str());
    }
}

TEST(OperatorsPage, examplesMatchRequestsAndResponses)
{
    const std::vector<std::string> examples = fencedBlocks(readSourceFile(page), "json");
    LONGS_EQUAL(ExampleCount, examples.size());
    STRCMP_EQUAL("", faultsOf(examples[Document]).c_str());

    ConfigurationFold fold;
    std::vector<ConfigurationRecord> appended;
    OperatorApiHooks hooks;
    hooks.append = [&](const ConfigurationRecord &record) {
        appended.push_back(record);
        return true;
    };
    hooks.callAfter = [](Milliseconds, const std::function<void()> &) {};
    OperatorApi api(fold, {"secret-operators", Milliseconds(1)}, hooks);
    std::map<std::string, nlohmann::json> answers;
    const auto ask = [&](const std::string &method, const std::string &path, const std::string &body) {
        api.handle({method, path, {}, {{"authorization", "Bearer secret-operators"}}, body}, [&answers, method, path](const HttpResponse &response) {
            answers[method + ' ' + path] = nlohmann::json::parse(response.body);
        });
    };
    ask("PUT", "/v1/configuration", examples[Change]);
    LONGS_EQUAL(1, appended.size());
    appended[0].baseVersion = 0; // the base version of the example does not exist in this empty fold
    api.recordApplied(appended[0], fold.apply(0, appended[0]));
    ask("GET", "/v1/configuration", "");
    ask("GET", "/v1/configuration/history", "");

    const auto keysOf = [](const nlohmann::json &object) {
        std::string keys;
        for (const auto &[key, member] : object.items()) {
            keys += key + ' ';
        }
        return keys;
    };
    STRCMP_EQUAL(keysOf(nlohmann::json::parse(examples[Answer])).c_str(), keysOf(answers["GET /v1/configuration"]).c_str());
    const nlohmann::json history = nlohmann::json::parse(examples[History]);
    STRCMP_EQUAL(keysOf(history["versions"][0]).c_str(), keysOf(answers["GET /v1/configuration/history"]["versions"][0]).c_str());
}

TEST(OperatorsPage, toolShowsAllOfTheStatusExample)
{
    const std::string example = fencedBlocks(readSourceFile(page), "json").at(Status);
    const std::string text = formatStatus(nlohmann::json::parse(example), std::chrono::system_clock::now());

    for (const char *shown : {"127.0.0.1:7001", "kothari-fit", "version 7 by rota-b", "in force at 1 of 1", "fan broken, ticket 88", "reachable", "w1"}) {
        STRCMP_CONTAINS(shown, text.c_str());
    }
}
