// The numbers of relayed calls.

#include "callrelay.h"

#include <set>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

TEST_GROUP(CallRelay)
{
    std::set<std::int64_t> sent;

    /// A process of its own at the same address.
    void relayOneCall()
    {
        CallRelay relay([this](const wire::JobCall &call) {
            sent.insert(call.call);
            return true;
        });
        const MonotonicTime now = std::chrono::steady_clock::now();
        relay.call({}, now, now + Seconds(1), now + Seconds(1), [](const RelayedAnswer &) {});
    }
};

/// Guards against UNASKED: an entry that starts again at its address takes the answer to a call of its predecessor for that to a cancel of the same number.
TEST(CallRelay, callsOfTheNextProcessAtTheSameAddressHaveOtherNumbers)
{
    relayOneCall();
    relayOneCall();
    LONGS_EQUAL(2, sent.size());
}
