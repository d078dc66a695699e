// Tests the check that the fleet has capacity for all guarantees at the same time.

#include "operators/guaranteecheck.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

/// Four workers of eight accelerators, two to a rack.
std::map<std::string, wire::AgentReport> fleet()
{
    std::map<std::string, wire::AgentReport> reports;
    for (int i = 0; i < 4; ++i) {
        wire::AgentReport report;
        report.agent = "127.0.0.1:" + std::to_string(7010 + i);
        report.worker = "w" + std::to_string(i);
        report.rack = "r" + std::to_string(i / 2);
        report.failureDomain = "west-1";
        report.region = "west";
        report.accelerators = 8;
        reports[report.agent] = report;
    }
    return reports;
}

using Guarantees = std::map<std::string, std::vector<GuaranteedShape>>;

Configuration configurationOf(const Guarantees &guarantees)
{
    Configuration configuration;
    for (const auto &[name, shapes] : guarantees) {
        configuration.accounts[name].name = name;
        configuration.accounts[name].guarantee = shapes;
    }
    return configuration;
}

struct FitCase
{
    const char *name;
    Guarantees guarantees;
    bool fits;
};

const FitCase fitCases[] = {
    {"no guarantees", {}, true},
    {"the whole fleet", {{"a", {{4, 8, wire::Adjacency::None}}}}, true},
    {"one accelerator more", {{"a", {{4, 8, wire::Adjacency::None}}}, {"b", {{1, 1, wire::Adjacency::None}}}}, false},
    {"a rack for each of two accounts", {{"a", {{2, 8, wire::Adjacency::Rack}}}, {"b", {{2, 8, wire::Adjacency::Rack}}}}, true},
    {"three racks of two", {{"a", {{2, 8, wire::Adjacency::Rack}, {2, 8, wire::Adjacency::Rack}}}, {"b", {{2, 4, wire::Adjacency::Rack}}}}, false},
    {"more accelerators than a worker has", {{"a", {{1, 9, wire::Adjacency::None}}}}, false},
    {"more accelerators than a rack has", {{"a", {{3, 8, wire::Adjacency::Rack}}}}, false},
    {"tasks for one worker that would need two", {{"a", {{3, 4, wire::Adjacency::Worker}}}}, false},
};

} // namespace

TEST_GROUP(GuaranteeCheck) {};

TEST(GuaranteeCheck, refusesGuaranteesThatExceedTheFleet)
{
    for (const FitCase &fit : fitCases) {
        const std::vector<std::string> lines = checkGuarantees({}, configurationOf(fit.guarantees), fleet());
        LONGS_EQUAL_TEXT(fit.fits ? 0 : 1, lines.size(), fit.name);
        if (!fit.fits) {
            STRCMP_CONTAINS_TEXT(".guarantee[", lines.front().c_str(), fit.name);
        }
    }
}

TEST(GuaranteeCheck, acceptsEverythingWithoutAFleet)
{
    LONGS_EQUAL(0, checkGuarantees({}, configurationOf({{"a", {{100, 8, wire::Adjacency::Rack}}}}), {}).size());
}

TEST(GuaranteeCheck, acceptsUnrelatedChangesWhenTheFleetHasShrunk)
{
    const Configuration current = configurationOf({{"a", {{5, 8, wire::Adjacency::None}}}, {"b", {{1, 8, wire::Adjacency::None}}}});
    Configuration next = current;
    next.accounts["a"].queuedLimit = 5;
    next.accounts["c"].name = "c";
    LONGS_EQUAL(0, checkGuarantees(current, next, fleet()).size());

    next.accounts.erase("b");
    LONGS_EQUAL(0, checkGuarantees(current, next, fleet()).size());

    next.accounts["c"].guarantee = {{1, 1, wire::Adjacency::None}};
    LONGS_EQUAL(1, checkGuarantees(current, next, fleet()).size());
}
