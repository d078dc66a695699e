// The evacuation state: how it follows the operators' records, how states are merged, and what an agent may start.

#include "cell/evacuations.h"

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr std::int64_t lateRecords = 4; ///< at most this many records are stored while a list is made

/// The operators' log: each record requests or revokes the evacuation of one of three failure domains; the offset is the index.
std::vector<EvacuationRecord> randomLog()
{
    std::vector<EvacuationRecord> log;
    const int length = *rc::gen::inRange(0, 25);
    log.reserve(static_cast<std::size_t>(length));
    for (int offset = 0; offset < length; ++offset) {
        log.push_back({std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))), offset, *rc::gen::arbitrary<bool>()});
    }
    return log;
}

/// The state of a process that has read the log up to @p end.
Evacuations stateAt(const std::vector<EvacuationRecord> &log, std::int64_t end)
{
    Evacuations state;
    state.position = 0;
    applyRecords(state, {log.begin(), log.begin() + end}, 0, end);
    return state;
}

/// The state of a process that has read a list. Records are stored while it is made, so that each domain is shown as of another time at or after the position.
Evacuations listedState(const std::vector<EvacuationRecord> &log, std::int64_t position)
{
    Evacuations state;
    state.position = position;
    for (const char *domain : {"a", "b", "c"}) {
        const std::int64_t seenAt = std::min<std::int64_t>(position + *rc::gen::inRange<std::int64_t>(0, lateRecords), static_cast<std::int64_t>(log.size()));
        const Evacuations then = stateAt(log, seenAt);
        if (isEvacuated(then, domain)) {
            state.domains[domain] = then.domains.at(domain);
        }
    }
    return state;
}

std::vector<Evacuations> randomStates(const std::vector<EvacuationRecord> &log)
{
    std::vector<Evacuations> states;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        const std::int64_t position = *rc::gen::inRange<std::int64_t>(0, static_cast<std::int64_t>(log.size()) + 1);
        states.push_back(*rc::gen::arbitrary<bool>() ? stateAt(log, position) : listedState(log, position));
    }
    if (*rc::gen::arbitrary<bool>()) {
        states.emplace_back(); // a process that knows nothing
    }
    return states;
}

/// Merges the states pairwise in a random order, as processes meet in any order.
Evacuations mergedInRandomOrder(std::vector<Evacuations> states)
{
    while (states.size() > 1) {
        const std::size_t left = *rc::gen::inRange<std::size_t>(0, states.size());
        const Evacuations first = states[left];
        states.erase(states.begin() + static_cast<std::ptrdiff_t>(left));
        const std::size_t right = *rc::gen::inRange<std::size_t>(0, states.size());
        states[right] = *rc::gen::arbitrary<bool>() ? merged(first, states[right]) : merged(states[right], first);
    }
    return states.front();
}

Evacuations stateOf(std::int64_t position, const std::map<std::string, std::int64_t> &domains)
{
    Evacuations state;
    state.position = position;
    state.domains = domains;
    return state;
}

} // namespace

TEST_GROUP(Evacuations) {};

/// Guards against EVAC and against a request that outlives its revocation: processes that meet in another order would come to other states.
TEST(Evacuations, processesThatMeetInAnyOrderComeToTheSameState)
{
    CHECK(rc::check([]() {
        const std::vector<Evacuations> states = randomStates(randomLog());
        RC_ASSERT(mergedInRandomOrder(states) == mergedInRandomOrder(states));
    }));
}

/// Guards against EVAC: a process with an old state takes back a newer request, or brings one back that was revoked.
TEST(Evacuations, mergingNeverGoesBehindAnyOfTheStates)
{
    CHECK(rc::check([]() {
        const std::vector<EvacuationRecord> log = randomLog();
        const std::vector<Evacuations> states = randomStates(log);
        const Evacuations result = mergedInRandomOrder(states);
        for (const Evacuations &state : states) {
            RC_ASSERT(result.position >= state.position);
            for (const auto &[domain, offset] : state.domains) {
                // What one state holds is missing only if another one reflects a later record of the domain.
                const bool isRevoked = std::any_of(log.begin() + offset + 1, log.end(), [&domain = domain](const EvacuationRecord &record) {
                    return record.domain == domain && !record.isRequested;
                });
                RC_ASSERT(isRevoked || isEvacuated(result, domain));
            }
        }
        // A request that the log up to the position revokes is not held.
        for (const auto &[domain, offset] : result.domains) {
            const bool isRevoked =
                std::any_of(log.begin() + offset + 1, log.begin() + std::max(offset + 1, result.position), [&domain = domain](const EvacuationRecord &record) {
                    return record.domain == domain && !record.isRequested;
                });
            RC_ASSERT(!isRevoked);
        }
    }));
}

/// Guards against EVAC: a process that merges with others while it reads the log passes over a record.
TEST(Evacuations, readerOfTheWholeLogKnowsItsNewestRecordsWhateverItHasMerged)
{
    CHECK(rc::check([]() {
        const std::vector<EvacuationRecord> log = randomLog();
        const std::int64_t end = static_cast<std::int64_t>(log.size());
        const std::int64_t from = *rc::gen::inRange<std::int64_t>(0, end + 1);
        Evacuations state = listedState(log, from);
        for (const Evacuations &other : randomStates(log)) {
            state = merged(state, other);
        }
        applyRecords(state, {log.begin() + from, log.end()}, from, end);
        RC_ASSERT(state == stateAt(log, end));
    }));
}

TEST(Evacuations, mergingIsCommutativeAndIdempotent)
{
    CHECK(rc::check([]() {
        const std::vector<EvacuationRecord> log = randomLog();
        const std::vector<Evacuations> states = randomStates(log);
        for (const Evacuations &left : states) {
            RC_ASSERT(merged(left, left) == left);
            for (const Evacuations &right : states) {
                RC_ASSERT(merged(left, right) == merged(right, left));
            }
        }
    }));
}

/// Guards against a request that outlives its revocation: the record that revoked it was deleted before this process read it.
TEST(Evacuations, listWithoutTheDomainEndsAnEvacuationWhoseRevocationWasMissed)
{
    const Evacuations before = stateOf(6, {{"west-a", 5}});
    const Evacuations listed = stateOf(9, {});
    CHECK(merged(before, listed) == stateOf(9, {}));
    CHECK(merged(before, stateOf(9, {{"west-a", 8}})) == stateOf(9, {{"west-a", 8}}));
}

TEST(Evacuations, differentStatesHaveDifferentVersions)
{
    const std::vector<Evacuations> states = {
        Evacuations(), stateOf(0, {}), stateOf(6, {}), stateOf(6, {{"west-a", 5}}), stateOf(6, {{"west-a", 4}}), stateOf(6, {{"west-b", 5}})};
    for (std::size_t left = 0; left < states.size(); ++left) {
        for (std::size_t right = 0; right < states.size(); ++right) {
            CHECK_EQUAL(left == right, versionOf(states[left]) == versionOf(states[right]));
        }
    }
}

TEST(Evacuations, stateSurvivesItsMessage)
{
    const Evacuations state = stateOf(7, {{"west-a", 5}, {"west-b", 9}});
    CHECK(evacuationsOf(wireEvacuations(state)) == state);
}

/// Guards against EVAC: an order of a scheduler with an older view is carried out in an evacuated failure domain.
TEST(Evacuations, agentFollowsItsOwnStateUnlessTheSchedulersIsLater)
{
    const Evacuations own = stateOf(6, {{"west-a", 5}});
    CHECK(mayStart(own, "west-b", std::nullopt));
    CHECK(mayStart(own, "west-b", SchedulerView {2, false}));
    CHECK_FALSE(mayStart(own, "west-a", std::nullopt));
    CHECK_FALSE(mayStart(own, "west-a", SchedulerView {5, false}));
    CHECK_FALSE(mayStart(own, "west-a", SchedulerView {6, false}));
    CHECK(mayStart(own, "west-a", SchedulerView {7, false}));
    CHECK_FALSE(mayStart(own, "west-a", SchedulerView {7, true}));
    CHECK_FALSE(mayStart(own, "west-b", SchedulerView {7, true}));
    // The record was read from a list and is later than the scheduler's position.
    CHECK_FALSE(mayStart(stateOf(6, {{"west-a", 9}}), "west-a", SchedulerView {8, false}));
    CHECK(mayStart(stateOf(6, {{"west-a", 9}}), "west-a", SchedulerView {10, false}));
}

/// Guards against EVAC: a process that has just begun starts work before it knows whether the failure domain is evacuated.
TEST(Evacuations, nothingMayStartWhileNoStateIsKnown)
{
    CHECK_FALSE(isKnown(Evacuations()));
    CHECK_FALSE(mayStart(Evacuations(), "west-a", std::nullopt));
    CHECK_FALSE(mayStart(Evacuations(), "west-a", SchedulerView {7, false}));
    CHECK(isKnown(stateOf(0, {})));
}
