// Runs the examples in the documentation of the platform's interfaces against the stand-ins. Each response must agree with the documented one.

#include "base/eventloop.h"
#include "documentation.h"
#include "standins/endpointstandin.h"
#include "standins/logstandin.h"
#include "standins/workerstandin.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

using nlohmann::json;

struct Example
{
    HttpRequest request;
    int status = 0;
    json answer;
};

/// Fields that depend on the current time: only their type is compared.
const std::set<std::string> timeFields = {"remaining_ms", "age_ms"};

void parseTarget(const std::string &target, HttpRequest &request)
{
    const std::size_t question = target.find('?');
    request.path = target.substr(0, question);
    std::istringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
        request.query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    }
}

/// Parses an example: "METHOD /path?query", the body unless it is a GET or DELETE, an empty line, the status, and the body of the response.
Example parseExample(const std::string &block)
{
    Example example;
    const std::size_t middle = block.find("\n\n");
    std::istringstream requestText(block.substr(0, middle));
    std::string target;
    requestText >> example.request.method >> target;
    parseTarget(target, example.request);
    requestText.ignore(1);
    std::getline(requestText, example.request.body, '\0');
    std::istringstream responseText(block.substr(middle));
    responseText >> example.status;
    std::string body;
    std::getline(responseText, body, '\0');
    example.answer = json::parse(body);
    return example;
}

/// Whether every member of the documented response @p page is in the response @p actual, which may have more members.
bool agrees(const json &page, const json &actual)
{
    if (page.is_array()) {
        return actual.is_array() && page.size() == actual.size() && std::equal(page.begin(), page.end(), actual.begin(), agrees);
    }
    if (!page.is_object()) {
        return page == actual;
    }
    for (const auto &member : page.items()) {
        if (!actual.is_object() || !actual.contains(member.key())) {
            return false;
        }
        const json &value = actual.at(member.key());
        const bool isSame = timeFields.count(member.key()) != 0 ? value.is_number_integer() : agrees(member.value(), value);
        if (!isSame) {
            return false;
        }
    }
    return true;
}

/// Sends each example after the one before has been answered. Everything runs on the loop's thread.
void runExamples(EventLoop &loop, const HttpHandler &handler, const std::vector<Example> &examples, std::size_t index)
{
    if (index == examples.size()) {
        loop.stop();
        return;
    }
    handler(examples.at(index).request, [&loop, &handler, &examples, index](const HttpResponse &response) {
        const Example &example = examples.at(index);
        const std::string text = example.request.method + ' ' + example.request.path + " -> " + std::to_string(response.status) + ' ' + response.body;
        CHECK_EQUAL_TEXT(example.status, response.status, text.c_str());
        CHECK_TEXT(agrees(example.answer, json::parse(response.body)), text.c_str());
        loop.post([&loop, &handler, &examples, index] {
            runExamples(loop, handler, examples, index + 1);
        });
    });
}

template<typename Standin, typename Options>
void checkPage(const std::string &page, Options options, std::size_t minExamples)
{
    std::vector<Example> examples;
    for (const std::string &block : fencedBlocks(readSourceFile(page), "http")) {
        examples.push_back(parseExample(block));
    }
    CHECK_TEXT(examples.size() >= minExamples, page.c_str());
    EventLoop loop;
    Standin standin(loop, options);
    const HttpHandler handler = [&standin](const HttpRequest &request, const HttpResponder &respond) {
        standin.handle(request, respond);
    };
    loop.post([&loop, &handler, &examples] {
        runExamples(loop, handler, examples, 0);
    });
    loop.run();
}

} // namespace

TEST_GROUP(PlatformPages) {};

TEST(PlatformPages, logServiceAgreesWithItsPage)
{
    checkPage<standins::LogStandin>("docs/interfaces/logservice.md", standins::LogStandinOptions {}, 6);
}

TEST(PlatformPages, workerAgreesWithItsPage)
{
    checkPage<standins::WorkerStandin>("docs/interfaces/worker.md", standins::WorkerStandinOptions {}, 12);
}

TEST(PlatformPages, endpointAgreesWithItsPage)
{
    standins::EndpointStandinOptions options;
    options.slots = 2;
    checkPage<standins::EndpointStandin>("docs/interfaces/endpoint.md", options, 12);
}

TEST(PlatformPages, everyDocumentedMemberIsChecked)
{
    CHECK(agrees(json {{"a", 1}}, json {{"a", 1}, {"b", 2}}));
    CHECK_FALSE(agrees(json {{"a", 1}, {"b", 2}}, json {{"a", 1}}));
    CHECK_FALSE(agrees(json {{"a", {1, 2}}}, json {{"a", {1}}}));
    CHECK_FALSE(agrees(json {{"remaining_ms", 1}}, json {{"remaining_ms", "1"}}));
}
