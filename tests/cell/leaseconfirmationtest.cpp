// Tests of the majorities on which leases are extended while the store does not answer. The last group plays two schedulers in all partitions of the entries.

#include "cell/leaseconfirmation.h"
#include "cell/entryrecord.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds longestOutage {9000};

EntryIncarnations entriesFrom(int first, int end)
{
    EntryIncarnations entries;
    for (int entry = first; entry < end; ++entry) {
        entries["e" + std::to_string(entry)] = 1;
    }
    return entries;
}

} // namespace

TEST_GROUP(LeaseConfirmation)
{
    BootTime now = BootTime(Milliseconds(1000000));
    LeaseConfirmation confirmation;

    void answer(int first, int end, std::int64_t incarnation = 1)
    {
        for (int entry = first; entry < end; ++entry) {
            confirmation.answered("e" + std::to_string(entry), incarnation, now);
        }
    }

    bool isConfirmed()
    {
        return now < confirmation.confirmedUntil();
    }
};

/// Guards against TWICE (review/6): an answer of any one entry extended the leases, also in a minority.
TEST(LeaseConfirmation, answersOfFewerThanAMajorityConfirmNothing)
{
    confirmation.termConfirmed(entriesFrom(1, 4), now);
    answer(1, 2);
    CHECK_FALSE(isConfirmed()); // two of four
    answer(2, 3);
    CHECK_TRUE(isConfirmed());
    now += leaseConfirmationLifetime;
    CHECK_FALSE(isConfirmed());
}

/// Guards against lost work: leases lapse while the store is away although all entries are connected.
TEST(LeaseConfirmation, leasesAreExtendedThroughAnOrdinaryOutage)
{
    confirmation.termConfirmed(entriesFrom(1, 4), now);
    for (const BootTime end = now + longestOutage; now < end; now += Milliseconds(500)) {
        answer(1, 4);
        CHECK_TRUE(isConfirmed());
    }
}

/// Guards against TWICE: the next scheduler without a majority waits for this bound.
TEST(LeaseConfirmation, extensionWithoutTheStoreIsBounded)
{
    confirmation.termConfirmed(entriesFrom(1, 4), now);
    now += maxExtensionWithoutStore;
    answer(1, 4);
    CHECK_FALSE(isConfirmed());
    confirmation.termConfirmed(entriesFrom(1, 4), now);
    answer(1, 4);
    CHECK_TRUE(isConfirmed());
}

/// Guards against TWICE: an entry that has restarted may have acknowledged a later term before.
TEST(LeaseConfirmation, entriesThatStartedSinceTheStoreConfirmedTheTermDoNotConfirmIt)
{
    confirmation.termConfirmed(entriesFrom(1, 3), now);
    confirmation.addEntries(entriesFrom(3, 5)); // five with this one
    answer(1, 3, 2);
    answer(3, 5);
    CHECK_FALSE(isConfirmed());
    answer(1, 3);
    CHECK_TRUE(isConfirmed());
}

/// Guards against TWICE: the entries on the other side of a partition leave the roster.
TEST(LeaseConfirmation, hiddenEntriesCountUntilTheStoreConfirmsTheTerm)
{
    confirmation.termConfirmed(entriesFrom(1, 5), now);
    confirmation.addEntries({});
    answer(1, 2);
    CHECK_FALSE(isConfirmed());
    confirmation.termConfirmed({}, now);
    CHECK_TRUE(isConfirmed()); // the only one
}

/// Guards against TWICE: a seed that has shut down may have started again on the other side of a partition.
TEST(LeaseConfirmation, extensionByTheLastEntryIsBounded)
{
    confirmation.termConfirmed({}, now);
    now += maxExtensionWithoutStore;
    CHECK_FALSE(isConfirmed());
}

TEST(LeaseConfirmation, nothingIsConfirmedBeforeTheStoreHasConfirmedTheTerm)
{
    answer(1, 3);
    CHECK_FALSE(isConfirmed());
}

/// Guards against TWICE: an entry that this one has forgotten may be on the other side of a partition, and the next scheduler there counts it.
TEST(LeaseConfirmation, aMajorityOfTheRecordedEntriesIsNeededUntilAnotherRecordIsStored)
{
    confirmation = LeaseConfirmation("e0");
    CHECK_FALSE(confirmation.isRecorded());
    confirmation.recordLoaded(entriesFrom(0, 6));
    CHECK_TRUE(confirmation.isRecorded());
    confirmation.termConfirmed(entriesFrom(1, 3), now); // three of the six have been forgotten
    answer(1, 3);
    CHECK_FALSE(isConfirmed());
    confirmation.recordWritten(entriesFrom(0, 3), 7);
    confirmation.recordStored(6);
    CHECK_FALSE(isConfirmed());
    confirmation.recordStored(7);
    CHECK_TRUE(isConfirmed());
}

/// Guards against TWICE: the next scheduler may find a record whose storing was not acknowledged.
TEST(LeaseConfirmation, aMajorityOfEntriesWhoseRecordMayBeStoredIsNeeded)
{
    confirmation = LeaseConfirmation("e0");
    confirmation.recordLoaded(entriesFrom(0, 3));
    confirmation.termConfirmed(entriesFrom(1, 6), now);
    confirmation.recordWritten(entriesFrom(0, 6), 7);
    answer(1, 3);
    CHECK_FALSE(isConfirmed());
    answer(3, 4);
    CHECK_TRUE(isConfirmed());
}

/// Guards against TWICE: an entry that has restarted since the record may have acknowledged a later term before.
TEST(LeaseConfirmation, recordedEntriesThatHaveRestartedDoNotConfirm)
{
    confirmation = LeaseConfirmation("e0");
    confirmation.recordLoaded(entriesFrom(0, 3));
    EntryIncarnations restarted = entriesFrom(1, 3);
    restarted["e1"] = restarted["e2"] = 2;
    confirmation.termConfirmed(restarted, now);
    answer(1, 3, 2);
    CHECK_FALSE(isConfirmed());
}

TEST_GROUP(EntryHistory)
{
    BootTime now = BootTime(Milliseconds(1000000));
    EntryHistory history;
};

/// Guards against TWICE: the roster forgets an entry after 10 s, which is shorter than a partition.
TEST(EntryHistory, entriesCountForAWhileAfterTheyWereLastSeen)
{
    history.seen("a", 1, false, now);
    now += Seconds(12);
    LONGS_EQUAL(1, history.entries(now).size());
    now += entryRetention;
    LONGS_EQUAL(0, history.entries(now).size());
}

/// Guards against lost work: after all entries were replaced, most of those that count are gone.
TEST(EntryHistory, entriesThatShutDownAreNotCountedUnlessTheyStartAgain)
{
    history.seen("a", 1, true, now);
    history.configured("a", now);
    LONGS_EQUAL(1, history.entries(now).size());
    now += leaseConfirmationLifetime + Milliseconds(1);
    LONGS_EQUAL(0, history.entries(now).size());
    history.configured("a", now);
    LONGS_EQUAL(0, history.entries(now).size());
    history.seen("a", 2, false, now);
    LONGS_EQUAL(2, history.entries(now).at("a"));
}

/// Guards against lost work: the roster keeps an entry that has shut down for 10 s, without a connection that says so.
TEST(EntryHistory, entriesThatHaveShutDownAreNotCountedAgainWhenTheirConnectionsEnd)
{
    history.seen("a", 1, true, now);
    now += leaseConfirmationLifetime + Milliseconds(1);
    history.seen("a", 1, false, now);
    LONGS_EQUAL(0, history.entries(now).size());
    CHECK_FALSE(history.isEmpty(now));
    LONGS_EQUAL(1, history.departed(now).at("a"));
    history.seen("a", 2, false, now);
    LONGS_EQUAL(1, history.entries(now).size());
    LONGS_EQUAL(0, history.departed(now).size());
    now += entryRetention + Milliseconds(1);
    CHECK_TRUE(history.isEmpty(now));
}

/// Guards against TWICE: a process that has just started knows no other entries, and takes itself for the majority.
TEST(EntryHistory, configuredEntriesCountBeforeTheyAreSeen)
{
    history.configured("a", now);
    LONGS_EQUAL(1, history.entries(now).size());
    history.seen("a", 1, false, now);
    LONGS_EQUAL(1, history.entries(now).size());
}

TEST_GROUP(EarlierExtensions)
{
    BootTime now = BootTime(Milliseconds(1000000));
};

TEST(EarlierExtensions, endWithAMajorityOfAcknowledgements)
{
    EarlierExtensions extensions(now, now - Seconds(60));
    extensions.addEntries(entriesFrom(1, 4));
    extensions.acknowledged("e1", now - Seconds(5));
    CHECK_TRUE(extensions.end() == now + maxExtensionWithoutStore); // two of four
    extensions.acknowledged("e2", now + Milliseconds(800));
    CHECK_TRUE(extensions.end() == now + Milliseconds(800));
}

/// A change of scheduler without troubles must not take longer because of this.
TEST(EarlierExtensions, areOverAtOnceIfNobodyHasConfirmedAnEarlierTerm)
{
    EarlierExtensions extensions(now, now - Seconds(60));
    extensions.addEntries(entriesFrom(1, 4));
    extensions.acknowledged("e1", now - Seconds(59));
    extensions.acknowledged("e2", now - Seconds(59));
    CHECK_TRUE(extensions.end() == now);
}

TEST(EarlierExtensions, acknowledgementsOfUnknownEntriesDoNotCount)
{
    EarlierExtensions extensions(now, now);
    extensions.addEntries(entriesFrom(1, 4));
    extensions.acknowledged("x", now);
    extensions.acknowledged("y", now);
    CHECK_FALSE(extensions.hasMajority());
}

/// Guards against TWICE: the store may reassign the leadership at once, while its last confirmation of the former scheduler holds.
TEST(EarlierExtensions, lastAsLongAsTheStoreMayHaveConfirmedAnEarlierTerm)
{
    EarlierExtensions extensions(now, now - Seconds(60));
    extensions.confirmedByStore(now + Seconds(1));
    CHECK_TRUE(extensions.end() == now + Seconds(1));
    extensions.addEntries(entriesFrom(1, 4));
    CHECK_TRUE(extensions.end() == now + maxExtensionWithoutStore);
}

/// Guards against TWICE: an earlier scheduler counts entries that this one doesn't know.
TEST(EarlierExtensions, needAcknowledgementsOfAMajorityOfTheRecordedEntries)
{
    EarlierExtensions extensions(now, now - Seconds(60), "e5");
    extensions.addEntries(entriesFrom(6, 8));
    extensions.recordLoaded(entriesFrom(0, 4));
    extensions.acknowledged("e6", now);
    extensions.acknowledged("e7", now);
    CHECK_FALSE(extensions.hasMajority());
    extensions.acknowledged("e0", now);
    extensions.acknowledged("e1", now);
    CHECK_FALSE(extensions.hasMajority()); // two of four
    extensions.acknowledged("e2", now + Milliseconds(700));
    CHECK_TRUE(extensions.hasMajority());
    CHECK_TRUE(extensions.end() == now + Milliseconds(700));
}

/// Guards against lost work: the scheduler that has just shut down is recorded, and acknowledges nothing.
TEST(EarlierExtensions, recordedEntriesThatHaveShutDownAreNotCounted)
{
    EarlierExtensions extensions(now, now - Seconds(60), "e1");
    extensions.recordLoaded(entriesFrom(0, 2));
    CHECK_FALSE(extensions.hasMajority());
    extensions.removeDeparted(entriesFrom(0, 1));
    CHECK_TRUE(extensions.hasMajority());
}

/// Guards against TWICE: an entry that has started again since it was seen to leave may confirm the earlier term.
TEST(EarlierExtensions, recordedEntriesThatHaveStartedAgainAreCounted)
{
    EarlierExtensions extensions(now, now - Seconds(60), "e1");
    EntryIncarnations recorded = entriesFrom(0, 2);
    recorded["e0"] = 2;
    extensions.recordLoaded(recorded);
    extensions.removeDeparted(entriesFrom(0, 1));
    CHECK_FALSE(extensions.hasMajority());
}

TEST_GROUP(EntryRecord) {};

TEST(EntryRecord, isReadAsWritten)
{
    const EntryIncarnations entries = {{"10.1.0.19:7000", 1796600331902}, {"10.2.0.35:7000", 0}};
    const Result<EntryIncarnations, EntryRecordError> read = decodeEntries(encodeEntries(entries));
    CHECK_TRUE(isOk(read));
    CHECK_TRUE(value(read) == entries);
}

TEST(EntryRecord, unreadableRecordsAreRefusedAsAWhole)
{
    for (const char *text : {"", "[]", "{\"a\":1", "{\"a\":1,\"b\":\"2\"}", "{\"a\":1.5}", "null"}) {
        CHECK_FALSE(isOk(decodeEntries(text)));
    }
}

/// Guards against TWICE (review/6), for 2 to 6 entries: the last extension by an earlier scheduler (e0) is before the time from which a new one (e1) counts a
/// lease. Each other entry is on either side of a partition, or first with the earlier scheduler and later with the new one. One entry may be unknown to
/// either.
TEST(EarlierExtensions, noPartitionLetsAnEarlierSchedulerExtendLeasesAfterItsTermIsTakenToBeOver)
{
    const BootTime renewedAt = now;
    const BootTime termStartedAt = renewedAt + Milliseconds(1200);
    const std::vector<BootTime> changesOfSide {renewedAt, renewedAt + Seconds(4), BootTime::max()};
    for (int entries = 2; entries <= 6; ++entries) {
        int partitions = 1;
        for (int entry = 2; entry < entries; ++entry) {
            partitions *= 3;
        }
        for (int partition = 0; partition < partitions; ++partition) {
            for (int unknownTo = -1; unknownTo < (entries > 2 ? 2 : 0); ++unknownTo) {
                const std::string unknown = "e" + std::to_string(entries - 1);
                EntryIncarnations known = entriesFrom(0, entries);
                known.erase("e0");
                known.erase(unknownTo == 0 ? unknown : "e0");
                EntryIncarnations others = entriesFrom(0, entries);
                others.erase("e1");
                others.erase(unknownTo == 1 ? unknown : "e1");
                LeaseConfirmation confirmation;
                confirmation.termConfirmed(known, renewedAt);
                EarlierExtensions extensions(termStartedAt, renewedAt);
                extensions.addEntries(others);
                BootTime last = renewedAt + leaseConfirmationLifetime; // confirmed by the store
                for (BootTime time = renewedAt; time < renewedAt + Seconds(30); time += Milliseconds(300)) {
                    int rest = partition;
                    for (int entry = 2; entry < entries; ++entry, rest /= 3) {
                        const BootTime changesAt = changesOfSide[std::size_t(rest % 3)];
                        const std::string name = "e" + std::to_string(entry);
                        if (time < changesAt) {
                            confirmation.answered(name, 1, time);
                        } else if (time >= termStartedAt) {
                            const bool hasConfirmed = changesAt > renewedAt;
                            extensions.acknowledged(name, (hasConfirmed ? changesAt : renewedAt - Seconds(9)) + leaseConfirmationLifetime);
                        }
                    }
                    last = time < confirmation.confirmedUntil() ? std::max(last, confirmation.confirmedUntil()) : last;
                }
                CHECK_TRUE(last <= extensions.end());
            }
        }
    }
}
