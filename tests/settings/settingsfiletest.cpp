// The settings file of a running process: new seeds are taken over, everything else is refused.

#include "cell/settingsfile.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP(SettingsFile)
{
    nlohmann::json document = nlohmann::json::parse(R"({"role":"agent","name":"side-1","region":"west","failure_domain":"west-a","ip":"10.1.0.20",
        "peer_port":7000,"metrics_port":7001,"seeds":["10.1.0.19:8526"],"store":"10.200.1.7:8524","lease_ms":6000,
        "endpoint_reports":"10.1.0.20:8526","endpoint":"10.1.0.20:8529"})");
    std::string name = "/tmp/knapweed-settings-XXXXXX";
    SettingsFile file;

    void setup() override
    {
        const int descriptor = mkstemp(name.data());
        CHECK(descriptor >= 0);
        close(descriptor);
        store(document.dump());
        const Result<CellSettings, SettingsError> read = readCellSettings(name);
        CHECK(isOk(read));
        file = {name, value(read), {}};
    }

    void teardown() override
    {
        std::remove(name.c_str());
    }

    void store(const std::string &text)
    {
        std::ofstream(name, std::ios::trunc) << text;
    }
};

/// Guards against LOST: a process that knew only entries that had left ignored the entries that its changed settings named.
TEST(SettingsFile, newSeedsAreTakenOver)
{
    CHECK_FALSE(rereadSettings(file));
    document["seeds"] = {"10.2.0.35:8526", "10.3.0.15:8526"};
    store(document.dump());
    CHECK(rereadSettings(file));
    const std::vector<Address> expected {{"10.2.0.35", 7000}, {"10.3.0.15", 7000}};
    CHECK(file.settings.seeds == expected);
    CHECK_FALSE(rereadSettings(file));
}

TEST(SettingsFile, settingsThatNeedARestartStayAsTheyAre)
{
    document["lease_ms"] = 9000;
    store(document.dump());
    CHECK_FALSE(rereadSettings(file));
    LONGS_EQUAL(6000, file.settings.lease.count());
}

/// The platform may be writing the file just now.
TEST(SettingsFile, incompleteFileChangesNothingUntilItIsComplete)
{
    document["seeds"] = {"10.2.0.35:8526"};
    const std::string text = document.dump();
    store(text.substr(0, text.size() / 2));
    CHECK_FALSE(rereadSettings(file));
    std::remove(name.c_str());
    CHECK_FALSE(rereadSettings(file));
    store(text);
    CHECK(rereadSettings(file));
}
