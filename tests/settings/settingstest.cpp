// Contract of the settings: good ones are read whole, each fault gives one line with its path, and the reference page agrees with the code.

#include "base/settings.h"
#include "documentation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

nlohmann::json entrySettings()
{
    return nlohmann::json::parse(R"({"role":"entry","listen":{"ip":"127.0.0.1","port":7001},"region":"west","failure_domain":"west-1",
        "seeds":[{"ip":"127.0.0.1","port":7002}],"log_service":{"ip":"127.0.0.1","port":7100},"operator_token":"secret-operators"})");
}

nlohmann::json agentSettings()
{
    return nlohmann::json::parse(R"({"role":"agent","listen":{"ip":"127.0.0.1","port":7011},"region":"west","failure_domain":"west-1",
        "seeds":[{"ip":"127.0.0.1","port":7001}],"log_service":{"ip":"127.0.0.1","port":7100},
        "worker":{"id":"w1","ip":"127.0.0.1","port":7201,"rack":"r1","accelerators":8,"processors":130,"memory_mib":256000}})");
}

std::string faultsOf(const std::string &text)
{
    const Result<Settings, SettingsError> parsed = parseSettings(text);
    std::string lines;
    if (!isOk(parsed)) {
        for (const std::string &line : error(parsed).lines) {
            lines += line + '\n';
        }
    }
    return lines;
}

struct FaultCase
{
    const char *pointer; ///< JSON pointer of the field that is changed
    const char *value; ///< JSON text put there; null takes the field out
    const char *fault; ///< the whole of the report
};

std::string faultsOfChange(nlohmann::json settings, const FaultCase &fault)
{
    const nlohmann::json::json_pointer pointer(fault.pointer);
    if (fault.value == nullptr) {
        settings[pointer.parent_pointer()].erase(pointer.back());
    } else {
        settings[pointer] = nlohmann::json::parse(fault.value);
    }
    return faultsOf(settings.dump());
}

const FaultCase entryFaults[] = {
    {"/role", nullptr, "role: found nothing, allowed is one of agent entry\n"},
    {"/listen", nullptr, "listen: found nothing, allowed is a JSON object\n"},
    {"/listen", "7", "listen: found 7, allowed is a JSON object\n"},
    {"/listen/ip", R"("localhost")", "listen.ip: found \"localhost\", allowed is the IPv4 number of one host, such as 10.0.0.7\n"},
    {"/listen/ip", R"("0.0.0.0")", "listen.ip: found \"0.0.0.0\", allowed is the IPv4 number of one host, such as 10.0.0.7\n"},
    {"/listen/port", "65536", "listen.port: found 65536, allowed is a whole number from 0 to 65535\n"},
    {"/listen/port", "-1", "listen.port: found -1, allowed is a whole number from 0 to 65535\n"},
    {"/listen/port", "80.5", "listen.port: found 80.5, allowed is a whole number from 0 to 65535\n"},
    {"/listen/port", "18446744073709551615", "listen.port: found 18446744073709551615, allowed is a whole number from 0 to 65535\n"},
    {"/listen/host", "1", "listen: found the unknown key \"host\", allowed is one of ip port\n"},
    {"/region", R"("")", "region: found \"\", allowed is a name of 1 to 64 characters out of A-Z a-z 0-9 . _ -\n"},
    {"/region", R"("we st")", "region: found \"we st\", allowed is a name of 1 to 64 characters out of A-Z a-z 0-9 . _ -\n"},
    {"/seeds", "{}", "seeds: found {}, allowed is an array of 0 to 64 objects\n"},
    {"/seeds/0", R"("127.0.0.1:1")", "seeds[0]: found \"127.0.0.1:1\", allowed is a JSON object\n"},
    {"/seeds/1", R"({"ip":"127.0.0.1","port":7002})", "seeds[1]: found 127.0.0.1:7002, allowed is an address that differs from the other seeds\n"},
    {"/seeds/0/port", "0", "seeds[0].port: found 0, allowed is a whole number from 1 to 65535\n"},
    {"/log_service/port", "7001", "log_service: found 127.0.0.1:7001, allowed is an address that differs from listen\n"},
    {"/operator_token", nullptr, "operator_token: found nothing, allowed is a token of 8 to 256 visible ASCII characters\n"},
    {"/operator_token", R"("hush")", "operator_token: found a text of 4 bytes, allowed is a token of 8 to 256 visible ASCII characters\n"},
    {"/worker", "{}", "worker: found it in another role, allowed is this key only with role agent\n"},
    {"/endpoint_expiry_ms", "3000", "endpoint_expiry_ms: found it in another role, allowed is this key only with role agent\n"},
    {"/log_level", R"("loud")", "log_level: found \"loud\", allowed is one of debug error info warning\n"},
    {"/maximum_body_bytes", "1", "maximum_body_bytes: found 1, allowed is a whole number from 1024 to 16777216\n"},
};

const FaultCase agentFaults[] = {
    {"/operator_token", R"("secret-operators")", "operator_token: found it in another role, allowed is this key only with role entry\n"},
    {"/seeds", "[]", "seeds: found 0 elements, allowed is an array of 1 to 64 objects\n"},
    {"/worker", nullptr, "worker: found nothing, allowed is a JSON object\n"},
    {"/worker/accelerators", "0", "worker.accelerators: found 0, allowed is a whole number from 1 to 64\n"},
    {"/worker/port", "7011", "worker: found 127.0.0.1:7011, allowed is an address that differs from listen\n"},
    {"/endpoint_expiry_ms", "10001", "endpoint_expiry_ms: found 10001, allowed is a whole number from 200 to 10000\n"},
};

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, readsAnEntryWithItsDefaults)
{
    const Result<Settings, SettingsError> parsed = parseSettings(entrySettings().dump());

    CHECK(isOk(parsed));
    const Settings &settings = value(parsed);
    CHECK(settings.role == ProcessRole::Entry);
    STRCMP_EQUAL("127.0.0.1:7001", toString(settings.listen).c_str());
    STRCMP_EQUAL("127.0.0.1:7002", toString(settings.seeds.at(0)).c_str());
    STRCMP_EQUAL("secret-operators", settings.operatorToken.c_str());
    STRCMP_EQUAL("knapweedstage", settings.logStream.c_str());
    CHECK(settings.drainLimit == Milliseconds(30000));
}

TEST(Settings, readsAnAgent)
{
    const Result<Settings, SettingsError> parsed = parseSettings(agentSettings().dump());

    CHECK(isOk(parsed));
    const WorkerSettings &worker = value(parsed).worker;
    STRCMP_EQUAL("w1", worker.id.c_str());
    STRCMP_EQUAL("127.0.0.1:7201", toString(worker.address).c_str());
    LONGS_EQUAL(130, worker.processors);
    LONGS_EQUAL(256000, worker.memoryMib);
}

TEST(Settings, givesOneLineForEachFault)
{
    for (const FaultCase &fault : entryFaults) {
        STRCMP_EQUAL(fault.fault, faultsOfChange(entrySettings(), fault).c_str());
    }
    for (const FaultCase &fault : agentFaults) {
        STRCMP_EQUAL(fault.fault, faultsOfChange(agentSettings(), fault).c_str());
    }
}

TEST(Settings, reportsAllFaultsTogether)
{
    const std::string faults = faultsOf(R"({"role":"entry","colour":1})");

    LONGS_EQUAL(6, std::count(faults.begin(), faults.end(), '\n'));
}

TEST(Settings, refusesWhatIsNoSingleObject)
{
    STRCMP_EQUAL("(document): found no JSON at byte 1, allowed is one JSON object\n", faultsOf("").c_str());
    STRCMP_EQUAL("(document): found no JSON at byte 2, allowed is one JSON object\n", faultsOf("{").c_str());
    STRCMP_CONTAINS("(document): found [], allowed is a JSON object\n", faultsOf("[]").c_str());
    STRCMP_EQUAL("role: found the same name twice in one object, allowed is each name once\n", faultsOf(R"({"role":"entry","role":"agent"})").c_str());
    STRCMP_EQUAL("(document): found deeper nesting, allowed is at most 32 levels\n", faultsOf(std::string(100000, '[') + std::string(100000, ']')).c_str());
}

TEST(Settings, namesAFileThatCannotBeRead)
{
    const Result<Settings, SettingsError> read = readSettings("no-such-file.json");

    STRCMP_EQUAL("no-such-file.json: found no readable text, allowed is the name of a settings file", error(read).lines.at(0).c_str());
}

TEST(Settings, agreeWithTheirReferencePage)
{
    std::map<std::string, std::vector<std::string>> documented;
    for (const std::vector<std::string> &row : tableRows(readSourceFile("docs/settings.md"))) {
        documented[row.at(0)] = row;
    }

    std::size_t keys = 0;
    for (const FieldDescription &field : describeSettings()) {
        const std::vector<std::string> row = documented['`' + field.path + '`'];
        CHECK_TRUE_TEXT(row.size() == 6, field.path.c_str());
        STRCMP_EQUAL(field.allowed.c_str(), row.at(3).c_str());
        STRCMP_EQUAL(field.fallback.empty() ? "" : ('`' + field.fallback + '`').c_str(), row.at(4).c_str());
        CHECK_TRUE_TEXT(!row.at(5).empty(), field.path.c_str());
        ++keys;
    }
    LONGS_EQUAL(keys + 2, documented.size()); // the heading and the rule below it
}

TEST(Settings, examplesOfThePageAreGood)
{
    const std::vector<std::string> examples = fencedBlocks(readSourceFile("docs/settings.md"), "json");

    LONGS_EQUAL(2, examples.size());
    for (const std::string &example : examples) {
        STRCMP_EQUAL("", faultsOf(example).c_str());
    }
}
