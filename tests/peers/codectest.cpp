// Tests of the codec: an encoded message decodes to an equal message, and no byte sequence makes the decoder throw.

#include "peers/codec.h"

#include <CppUTest/TestHarness.h>

#include <sys/resource.h>
#include <variant>

using namespace knapweed;

TEST_GROUP(Codec) {};

TEST(Codec, keepsAllFieldsOfAMessage)
{
    wire::HoldRequest hold;
    hold.attempt.job = "j-1";
    hold.attempt.owner = 77;
    hold.attempt.number = 3;
    hold.member = 2;
    hold.lead = "127.0.0.1:9";
    hold.spec.account = "kothari-fit";
    hold.spec.repeatable = false;
    hold.accelerators = {1, 2, 5};
    hold.holdMs = 2000;

    const Result<PeerMessage, CodecError> decoded = decodeMessage(encodeMessage(hold));

    CHECK(isOk(decoded));
    CHECK(hold == std::get<wire::HoldRequest>(value(decoded)));
}

/// Guards against an update that mixes releases: a process that does not serve evacuations sends the same bytes as before.
TEST(Codec, fieldsOfEvacuationsAreOmittedUnlessTheyAreSet)
{
    const Result<PeerMessage, CodecError> heartbeat = decodeMessage(encodeMessage(wire::Heartbeat()));
    const Result<PeerMessage, CodecError> order = decodeMessage(encodeMessage(wire::StartOrder()));
    const Result<PeerMessage, CodecError> result = decodeMessage(encodeMessage(wire::StartResult()));
    CHECK_FALSE(std::get<wire::Heartbeat>(value(heartbeat)).__isset.evacuations);
    CHECK_FALSE(std::get<wire::StartOrder>(value(order)).__isset.evacuationPosition);
    CHECK_FALSE(std::get<wire::StartOrder>(value(order)).__isset.isEvacuated);
    CHECK_FALSE(std::get<wire::StartResult>(value(result)).__isset.evacuations);
}

TEST(Codec, rejectsEveryTruncatedMessage)
{
    wire::AttemptQuery query;
    query.attempt.job = "j-1";
    query.home = "127.0.0.1:9";
    const std::string whole = encodeMessage(query);

    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(!isOk(decodeMessage(whole.substr(0, length))));
    }
}

TEST(Codec, allocatesNothingForAMissingList)
{
    // A heartbeat that ends after the header of its roster, which declares twenty million entries.
    const std::string bytes("\x01\x29\xfc\x80\xda\xc4\x09", 7);
    rusage before {};
    rusage after {};
    getrusage(RUSAGE_SELF, &before);
    CHECK(!isOk(decodeMessage(bytes)));
    getrusage(RUSAGE_SELF, &after);
    constexpr long allowedKib = 65536;
    CHECK(after.ru_maxrss - before.ru_maxrss < allowedKib);
}

TEST(Codec, rejectsAnUnknownType)
{
    CHECK(!isOk(decodeMessage("\xff\x01")));
}
