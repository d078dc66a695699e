// The configuration feed on real connections, against a store that answers as the platform documents, through relays that can silence open connections.

#include "base/relay.h"
#include "configuration/topicstandin.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

constexpr Milliseconds applyTime {2000}; ///< bound of the deployments from an acknowledged change to its effect at every entry
constexpr int entryCount = 4;

} // namespace

TEST_GROUP(ConfigurationFeed)
{
    struct Entry
    {
        Entry(EventLoop &loop, const Address &topic, int index)
            : relay(topic)
            , http(loop)
            , store(http, relay.address())
            , feed(loop, store, applyTime, static_cast<std::uint32_t>(index), [](const cell::CellConfiguration &) {})
        {
            feed.start();
        }

        Relay relay;
        HttpClient http;
        platform::StoreClient store;
        ConfigurationFeed feed;
    };

    LoopTask task;
    std::unique_ptr<TopicStandin> topic;
    std::vector<std::unique_ptr<Entry>> entries;

    void setup() override
    {
        task.call([this]() {
            openTopic();
            startEntries();
        });
    }

    void teardown() override
    {
        task.call([this]() {
            entries.clear();
            topic.reset();
        });
    }

    void openTopic()
    {
        topic = std::make_unique<TopicStandin>(task.loop());
        topic->append(1);
    }

    void startEntries()
    {
        for (int index = 0; index < entryCount; ++index) {
            entries.push_back(std::make_unique<Entry>(task.loop(), topic->address(), index));
        }
    }

    bool haveAll(std::int64_t version)
    {
        return std::all_of(entries.begin(), entries.end(), [version](const std::unique_ptr<Entry> &entry) {
            return entry->feed.configuration().version >= version;
        });
    }

    void append(std::int64_t version)
    {
        task.call([&]() {
            topic->append(version);
        });
    }

    /// Waits until each entry has a read at the store.
    void waitForReads()
    {
        CHECK(task.waitFor([this]() {
            return haveAll(1) && topic->waitingReads() == entryCount;
        }));
    }
};

/// Guards against CONFIG: after a change that all entries have read at once, all waited as long as each other on connections that had gone silent.
TEST(ConfigurationFeed, changeIsInForceInTimeAlthoughAllOpenConnectionsWentSilentBeforeIt)
{
    waitForReads();
    append(2);
    CHECK(task.waitFor([this]() {
        return haveAll(2) && topic->waitingReads() == entryCount;
    }));
    for (const std::unique_ptr<Entry> &entry : entries) {
        entry->relay.freeze();
    }
    append(3);
    CHECK(task.waitFor(
        [this]() {
            return haveAll(3);
        },
        applyTime));
}

/// Guards against CONFIG: a list of newest records is not a snapshot, and a version that was stored while it was made was never read.
TEST(ConfigurationFeed, changeDuringTheFirstReadIsInForceInTime)
{
    // In one turn of the loop: a list that is answered before the change is prepared would not be the next one.
    task.call([this]() {
        entries.clear();
        openTopic();
        topic->appendDuringNextList(2);
        startEntries();
    });
    CHECK(task.waitFor(
        [this]() {
            return haveAll(2);
        },
        applyTime));
}

TEST_GROUP(ConfigurationFeedOfOneEntry)
{
    LoopTask storeTask;
    LoopTask entryTask;
    std::unique_ptr<TopicStandin> topic;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<platform::StoreClient> store;
    std::unique_ptr<ConfigurationFeed> feed;

    void setup() override
    {
        storeTask.call([this]() {
            topic = std::make_unique<TopicStandin>(storeTask.loop());
            topic->append(1);
        });
        entryTask.call([this]() {
            http = std::make_unique<HttpClient>(entryTask.loop());
            store = std::make_unique<platform::StoreClient>(*http, topic->address());
            feed = std::make_unique<ConfigurationFeed>(entryTask.loop(), *store, applyTime, 1, [](const cell::CellConfiguration &) {});
        });
    }

    void start()
    {
        entryTask.call([this]() {
            feed->start();
        });
    }

    void teardown() override
    {
        entryTask.call([this]() {
            feed.reset();
            store.reset();
            http.reset();
        });
        storeTask.call([this]() {
            topic.reset();
        });
    }

    /// Other work of the entry takes @p time in each turn of its loop.
    void occupy(Milliseconds time)
    {
        entryTask.call([this, time]() {
            entryTask.loop().callEvery(Milliseconds(1), [time]() {
                std::this_thread::sleep_for(time);
            });
        });
    }

    bool follows(std::int64_t version, Milliseconds deadline)
    {
        return entryTask.waitFor(
            [this, version]() {
                return feed->configuration().version >= version;
            },
            deadline);
    }
};

/// Guards against CONFIG: an entry with too little processor time that takes its own delays for those of the store would give up each read.
TEST(ConfigurationFeedOfOneEntry, changeIsInForceAlthoughEachTurnOfTheLoopTakesLong)
{
    const Milliseconds turn(900);
    start();
    CHECK(follows(1, testDeadline));
    occupy(turn);
    std::this_thread::sleep_for(turn * 6);
    storeTask.call([this]() {
        topic->append(2);
    });
    CHECK(follows(2, turn * 4));
}

/// Guards against CONFIG: an entry that read from a position past the end of the log was answered, without records, for as long as no other version came.
TEST(ConfigurationFeedOfOneEntry, changeIsInForceAlthoughThePositionWasPastTheEndOfTheLog)
{
    storeTask.call([this]() {
        topic->nameOffsetsAhead(3);
    });
    start();
    CHECK(follows(1, testDeadline));
    storeTask.call([this]() {
        topic->nameOffsetsAhead(0);
        topic->append(2);
    });
    CHECK(follows(2, applyTime));
}
