// The log client with the simulated log service: every record accepted by append() is read back in order despite faults of the service.

#include "logtestbed.h"

#include <cstdint>
#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::test;

namespace
{

using nlohmann::json;

constexpr int appends = 200;

LogClientOptions optionsFor(const LogService &service)
{
    LogClientOptions options;
    options.service = service.address();
    options.requestTimeout = Milliseconds(300);
    options.followWait = Milliseconds(200);
    options.retryDelay = Milliseconds(10);
    options.maxRetryDelay = Milliseconds(100);
    options.batchLimit = 16;
    return options;
}

Record numbered(std::int64_t number)
{
    return ClaimRecord {"j", number, "127.0.0.1:1", number + 1};
}

std::int64_t numberOf(const Record &record)
{
    return std::get<ClaimRecord>(record).previousNonce;
}

/// True if the numbers, in the order in which each was first read, are 0, 1, 2 and so on up to @p count. Later duplicates are ignored.
bool hasReadAllInOrder(const Reader &reader, std::int64_t count)
{
    std::int64_t next = 0;
    for (const auto &[offset, record] : reader.records_) {
        const std::int64_t number = numberOf(record);
        if (number > next) {
            return false;
        }
        next += number == next ? 1 : 0;
    }
    return next == count;
}

bool hasIncreasingOffsets(const Reader &reader)
{
    std::int64_t last = -1;
    for (const auto &[offset, record] : reader.records_) {
        if (offset <= last) {
            return false;
        }
        last = offset;
    }
    return true;
}

struct FaultCase
{
    const char *name;
    json before; ///< faults set before the first append
    json during; ///< faults set when half of the appends have been queued
    json after; ///< faults set when all appends have been queued
};

} // namespace

TEST_GROUP(LogClient) {};

TEST(LogClient, readsBackEveryAppendInOrderUnderFaults)
{
    const std::vector<FaultCase> cases = {
        {"no fault", json::object(), json::object(), json::object()},
        {"lost acknowledgements", {{"lose_acknowledgements", 3}}, {{"lose_acknowledgements", 2}}, json::object()},
        {"down at first", {{"down", true}}, json::object(), {{"down", false}}},
        {"down during appends", json::object(), {{"down", true}}, {{"down", false}}},
        {"frozen during appends", json::object(), {{"freeze", true}}, {{"freeze", false}}},
        {"slow", {{"delay_ms", 50}}, json::object(), json::object()},
        {"slower than the timeout", json::object(), {{"delay_ms", 600}}, {{"delay_ms", 0}}},
        {"each append takes effect twice", {{"repeat_appends", 1000}}, json::object(), json::object()},
        {"too many appends", {{"appends_per_second", 20}}, json::object(), {{"appends_per_second", 1000}}},
        {"down and a lost acknowledgement", {{"lose_acknowledgements", 1}}, {{"down", true}}, {{"down", false}, {"lose_acknowledgements", 1}}},
    };
    for (const FaultCase &testCase : cases) {
        LogService service;
        Reader reader(optionsFor(service));
        service.setFaults(testCase.before);
        for (int number = 0; number < appends; ++number) {
            if (number == appends / 2) {
                service.setFaults(testCase.during);
            }
            CHECK(reader.client().append(numbered(number)));
        }
        service.setFaults(testCase.after);
        CHECK_TEXT(reader.waitUntil([](const Reader &state) {
            return hasReadAllInOrder(state, appends);
        }),
            testCase.name);
        CHECK_TEXT(reader.waitUntil(hasIncreasingOffsets), testCase.name);
    }
}

TEST(LogClient, readsTheWholeLogAndReportsCaughtUpOnce)
{
    LogService service({1000000, 1000000});
    for (int number = 0; number < 2500; ++number) {
        service.append({encodeRecord(numbered(number))});
    }
    Reader reader(optionsFor(service));
    CHECK(reader.waitForCatchingUp());
    CHECK(reader.waitUntil([](const Reader &state) {
        return state.records_.size() == 2500 && state.timesCaughtUp_ == 1;
    }));
}

TEST(LogClient, continuesFromTheOldestRecordWhenEarlierOnesHaveExpired)
{
    LogService service({10, 1000000});
    for (int number = 0; number < 30; ++number) {
        service.append({encodeRecord(numbered(number))});
    }
    Reader reader(optionsFor(service));
    CHECK(reader.waitForCatchingUp());
    CHECK(reader.waitUntil([](const Reader &state) {
        return state.records_.size() == 10 && state.records_.front().first == 20;
    }));
}

TEST(LogClient, reportsCaughtUpAgainWhenRecordsExpiredUnread)
{
    LogService service({10, 1000000});
    Reader reader(optionsFor(service));
    CHECK(reader.waitForCatchingUp());
    service.setFaults({{"down", true}});
    CHECK(reader.waitForReachability(false));
    std::vector<std::string> texts(30);
    for (std::size_t number = 0; number < texts.size(); ++number) {
        texts.at(number) = encodeRecord(numbered(static_cast<std::int64_t>(number)));
    }
    // One append of 30 records, of which the service retains only the last 10 from the start.
    service.setFaults({{"down", false}});
    service.append(texts);
    CHECK(reader.waitForCatchingUp(2));
    CHECK(reader.waitUntil([](const Reader &state) {
        return state.records_.size() == 10 && state.records_.front().first == 20;
    }));
}

TEST(LogClient, skipsUnreadableRecords)
{
    LogService service;
    service.append({encodeRecord(numbered(0)), "nonsense", R"({"type":"unknown"})", encodeRecord(numbered(1))});
    Reader reader(optionsFor(service));
    CHECK(reader.waitUntil([](const Reader &state) {
        return hasReadAllInOrder(state, 2) && state.records_.back().first == 3;
    }));
}

TEST(LogClient, reportsEachChangeOfReachability)
{
    LogService service;
    Reader reader(optionsFor(service));
    CHECK(reader.waitForReachability(true));
    service.setFaults({{"down", true}});
    CHECK(reader.waitForReachability(false));
    service.setFaults({{"down", false}});
    CHECK(reader.waitForReachability(true));
    CHECK(reader.waitUntil([](const Reader &state) {
        return state.reachability_ == std::vector<bool> {true, false, true};
    }));
}

TEST(LogClient, rejectsAppendsWhenTheQueueIsFull)
{
    LogService service;
    service.setFaults({{"down", true}});
    LogClientOptions options = optionsFor(service);
    options.queueLimit = 5;
    Reader reader(options);
    for (int number = 0; number < 5; ++number) {
        CHECK(reader.client().append(numbered(number)));
    }
    CHECK_FALSE(reader.client().append(numbered(5)));
    UNSIGNED_LONGS_EQUAL(5, reader.client().pendingAppends());
    service.setFaults({{"down", false}});
    CHECK(reader.waitUntil([](const Reader &state) {
        return hasReadAllInOrder(state, 5);
    }));
}

TEST(LogClient, dropsOnlyTheRecordThatTheServiceRejects)
{
    LogService service;
    Reader reader(optionsFor(service));
    SubmitRecord huge;
    huge.job = "j";
    huge.spec.input = std::string(std::size_t(2) << 20, 'x');
    CHECK(reader.client().append(numbered(0)));
    CHECK(reader.client().append(huge));
    CHECK(reader.client().append(numbered(1)));
    CHECK(reader.waitUntil([](const Reader &state) {
        return hasReadAllInOrder(state, 2);
    }));
}
