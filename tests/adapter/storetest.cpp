// The encoding of the store's records, and the store's client against a server that answers as the platform documents.

#include "base/httpserver.h"
#include "base/looptask.h"
#include "storeclient.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

using namespace knapweed;
using namespace knapweed::platform;

namespace
{

std::string bigEndian(std::uint64_t number)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(number >> shift & 0xff);
    }
    return bytes;
}

} // namespace

TEST_GROUP(PlatformFrames) {};

TEST(PlatformFrames, decodedRecordsHaveTheirOffsets)
{
    const std::string frames = encodeKeyedRecords({{"k1", "value", 0}, {"k2", "", 0}, {"k3", std::string("\0\xff", 2), 0}});
    const std::optional<ReadPage> page = decodeKeyedPage(bigEndian(12) + bigEndian(3) + frames, 9);
    CHECK(page.has_value());
    LONGS_EQUAL(12, page->end);
    LONGS_EQUAL(3, page->first);
    LONGS_EQUAL(12, page->next);
    LONGS_EQUAL(3, page->records.size());
    STRCMP_EQUAL("k2", page->records[1].key.c_str());
    CHECK(page->records[1].value.empty());
    LONGS_EQUAL(11, page->records[2].offset);
    CHECK(page->records[2].value == std::string("\0\xff", 2));
}

TEST(PlatformFrames, truncatedPagesAreRefused)
{
    CHECK(!decodeKeyedPage("short", 0));
    const std::string frames = encodeKeyedRecords({{"k1", "value", 0}});
    CHECK(!decodeKeyedPage(bigEndian(1) + bigEndian(0) + frames.substr(0, frames.size() - 1), 0));
    CHECK(decodeKeyedPage(bigEndian(0) + bigEndian(0), 0).has_value());
}

TEST(PlatformFrames, base64IsDecodedWithAndWithoutPadding)
{
    STRCMP_EQUAL("any carnal pleas", decodeBase64("YW55IGNhcm5hbCBwbGVhcw==").c_str());
    STRCMP_EQUAL("any carnal pleas", decodeBase64("YW55IGNhcm5hbCBwbGVhcw").c_str());
}

TEST_GROUP(PlatformStore)
{
    LoopTask task;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<StoreClient> store;
    HttpRequest seen;
    HttpResponse answer;

    void setup() override
    {
        task.call([this]() {
            server = std::make_unique<HttpServer>(task.loop(), Address {"127.0.0.1", 0}, [this](const HttpRequest &request, const HttpResponder &respond) {
                seen = request;
                if (answer.status != 0) {
                    respond(answer);
                }
            });
            http = std::make_unique<HttpClient>(task.loop());
            store = std::make_unique<StoreClient>(*http, server->address());
        });
    }

    void teardown() override
    {
        task.call([this]() {
            store.reset();
            http.reset();
            server.reset();
        });
    }

    template<typename Value>
    Result<Value, StoreError> call(const std::function<void(StoreCallback<Value>)> &request)
    {
        std::optional<Result<Value, StoreError>> result;
        task.call([&]() {
            request([&](const Result<Value, StoreError> &given) {
                result = given;
            });
        });
        CHECK(task.waitFor([&]() {
            return result.has_value();
        }));
        return *result;
    }

    Result<Membership, StoreError> join()
    {
        return call<Membership>([this](StoreCallback<Membership> callback) {
            store->join("g", "m", "turn", 0, Milliseconds(1500), Milliseconds(500), std::move(callback));
        });
    }

    Result<Appended, StoreError> append()
    {
        return call<Appended>([this](StoreCallback<Appended> callback) {
            store->append("keyed.jobs", {{"k", "v", 0}}, {"p", 4, 2}, Milliseconds(300), std::move(callback));
        });
    }
};

/// A topic has many partitions, which are assigned among all members. Only the first one decides leadership.
TEST(PlatformStore, onlyTheFirstPartitionDecidesLeadership)
{
    answer = jsonResponse(200, R"({"generation":5,"parts":[["turn",3,0],["turn",7,0]]})");
    CHECK(!value(join()).holdsPartition);
    answer = jsonResponse(200, R"({"generation":6,"parts":[["turn",3,0],["turn",0,0]]})");
    CHECK(value(join()).holdsPartition);
    LONGS_EQUAL(6, value(join()).generation);
    answer = jsonResponse(200, R"({"generation":7,"parts":[]})");
    CHECK(!value(join()).holdsPartition);
}

TEST(PlatformStore, appendsNameTheirProducerAndDistinguishRefusalFromUnknownOutcome)
{
    answer = jsonResponse(200, R"({"offset":3,"end":4})");
    LONGS_EQUAL(4, value(append()).end);
    STRCMP_EQUAL("4", seen.query["epoch"].c_str());
    STRCMP_EQUAL("2", seen.query["seq"].c_str());
    answer = jsonResponse(503, "");
    CHECK(error(append()).kind == StoreError::Kind::NotDone);
    answer = jsonResponse(409, R"({"reason":"fenced"})");
    CHECK(error(append()).kind == StoreError::Kind::Fenced);
    answer = jsonResponse(409, R"({"reason":"seq","expected":9})");
    CHECK(error(append()).kind == StoreError::Kind::OutOfSequence);
    LONGS_EQUAL(9, error(append()).expected);
    answer.status = 0;
    CHECK(error(append()).kind == StoreError::Kind::Unknown);
    answer = jsonResponse(507, "");
    CHECK(error(append()).kind == StoreError::Kind::NotDone);
    answer = jsonResponse(502, ""); // says nothing of the append
    CHECK(error(append()).kind == StoreError::Kind::Unknown);
}

TEST(PlatformStore, readOfDeletedRecordsGivesTheOldestOffset)
{
    answer = jsonResponse(410, R"({"first":17})");
    const Result<ReadPage, StoreError> result = call<ReadPage>([this](StoreCallback<ReadPage> callback) {
        store->read("keyed.op", 2, Milliseconds(0), Milliseconds(300), std::move(callback));
    });
    CHECK(error(result).kind == StoreError::Kind::Deleted);
    LONGS_EQUAL(17, error(result).expected);
}

TEST(PlatformStore, ownerIsTheMemberWithTheFirstPartition)
{
    answer = jsonResponse(200, R"({"owners":[["turn",1,"other",0],["turn",0,"10.0.0.1:7000/5",0]]})");
    const Result<GroupOwner, StoreError> result = call<GroupOwner>([this](StoreCallback<GroupOwner> callback) {
        store->owner("g", Milliseconds(300), std::move(callback));
    });
    STRCMP_EQUAL("10.0.0.1:7000/5", value(result).member.c_str());
}

TEST(PlatformStore, newestRecordsAreReadInPages)
{
    answer = jsonResponse(200, R"({"items":[{"key":"a","value":"YQ==","offset":1}],"truncated":true,"end":9})");
    const Result<NewestPage, StoreError> result = call<NewestPage>([this](StoreCallback<NewestPage> callback) {
        store->newest("keyed.jobs", "j.1", Milliseconds(300), std::move(callback));
    });
    CHECK(value(result).isTruncated);
    STRCMP_EQUAL("a", value(result).records.front().value.c_str());
    answer = jsonResponse(200, "[]");
    CHECK(!isOk(call<NewestPage>([this](StoreCallback<NewestPage> callback) {
        store->newest("keyed.jobs", "", Milliseconds(300), std::move(callback));
    })));
}
