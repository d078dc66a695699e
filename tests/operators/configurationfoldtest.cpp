// Tests the configuration fold under faults of the log and of peers: a change is a compare-and-set, and versions never decrease.

#include "operators/configurationfold.h"

#include <variant>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

using Verdict = ConfigurationFold::Verdict;

/// A well-formed document that is different for each @p queuedLimit.
std::string documentOf(int queuedLimit)
{
    return R"({"accounts":{"a":{"token":"token-of-a","queued_limit":)" + std::to_string(queuedLimit) + "}}}";
}

std::string canonical(int queuedLimit)
{
    return formatConfiguration(value(parseConfiguration(documentOf(queuedLimit))));
}

ConfigurationRecord change(std::int64_t base, int queuedLimit)
{
    return {base, "change-" + std::to_string(queuedLimit), "rota-a", documentOf(queuedLimit)};
}

SnapshotRecord snapshot(std::int64_t version, int queuedLimit, std::int64_t throughOffset)
{
    SnapshotRecord record;
    record.configurationVersion = version;
    record.configurationAuthor = "rota-a";
    record.configurationDocument = documentOf(queuedLimit);
    record.throughOffset = throughOffset;
    return record;
}

struct Offer
{
    std::int64_t version;
    int queuedLimit;
};

struct RecordsExpired
{
};

struct LogStep
{
    std::int64_t offset;
    std::variant<ConfigurationRecord, SnapshotRecord, Offer, RecordsExpired> input;
    Verdict verdict; ///< Accepted or Ignored for an offer
    std::int64_t version; ///< in force afterwards
    int queuedLimit; ///< of account a afterwards; -1 without an account
};

struct FaultCase
{
    const char *name;
    std::vector<LogStep> steps;
};

const std::vector<FaultCase> faultCases = {
    {"two operators race: the first in the log wins",
        {
            {0, change(0, 10), Verdict::Accepted, 1, 10},
            {1, change(1, 11), Verdict::Accepted, 2, 11},
            {2, change(1, 12), Verdict::Stale, 2, 11},
        }},
    {"an append takes effect twice because its acknowledgement is lost",
        {
            {0, change(0, 10), Verdict::Accepted, 1, 10},
            {1, change(0, 10), Verdict::Stale, 1, 10},
            {2, change(1, 11), Verdict::Accepted, 2, 11},
            {3, change(0, 10), Verdict::Stale, 2, 11},
        }},
    {"a base version that does not exist yet",
        {
            {0, change(4, 10), Verdict::Stale, 0, -1},
            {1, change(-1, 10), Verdict::Stale, 0, -1},
        }},
    {"an invalid document changes nothing, and the same base can be used again",
        {
            {0, ConfigurationRecord {0, "c", "a", "{"}, Verdict::Invalid, 0, -1},
            {1, ConfigurationRecord {0, "c", "a", R"({"accounts":{"a":{}}})"}, Verdict::Invalid, 0, -1},
            {2, change(0, 10), Verdict::Accepted, 1, 10},
        }},
    {"a process starts in an outage, adopts from a peer, and reads the old records later",
        {
            {0, Offer {3, 13}, Verdict::Accepted, 3, 13},
            {0, change(0, 11), Verdict::Accepted, 3, 13},
            {1, change(1, 12), Verdict::Accepted, 3, 13},
            {2, change(1, 99), Verdict::Stale, 3, 13},
            {3, change(2, 13), Verdict::Accepted, 3, 13},
            {4, change(3, 14), Verdict::Accepted, 4, 14},
        }},
    {"a peer offers an older configuration, the same one, and one that can't be read",
        {
            {0, change(0, 11), Verdict::Accepted, 1, 11},
            {1, change(1, 12), Verdict::Accepted, 2, 12},
            {0, Offer {1, 11}, Verdict::Ignored, 2, 12},
            {0, Offer {2, 99}, Verdict::Ignored, 2, 12},
            {0, Offer {0, -1}, Verdict::Ignored, 2, 12},
            {0, Offer {9, -5}, Verdict::Ignored, 2, 12},
        }},
    {"old records are read again",
        {
            {0, change(0, 11), Verdict::Accepted, 1, 11},
            {1, change(1, 12), Verdict::Accepted, 2, 12},
            {0, change(0, 11), Verdict::Ignored, 2, 12},
            {1, change(1, 12), Verdict::Ignored, 2, 12},
        }},
    {"records have expired and a snapshot is found",
        {
            {100, RecordsExpired {}, Verdict::Ignored, 0, -1},
            {100, snapshot(7, 17, 100), Verdict::Accepted, 7, 17},
            {101, change(6, 99), Verdict::Stale, 7, 17},
            {102, change(7, 18), Verdict::Accepted, 8, 18},
        }},
    {"changes before the first snapshot are evaluated when it is read",
        {
            {100, RecordsExpired {}, Verdict::Ignored, 0, -1},
            {100, change(7, 18), Verdict::Ignored, 0, -1},
            {101, change(7, 99), Verdict::Ignored, 0, -1},
            {102, snapshot(7, 17, 100), Verdict::Accepted, 8, 18},
            {103, change(8, 19), Verdict::Accepted, 9, 19},
        }},
    {"a change that was stale at its offset remains stale when a snapshot covers it",
        {
            {100, RecordsExpired {}, Verdict::Ignored, 0, -1},
            {100, change(8, 99), Verdict::Ignored, 0, -1},
            {101, change(7, 18), Verdict::Ignored, 0, -1},
            {102, snapshot(8, 18, 102), Verdict::Accepted, 8, 18},
            {103, change(8, 19), Verdict::Accepted, 9, 19},
        }},
    {"a snapshot that leaves a gap sets the configuration, but not the version at the log offset",
        {
            {100, RecordsExpired {}, Verdict::Ignored, 0, -1},
            {100, change(8, 99), Verdict::Ignored, 0, -1},
            {101, snapshot(7, 17, 98), Verdict::Accepted, 7, 17},
            {102, change(7, 98), Verdict::Ignored, 7, 17},
            {103, snapshot(9, 19, 100), Verdict::Accepted, 9, 19},
            {104, change(9, 20), Verdict::Accepted, 10, 20},
        }},
    {"late, duplicate or unreadable snapshots change nothing",
        {
            {0, change(0, 11), Verdict::Accepted, 1, 11},
            {1, change(1, 12), Verdict::Accepted, 2, 12},
            {2, snapshot(1, 11, 1), Verdict::Stale, 2, 12},
            {3, snapshot(2, 12, 2), Verdict::Stale, 2, 12},
            {4, snapshot(3, -5, 4), Verdict::Invalid, 2, 12},
            {5, change(2, 13), Verdict::Accepted, 3, 13},
        }},
    {"the first records of the log can't be read",
        {
            {3, change(0, 11), Verdict::Accepted, 1, 11},
            {5, change(1, 12), Verdict::Accepted, 2, 12},
        }},
    {"the follower loses records to expiry in the middle",
        {
            {0, change(0, 11), Verdict::Accepted, 1, 11},
            {50, RecordsExpired {}, Verdict::Ignored, 1, 11},
            {50, change(1, 99), Verdict::Ignored, 1, 11},
            {51, snapshot(5, 15, 50), Verdict::Accepted, 5, 15},
            {52, change(5, 16), Verdict::Accepted, 6, 16},
        }},
};

Verdict applyStep(ConfigurationFold &fold, const LogStep &step)
{
    if (const Offer *offer = std::get_if<Offer>(&step.input)) {
        return fold.adopt(offer->version, documentOf(offer->queuedLimit), "rota-a") ? Verdict::Accepted : Verdict::Ignored;
    }
    if (std::holds_alternative<RecordsExpired>(step.input)) {
        fold.skipTo(step.offset);
        return Verdict::Ignored;
    }
    if (const SnapshotRecord *record = std::get_if<SnapshotRecord>(&step.input)) {
        return fold.apply(step.offset, *record);
    }
    return fold.apply(step.offset, std::get<ConfigurationRecord>(step.input));
}

int queuedLimitOf(const Configuration &configuration)
{
    const std::map<std::string, ClientAccount>::const_iterator account = configuration.accounts.find("a");
    return account == configuration.accounts.end() ? -1 : account->second.queuedLimit;
}

} // namespace

TEST_GROUP(ConfigurationFold) {};

TEST(ConfigurationFold, handlesFaultsOfTheLogAndOfPeers)
{
    for (const FaultCase &fault : faultCases) {
        ConfigurationFold fold;
        for (std::size_t i = 0; i < fault.steps.size(); ++i) {
            const LogStep &step = fault.steps[i];
            const std::string where = std::string(fault.name) + ", step " + std::to_string(i);
            LONGS_EQUAL_TEXT(static_cast<int>(step.verdict), static_cast<int>(applyStep(fold, step)), where.c_str());
            LONGS_EQUAL_TEXT(step.version, fold.version(), where.c_str());
            LONGS_EQUAL_TEXT(step.queuedLimit, queuedLimitOf(fold.configuration()), where.c_str());
        }
    }
}

TEST(ConfigurationFold, startsWithTheEmptyConfiguration)
{
    const ConfigurationFold fold;

    LONGS_EQUAL(0, fold.version());
    CHECK(fold.isLogVersionKnown());
    STRCMP_EQUAL(formatConfiguration({}).c_str(), fold.current().document.c_str());
}

TEST(ConfigurationFold, snapshotsTheFoldedVersionAndNotTheAdoptedOne)
{
    ConfigurationFold fold;
    fold.apply(0, change(0, 11));
    fold.apply(3, change(1, 12));
    fold.adopt(5, documentOf(15), "rota-b");
    STRCMP_EQUAL("rota-b", fold.current().author.c_str());

    SnapshotRecord record;
    fold.fillSnapshot(record);

    LONGS_EQUAL(2, record.configurationVersion);
    LONGS_EQUAL(4, record.throughOffset);
    STRCMP_EQUAL(canonical(12).c_str(), record.configurationDocument.c_str());
}

TEST(ConfigurationFold, keepsAHistoryOfTheNewestVersions)
{
    ConfigurationFold fold;
    for (int i = 0; i < 150; ++i) {
        fold.apply(i, change(i, i + 1));
    }

    LONGS_EQUAL(100, fold.history().size());
    LONGS_EQUAL(51, fold.history().front().version);
    LONGS_EQUAL(150, fold.history().back().version);
    LONGS_EQUAL(150, fold.accepted("change-150")->version);
    POINTERS_EQUAL(nullptr, fold.accepted("change-1"));
}
