// Runs the examples of the pages on the platform's interfaces against the stand-ins: each must be answered as its page says.

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

/// Times that pass between the example and its answer: only their type is compared.
const std::set<std::string> passingTimes = {"remaining_ms", "age_ms"};

void parseTarget(const std::string &target, HttpRequest &request)
{
    const std::size_t question = target.find('?');
    request.path = target.substr(0, question);
    std::istringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
        request.query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    }
}

/// "METHOD /path?query", the body unless it is a GET or DELETE, an empty line, the status, the answer's body.
Example parseExample(const std::string &block)
{
    Example example;
    const std::size_t middle = block.find("\n\n");
    std::istringstream asked(block.substr(0, middle));
    std::string target;
    asked >> example.request.method >> target;
    parseTarget(target, example.request);
    asked.ignore(1);
    std::getline(asked, example.request.body, '\0');
    std::istringstream answered(block.substr(middle));
    answered >> example.status;
    std::string body;
    std::getline(answered, body, '\0');
    example.answer = json::parse(body);
    return example;
}

/// Every member of the page's answer must be there; the real answer may have more.
bool agrees(const json &page, const json &real)
{
    if (page.is_array()) {
        return real.is_array() && page.size() == real.size() && std::equal(page.begin(), page.end(), real.begin(), agrees);
    }
    if (!page.is_object()) {
        return page == real;
    }
    for (const auto &member : page.items()) {
        if (!real.is_object() || !real.contains(member.key())) {
            return false;
        }
        const json &value = real.at(member.key());
        const bool isSame = passingTimes.count(member.key()) != 0 ? value.is_number_integer() : agrees(member.value(), value);
        if (!isSame) {
            return false;
        }
    }
    return true;
}

/// Asks for each example when the one before has been answered; all of it on the loop's thread.
void runExamples(EventLoop &loop, const HttpHandler &handler, const std::vector<Example> &examples, std::size_t place)
{
    if (place == examples.size()) {
        loop.stop();
        return;
    }
    handler(examples.at(place).request, [&loop, &handler, &examples, place](const HttpResponse &response) {
        const Example &example = examples.at(place);
        const std::string text = example.request.method + ' ' + example.request.path + " -> " + std::to_string(response.status) + ' ' + response.body;
        CHECK_EQUAL_TEXT(example.status, response.status, text.c_str());
        CHECK_TEXT(agrees(example.answer, json::parse(response.body)), text.c_str());
        loop.post([&loop, &handler, &examples, place] {
            runExamples(loop, handler, examples, place + 1);
        });
    });
}

template<typename Standin, typename Options>
void checkPage(const std::string &page, Options options, std::size_t leastExamples)
{
    std::vector<Example> examples;
    for (const std::string &block : fencedBlocks(readSourceFile(page), "http")) {
        examples.push_back(parseExample(block));
    }
    CHECK_TEXT(examples.size() >= leastExamples, page.c_str());
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

TEST(PlatformPages, logServiceAnswersAsItsPageSays)
{
    checkPage<standins::LogStandin>("docs/interfaces/logservice.md", standins::LogStandinOptions {}, 6);
}

TEST(PlatformPages, workerAnswersAsItsPageSays)
{
    checkPage<standins::WorkerStandin>("docs/interfaces/worker.md", standins::WorkerStandinOptions {}, 12);
}

TEST(PlatformPages, endpointAnswersAsItsPageSays)
{
    standins::EndpointStandinOptions options;
    options.slots = 2;
    checkPage<standins::EndpointStandin>("docs/interfaces/endpoint.md", options, 12);
}

TEST(PlatformPages, leaveNoMemberOfAnAnswerUnchecked)
{
    CHECK(agrees(json {{"a", 1}}, json {{"a", 1}, {"b", 2}}));
    CHECK_FALSE(agrees(json {{"a", 1}, {"b", 2}}, json {{"a", 1}}));
    CHECK_FALSE(agrees(json {{"a", {1, 2}}}, json {{"a", {1}}}));
    CHECK_FALSE(agrees(json {{"remaining_ms", 1}}, json {{"remaining_ms", "1"}}));
}
