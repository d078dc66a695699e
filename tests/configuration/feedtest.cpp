// The configuration feed on real connections, against a store that answers as the platform documents, through relays that can silence open connections.

#include "base/httpserver.h"
#include "base/looptask.h"
#include "base/relay.h"
#include "configurationfeed.h"

#include <nlohmann/json.hpp>

#include <list>
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

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> shift & 0xff);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char byte : bytes) {
        bits = bits << 8 | static_cast<unsigned char>(byte);
        for (count += 8; count >= 6; count -= 6) {
            text += digits[bits >> (count - 6) & 63];
        }
    }
    return count == 0 ? text : text + digits[bits << (6 - count) & 63];
}

/// The topic of the operators' records: a log of documents under one key, with reads that wait for the next one.
class TopicStandin
{
public:
    explicit TopicStandin(EventLoop &loop)
        : loop_(loop)
        , server_(loop, Address {"127.0.0.1", 0}, [this](const HttpRequest &request, const HttpResponder &respond) {
            serve(request, respond);
        })
    {
    }

    ~TopicStandin()
    {
        for (const Reader &reader : readers_) {
            loop_.cancelTimer(reader.timer);
        }
    }

    Address address() const
    {
        return server_.address();
    }

    void append(std::int64_t version)
    {
        documents_.push_back(nlohmann::json {{"version", version}, {"routes", nlohmann::json::array()}}.dump());
        for (const Reader &reader : std::exchange(readers_, {})) {
            loop_.cancelTimer(reader.timer);
            reader.respond(page(reader.from));
        }
    }

    /// Appends @p version while the next list of newest records is being made: after the records have been collected, before its end is read.
    void appendDuringNextList(std::int64_t version)
    {
        versionDuringList_ = version;
    }

    int waitingReads() const
    {
        return static_cast<int>(readers_.size());
    }

private:
    struct Reader
    {
        std::size_t from = 0;
        HttpResponder respond;
        TimerId timer = 0;
    };

    void serve(const HttpRequest &request, const HttpResponder &respond)
    {
        if (request.path == "/-/log-newest") {
            nlohmann::json items = nlohmann::json::array();
            if (!documents_.empty()) {
                items.push_back({{"key", "config"}, {"value", base64(documents_.back())}, {"offset", documents_.size() - 1}});
            }
            const std::int64_t version = std::exchange(versionDuringList_, 0);
            if (version != 0) {
                append(version);
            }
            respond(jsonResponse(200, nlohmann::json {{"items", items}, {"truncated", false}, {"end", documents_.size()}}.dump()));
            return;
        }
        const std::size_t from = std::stoul(request.query.at("from"));
        if (from < documents_.size()) {
            respond(page(from));
            return;
        }
        readers_.push_back({from, respond, 0});
        const auto reader = std::prev(readers_.end());
        reader->timer = loop_.callAfter(Milliseconds(std::stol(request.query.at("waitMs"))), [this, reader]() {
            reader->respond(page(reader->from));
            readers_.erase(reader);
        });
    }

    HttpResponse page(std::size_t from) const
    {
        HttpResponse response;
        response.body = bigEndian(documents_.size(), 8) + bigEndian(0, 8);
        for (std::size_t index = from; index < documents_.size(); ++index) {
            const std::string record = std::string("\x06") + "config" + documents_[index];
            response.body += bigEndian(record.size(), 4) + record;
        }
        return response;
    }

    EventLoop &loop_;
    std::vector<std::string> documents_;
    std::list<Reader> readers_;
    std::int64_t versionDuringList_ = 0;
    HttpServer server_;
};

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
            topic = std::make_unique<TopicStandin>(task.loop());
            topic->append(1);
            for (int index = 0; index < entryCount; ++index) {
                entries.push_back(std::make_unique<Entry>(task.loop(), topic->address(), index));
            }
        });
    }

    void teardown() override
    {
        task.call([this]() {
            entries.clear();
            topic.reset();
        });
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
    task.call([this]() {
        topic->appendDuringNextList(2);
    });
    CHECK(task.waitFor(
        [this]() {
            return haveAll(2);
        },
        applyTime));
}

TEST_GROUP(ConfigurationFeedOfABusyEntry)
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
TEST(ConfigurationFeedOfABusyEntry, changeIsInForceAlthoughEachTurnOfTheLoopTakesLong)
{
    const Milliseconds turn(900);
    CHECK(follows(1, testDeadline));
    occupy(turn);
    std::this_thread::sleep_for(turn * 6);
    storeTask.call([this]() {
        topic->append(2);
    });
    CHECK(follows(2, turn * 4));
}
