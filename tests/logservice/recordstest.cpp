// Text form of the records: encoding and decoding yields the same record, and decoding never throws on any text.

#include "logservice/records.h"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace knapweed;

namespace
{

std::vector<Record> oneOfEach()
{
    SubmitRecord submit;
    submit.job = "j-1";
    submit.key = "key \"quoted\" \n\xc3\xa4";
    submit.owner = "127.0.0.1:1";
    submit.ownerNonce = INT64_MIN;
    submit.isRecoverable = true;
    submit.spec.account = "kothari-fit";
    submit.spec.adjacency = wire::Adjacency::Rack;
    submit.spec.input = R"({"run_ms":5})";
    submit.spec.repeatable = false;
    submit.acceptedAt = WallTime(Milliseconds(1764000000123));
    wire::AttemptId attempt;
    attempt.job = "j-1";
    attempt.owner = INT64_MAX;
    attempt.number = 4;
    wire::PartResult part;
    part.worker = "w1";
    part.output = "done";
    part.length = 4;
    part.digest = -7;
    return {submit,
        ClaimRecord {"j-1", 3, "127.0.0.1:2", 9},
        StartRecord {attempt, "127.0.0.1:3", -5},
        AbandonRecord {attempt, "127.0.0.1:4"},
        OutcomeRecord {"j-1", 3, wire::Outcome::Failed, wire::Reason::MemberLost, "w1", {part}},
        ConfigurationRecord {7, "c-1", "rota-a", "{}"},
        SnapshotRecord {"s-1", 1, 2, 7, "rota-a", "{}", R"({"jobs":[]})", 99}};
}

} // namespace

TEST_GROUP(Records) {};

TEST(Records, roundTripsEveryRecordType)
{
    for (const Record &record : oneOfEach()) {
        const std::string text = encodeRecord(record);
        const Result<Record, RecordError> decoded = decodeRecord(text);
        CHECK_TEXT(isOk(decoded), text.c_str());
        UNSIGNED_LONGS_EQUAL(record.index(), value(decoded).index());
        STRCMP_EQUAL(text.c_str(), encodeRecord(value(decoded)).c_str());
    }
}

TEST(Records, roundTripsTheFieldsOfASubmitRecord)
{
    const SubmitRecord before = std::get<SubmitRecord>(oneOfEach().front());
    const Result<Record, RecordError> decoded = decodeRecord(encodeRecord(before));
    const SubmitRecord &after = std::get<SubmitRecord>(value(decoded));
    CHECK(before.spec == after.spec);
    CHECK(before.acceptedAt == after.acceptedAt);
    CHECK(before.ownerNonce == after.ownerNonce);
    CHECK(before.isRecoverable == after.isRecoverable);
    STRCMP_EQUAL(before.key.c_str(), after.key.c_str());
}

TEST(Records, rejectsEveryTruncation)
{
    for (const Record &record : oneOfEach()) {
        const std::string text = encodeRecord(record);
        for (std::size_t length = 0; length < text.size(); ++length) {
            CHECK(!isOk(decodeRecord(text.substr(0, length))));
        }
    }
}

TEST(Records, rejectsTextThatIsNotARecord)
{
    const std::array<const char *, 9> texts = {"",
        "null",
        "[]",
        "{}",
        R"({"type":7})",
        R"({"type":"sleep"})",
        R"({"type":"claim","job":1,"previous_nonce":1,"owner":"o","owner_nonce":2})",
        R"({"type":"outcome","job":"j","outcome":99,"reason":0,"detail":"","parts":[]})",
        "\xff\xfe"};
    for (const char *text : texts) {
        CHECK_TEXT(!isOk(decodeRecord(text)), text);
    }
}

TEST(Records, encodesInvalidUtf8)
{
    CHECK(isOk(decodeRecord(encodeRecord(ClaimRecord {"j\xff", 1, "o", 2}))));
}
