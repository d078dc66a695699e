// Tests of when the configuration is read, on a driven clock: the worst case from a stored change to its effect.

#include "cell/configurationreads.h"

#include <algorithm>
#include <map>
#include <set>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds roundTrip {10};

/// A store whose answers can be lost: those on connections that were open at a given time, and those of the next reads after it.
struct LossyStore
{
    Milliseconds answerTime = roundTrip;
    MonotonicTime changedAt; ///< the only change
    MonotonicTime silentAt; ///< connections opened before this time carry nothing after it
    int lostAnswers = 0; ///< of the first reads sent after silentAt on new connections
    bool isRefusing = false;
};

struct History
{
    MonotonicTime appliedAt; ///< the change
    int reads = 0;
    int newestReads = 0;
};

/// Plays the reads of one entry in steps of a millisecond, from zero until @p end.
History play(LossyStore store, Milliseconds applyTime, std::uint32_t seed, MonotonicTime end)
{
    struct Sent
    {
        MonotonicTime answerAt;
        bool isAnswered = false;
        bool showsChange = false;
    };
    ConfigurationReads reads(configurationReadTimes(applyTime), seed);
    std::map<std::uint64_t, Sent> sent;
    History history;
    MonotonicTime connectedAt;
    for (MonotonicTime now; now < end; now += Milliseconds(1)) {
        for (auto read = sent.begin(); read != sent.end();) {
            if (read->second.answerAt > now) {
                ++read;
                continue;
            }
            if (read->second.isAnswered) {
                reads.answered(read->first, false, now);
                history.appliedAt = read->second.showsChange && history.appliedAt == MonotonicTime() ? now : history.appliedAt;
            } else {
                reads.failed(read->first, now);
            }
            read = sent.erase(read);
        }
        const std::optional<ConfigurationRead> read = reads.begin(now);
        if (!read) {
            continue;
        }
        ++history.reads;
        history.newestReads += read->isNewest ? 1 : 0;
        if (store.isRefusing) {
            sent[read->number] = {now + roundTrip, false, false};
            continue;
        }
        connectedAt = read->isNewest ? now : connectedAt;
        // A read is answered by the change as soon as it is there, otherwise when its wait is over.
        const MonotonicTime ready = std::max(now, std::min(now + read->wait, std::max(now, store.changedAt)));
        const MonotonicTime answerAt = ready + store.answerTime;
        bool isLost = connectedAt < store.silentAt && answerAt >= store.silentAt;
        if (!isLost && now >= store.silentAt && read->isNewest && store.lostAnswers > 0) {
            --store.lostAnswers;
            isLost = true;
        }
        if (!isLost) {
            sent[read->number] = {answerAt, true, ready >= store.changedAt};
        }
    }
    return history;
}

MonotonicTime at(Milliseconds time)
{
    return MonotonicTime(time);
}

} // namespace

TEST_GROUP(ConfigurationReads) {};

/// Guards against CONFIG: the sum of the waits between a stored change and its effect exceeded the bound.
TEST(ConfigurationReads, changeIsInForceInTimeWithADeadConnectionAndTwoLostAnswers)
{
    for (const Milliseconds applyTime : {Milliseconds(500), Milliseconds(2000), Milliseconds(3000)}) {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            for (Milliseconds offset {0}; offset < Milliseconds(2000); offset += Milliseconds(13)) {
                LossyStore store;
                store.silentAt = at(Milliseconds(3000) + offset);
                store.changedAt = store.silentAt;
                store.lostAnswers = 2;
                const History history = play(store, applyTime, seed, store.changedAt + applyTime * 2);
                CHECK(history.appliedAt != MonotonicTime());
                CHECK(history.appliedAt - store.changedAt < applyTime);
            }
        }
    }
}

TEST(ConfigurationReads, slowStoreIsFollowed)
{
    LossyStore store;
    store.answerTime = Milliseconds(1100);
    store.changedAt = at(Milliseconds(10000));
    const Milliseconds applyTime(2000);
    const History history = play(store, applyTime, 1, at(Milliseconds(20000)));
    CHECK(history.appliedAt != MonotonicTime());
    CHECK(history.appliedAt - store.changedAt < applyTime);
}

TEST(ConfigurationReads, storeThatRefusesIsAskedNoMoreOftenThanOnceInAnAnswerTime)
{
    LossyStore store;
    store.isRefusing = true;
    const Milliseconds played(10000);
    const History history = play(store, Milliseconds(2000), 1, at(played));
    CHECK(history.reads <= played / configurationReadTimes(Milliseconds(2000)).answer);
    LONGS_EQUAL(history.reads, history.newestReads);
}

TEST(ConfigurationReads, newestRecordIsReadOnceWhileTheStoreAnswers)
{
    LossyStore store;
    store.changedAt = at(Milliseconds(100000));
    const History history = play(store, Milliseconds(2000), 1, at(Milliseconds(60000)));
    LONGS_EQUAL(1, history.newestReads);
    CHECK(history.reads <= 60000 / 300);
}

/// Guards against CONFIG: the reads of all entries waited in phase, so none could tell the others of a change that it had missed itself.
TEST(ConfigurationReads, waitsOfEntriesDiffer)
{
    std::set<Milliseconds> waits;
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        ConfigurationReads reads(configurationReadTimes(Milliseconds(2000)), seed);
        const MonotonicTime now;
        reads.answered(reads.begin(now)->number, false, now);
        waits.insert(reads.begin(now)->wait);
    }
    CHECK(waits.size() >= 8);
}

TEST(ConfigurationReads, deletedRecordsLeadToTheNewestOne)
{
    ConfigurationReads reads(configurationReadTimes(Milliseconds(2000)), 1);
    const MonotonicTime now;
    CHECK(reads.begin(now)->isNewest);
    reads.answered(1, false, now);
    CHECK(!reads.begin(now)->isNewest);
    reads.answered(2, true, now);
    CHECK(reads.begin(now)->isNewest);
}

/// Guards against CONFIG: the records after the position had been deleted, a list that had been requested earlier was taken for newer than the deletion, and
/// the version in between was never read.
TEST(ConfigurationReads, listRequestedBeforeAGapWasReportedDoesNotCloseIt)
{
    ConfigurationReads reads(configurationReadTimes(Milliseconds(3000)), 1);
    MonotonicTime now;
    reads.answered(reads.begin(now)->number, false, now);
    const ConfigurationRead waiting = *reads.begin(now);
    now = reads.nextBegin();
    const ConfigurationRead list = *reads.begin(now);
    CHECK(list.isNewest);
    reads.answered(waiting.number, true, now);
    reads.answered(list.number, false, now);
    now = std::max(now, reads.nextBegin());
    const std::optional<ConfigurationRead> next = reads.begin(now);
    CHECK(next && next->isNewest);
}
