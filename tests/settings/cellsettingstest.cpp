// Settings of a cell process: the templates render to valid settings, each fault gives one line, and the reference page agrees with the code.

#include "cell/settings.h"
#include "documentation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

nlohmann::json entryCell()
{
    return nlohmann::json::parse(R"({"role":"entry","name":"front-1","region":"west","failure_domain":"west-a","ip":"10.1.0.19","peer_port":7000,
        "metrics_port":7001,"seeds":["10.1.0.19:8526","10.2.0.35:8526","10.2.0.35:8526"],"store":"10.200.1.7:8524","lease_ms":6000,"grace_s":6,
        "callers":"10.1.0.19:8521","readiness":"10.1.0.19:8523"})");
}

std::string cellFaults(const nlohmann::json &settings)
{
    const Result<CellSettings, SettingsError> parsed = parseCellSettings(settings.dump());
    std::string lines;
    if (!isOk(parsed)) {
        for (const std::string &line : error(parsed).lines) {
            lines += line + '\n';
        }
    }
    return lines;
}

/// Renders a template with one value for each placeholder.
std::string rendered(std::string text)
{
    const std::pair<const char *, const char *> values[] = {{"{{nodeName|json}}", "\"n\""},
        {"{{region|json}}", "\"r\""},
        {"{{zone|json}}", "\"z\""},
        {"{{ip|json}}", "\"10.1.0.19\""},
        {"{{portRange.0}}", "7000"},
        {"{{portRange.1}}", "7001"},
        {"{{seeds|json}}", "[\"10.1.0.19:8526\"]"},
        {"{{platform.address|json}}", "\"10.200.1.7:8524\""},
        {"{{bounds.holdMaxMs}}", "6000"},
        {"{{bounds.graceS}}", "6"},
        {"{{bounds.configApplyMs}}", "3000"},
        {"{{bounds.evacuateMs|json}}", "5000"},
        {"{{bounds.stopMs|json}}", "900"},
        {"{{bounds.reclaimMs|json}}", "null"},
        {"{{limits.cpuShare}}", "0.25"},
        {"{{limits.memoryMb|json}}", "160"},
        {"{{limits.maxFds|json}}", "4100"},
        {"{{listen.front|json}}", "\"10.1.0.19:8521\""},
        {"{{listen.readiness|json}}", "\"10.1.0.19:8523\""},
        {"{{listen.control|json}}", "\"10.1.0.20:8526\""},
        {"{{advice|json}}", "null"},
        {"{{app|json}}", "\"10.1.0.20:8529\""},
        {"{{service|json}}", "\"tailoring\""}};
    for (const auto &[placeholder, value] : values) {
        for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, std::string(placeholder).size(), value);
        }
    }
    return text;
}

} // namespace

TEST_GROUP(CellSettings) {};

TEST(CellSettings, templatesRenderToValidSettings)
{
    for (const char *file : {"deploy/entry.json", "deploy/agent.json"}) {
        const Result<CellSettings, SettingsError> parsed = parseCellSettings(rendered(readSourceFile(file)));
        CHECK_TEXT(isOk(parsed), file);
    }
}

TEST(CellSettings, serviceOfTheEndpointIsANameOrMissing)
{
    nlohmann::json settings = nlohmann::json::parse(rendered(readSourceFile("deploy/agent.json")));
    STRCMP_EQUAL("tailoring", value(parseCellSettings(settings.dump())).service.c_str());
    settings["service"] = nullptr;
    STRCMP_EQUAL("", value(parseCellSettings(settings.dump())).service.c_str());
    settings["service"] = 7;
    CHECK_TRUE(cellFaults(settings).find("service") != std::string::npos);
}

/// Guards against EVAC, and against a change for deployments without the bound: the template fills in a number, or null where there is no such bound.
TEST(CellSettings, evacuationsAreServedOnlyWhereTheirTimeIsSet)
{
    for (const char *file : {"deploy/entry.json", "deploy/agent.json"}) {
        nlohmann::json settings = nlohmann::json::parse(rendered(readSourceFile(file)));
        LONGS_EQUAL(5000, value(parseCellSettings(settings.dump())).evacuationApplyTime.value_or(Milliseconds(0)).count());
        settings["evacuation_apply_ms"] = nullptr;
        CHECK_FALSE(value(parseCellSettings(settings.dump())).evacuationApplyTime.has_value());
        settings.erase("evacuation_apply_ms");
        CHECK_FALSE(value(parseCellSettings(settings.dump())).evacuationApplyTime.has_value());
    }
}

// Guards against a process that doesn't start where the platform names no limits, or that doesn't see those that it names.
TEST(CellSettings, limitsOfTheMachineAreNumbersOrMissing)
{
    nlohmann::json settings = nlohmann::json::parse(rendered(readSourceFile("deploy/agent.json")));
    LONGS_EQUAL(160, value(parseCellSettings(settings.dump())).memoryMib);
    LONGS_EQUAL(4100, value(parseCellSettings(settings.dump())).maximumDescriptors);
    for (const char *key : {"memory_mb", "max_descriptors"}) {
        settings[key] = nullptr;
        CHECK_TRUE(isOk(parseCellSettings(settings.dump())));
        settings.erase(key);
    }
    LONGS_EQUAL(0, value(parseCellSettings(settings.dump())).memoryMib);
    LONGS_EQUAL(0, value(parseCellSettings(settings.dump())).maximumDescriptors);
}

TEST(CellSettings, loadPolicyIsOffUnlessItIsSetAndItsMechanismsCanBeSwitchedOff)
{
    nlohmann::json settings = entryCell();
    CHECK(value(parseCellSettings(settings.dump())).loadPolicy == LoadPolicyOptions());
    settings["load_policy"] = "worth,-reserve,-backfill";
    settings["stop_ms"] = 700;
    settings["reclaim_ms"] = nullptr;
    const LoadPolicyOptions options = value(parseCellSettings(settings.dump())).loadPolicy;
    CHECK(!options.reservesForUrgentWork && !options.reservesByPredictedEnds);
    CHECK(options.weighsVictims && options.waitsForRack);
    LONGS_EQUAL(700, options.stopTime.count());
    LONGS_EQUAL(LoadPolicyOptions().reclaimTime.count(), options.reclaimTime.count());
}

TEST(CellSettings, seedsGetThePeerPort)
{
    const Result<CellSettings, SettingsError> parsed = parseCellSettings(entryCell().dump());
    CHECK(isOk(parsed));
    LONGS_EQUAL(2, value(parsed).seeds.size());
    LONGS_EQUAL(7000, value(parsed).seeds.back().port);
    STRCMP_EQUAL("10.2.0.35", value(parsed).seeds.back().ip.c_str());
    LONGS_EQUAL(6000, value(parsed).grace.count());
}

TEST(CellSettings, listensForPeersAtTheAddressThatTheyUseUnlessAnotherOneIsSet)
{
    nlohmann::json settings = entryCell();
    STRCMP_EQUAL("10.1.0.19:7000", toString(value(parseCellSettings(settings.dump())).peerListen).c_str());
    settings["peer_listen"] = nullptr;
    STRCMP_EQUAL("10.1.0.19:7000", toString(value(parseCellSettings(settings.dump())).peerListen).c_str());
    settings["peer_listen"] = "10.1.0.20:7100";
    const CellSettings forwarded = value(parseCellSettings(settings.dump()));
    STRCMP_EQUAL("10.1.0.20:7100", toString(forwarded.peerListen).c_str());
    STRCMP_EQUAL("10.1.0.19:7000", toString(forwarded.peers).c_str());
}

TEST(CellSettings, eachFaultIsOneLine)
{
    struct Case
    {
        const char *key;
        const char *value;
    };
    const Case cases[] = {{"role", "\"other\""},
        {"ip", "\"host\""},
        {"peer_port", "0"},
        {"peer_listen", "\"10.1.0.19\""},
        {"evacuation_apply_ms", "999"},
        {"evacuation_apply_ms", "\"5000\""},
        {"peer_listen", "7"},
        {"store", "\"10.200.1.7\""},
        {"lease_ms", "10"},
        {"configuration_apply_ms", "499"},
        {"memory_mb", "31"},
        {"memory_mb", "\"160\""},
        {"max_descriptors", "127"},
        {"max_descriptors", "[]"},
        {"load_policy", "\"cheapest\""},
        {"load_policy", "\"worth,-everything\""},
        {"load_policy", "7"},
        {"stop_ms", "0"},
        {"reclaim_ms", "\"soon\""},
        {"seeds", "7"},
        {"seeds", "[\"10.1.0.19\"]"},
        {"callers", "\"somewhere:12345\""},
        {"unknown", "1"}};
    for (const Case &fault : cases) {
        nlohmann::json settings = entryCell();
        settings[fault.key] = nlohmann::json::parse(fault.value);
        const std::string lines = cellFaults(settings);
        CHECK_TEXT(lines.substr(0, lines.find('\n')).find(fault.key) != std::string::npos, lines.c_str());
    }
    CHECK(!cellFaults(nlohmann::json::array()).empty());
}

TEST(CellSettings, referencePageListsEveryKey)
{
    const std::vector<std::vector<std::string>> rows = tableRows(readSourceFile("docs/cell-settings.md"));
    std::size_t listed = 0;
    for (const FieldDescription &field : describeCellSettings()) {
        const auto row = std::find_if(rows.begin(), rows.end(), [&](const std::vector<std::string> &cells) {
            return cells.front() == '`' + field.path + '`';
        });
        CHECK_TEXT(row != rows.end(), field.path.c_str());
        STRCMP_EQUAL(field.allowed.c_str(), row->at(3).c_str());
        STRCMP_EQUAL((field.fallback.empty() ? std::string() : '`' + field.fallback + '`').c_str(), row->at(4).c_str());
        ++listed;
    }
    LONGS_EQUAL(rows.size() - 2, listed);
}
