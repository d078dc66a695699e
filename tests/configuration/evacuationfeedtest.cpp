// The feed of evacuations on real connections, against a store that answers as the platform documents.

#include "base/relay.h"
#include "configuration/topicstandin.h"

#include <memory>
#include <string>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

constexpr Milliseconds applyTime {2000};

} // namespace

TEST_GROUP(EvacuationFeed)
{
    LoopTask task;
    std::unique_ptr<TopicStandin> topic;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<platform::StoreClient> store;
    std::unique_ptr<ConfigurationFeed> feed;

    void setup() override
    {
        task.call([this]() {
            topic = std::make_unique<TopicStandin>(task.loop());
            topic->append(1);
        });
    }

    void start(bool isServed = true)
    {
        task.call([this, isServed]() {
            relay = std::make_unique<Relay>(topic->address());
            http = std::make_unique<HttpClient>(task.loop());
            store = std::make_unique<platform::StoreClient>(*http, relay->address());
            feed = std::make_unique<ConfigurationFeed>(task.loop(), *store, applyTime, 1, [](const cell::CellConfiguration &) {});
            if (isServed) {
                feed->serveEvacuations([](const cell::Evacuations &) {});
            }
            feed->start();
        });
    }

    void teardown() override
    {
        task.call([this]() {
            feed.reset();
            store.reset();
            http.reset();
            relay.reset();
            topic.reset();
        });
    }

    bool isEvacuatedInTime(const std::string &domain, bool isExpected = true)
    {
        return task.waitFor(
            [this, domain, isExpected]() {
                return cell::isKnown(feed->evacuations()) && cell::isEvacuated(feed->evacuations(), domain) == isExpected;
            },
            applyTime);
    }

    void evacuate(const std::string &domain, bool isRequested)
    {
        task.call([&]() {
            topic->evacuate(domain, isRequested);
        });
    }

    void waitForRead()
    {
        CHECK(task.waitFor([this]() {
            return topic->waitingReads() > 0;
        }));
    }

    cell::Evacuations stateOf(std::int64_t position, const std::map<std::string, std::int64_t> &domains)
    {
        cell::Evacuations state;
        state.position = position;
        state.domains = domains;
        return state;
    }
};

/// Guards against EVAC: a request that is tailed from the log, and against a request that outlives its revocation.
TEST(EvacuationFeed, followsRequestsAndRevocations)
{
    start();
    waitForRead();
    CHECK(isEvacuatedInTime("west-a", false));
    evacuate("west-a", true);
    CHECK(isEvacuatedInTime("west-a"));
    evacuate("west-b", true);
    evacuate("west-a", false);
    CHECK(isEvacuatedInTime("west-b"));
    CHECK(isEvacuatedInTime("west-a", false));
    task.call([this]() {
        CHECK(feed->evacuations() == stateOf(4, {{"west-b", 2}}));
    });
}

/// Guards against EVAC: an entry begins after the request, and its record has been deleted from the log.
TEST(EvacuationFeed, requestThatOnlyTheListShowsIsInForce)
{
    task.call([this]() {
        topic->evacuate("west-a", true);
        topic->deleteRecords();
    });
    start();
    CHECK(isEvacuatedInTime("west-a"));
}

/// Guards against EVAC: the list has several pages, and the request is not on the first.
TEST(EvacuationFeed, requestOnALaterPageIsInForce)
{
    task.call([this]() {
        topic->limitPages(2);
        for (const char *domain : {"west-a", "west-b", "west-c", "west-d"}) {
            topic->evacuate(domain, true);
        }
        topic->deleteRecords();
    });
    start();
    CHECK(isEvacuatedInTime("west-d"));
    CHECK(isEvacuatedInTime("west-a"));
    CHECK(task.waitFor([this]() {
        return feed->evacuations().position == 5;
    }));
}

/// Guards against EVAC: a list is not a snapshot. A request that is stored between its pages, before the key that the next page begins with, is on neither.
TEST(EvacuationFeed, requestBetweenThePagesOfAListIsInForce)
{
    task.call([this]() {
        topic->limitPages(2);
        topic->evacuate("west-b", true);
        topic->evacuate("west-c", true);
        topic->evacuateBetweenPages("west-a", true);
    });
    start();
    CHECK(isEvacuatedInTime("west-a"));
    CHECK(isEvacuatedInTime("west-c"));
}

/// Guards against a request that outlives its revocation: it was revoked between the pages of a list after the page that shows it.
TEST(EvacuationFeed, revocationBetweenThePagesOfAListIsInForce)
{
    task.call([this]() {
        topic->limitPages(2);
        topic->evacuate("west-a", true);
        topic->evacuate("west-b", true);
        topic->evacuateBetweenPages("west-a", false);
    });
    start();
    CHECK(isEvacuatedInTime("west-b"));
    CHECK(isEvacuatedInTime("west-a", false));
}

/// Guards against a request that outlives its revocation: the records were deleted while the entry could not read them.
TEST(EvacuationFeed, revocationThatWasDeletedBeforeItWasReadIsInForce)
{
    start();
    waitForRead();
    evacuate("west-a", true);
    CHECK(isEvacuatedInTime("west-a"));
    waitForRead();
    // In one turn of the loop, so that the waiting read cannot see the revocation alone.
    task.call([this]() {
        relay->freeze();
        topic->evacuate("west-a", false);
        topic->append(2);
        topic->deleteRecords();
    });
    CHECK(isEvacuatedInTime("west-a", false));
}

/// Guards against EVAC: the entry has not read a request, or can't, and hears of it from a peer; an older state takes nothing back.
TEST(EvacuationFeed, statesOfPeersAreMerged)
{
    start();
    CHECK(isEvacuatedInTime("west-a", false));
    task.call([this]() {
        feed->offerEvacuations(stateOf(9, {{"west-a", 8}}), "peer");
        CHECK(cell::isEvacuated(feed->evacuations(), "west-a"));
        feed->offerEvacuations(stateOf(7, {}), "peer");
        CHECK(cell::isEvacuated(feed->evacuations(), "west-a"));
        feed->offerEvacuations(stateOf(10, {}), "peer");
        CHECK_FALSE(cell::isEvacuated(feed->evacuations(), "west-a"));
    });
}

/// Guards against a change for deployments that have no bound for evacuations; further calls to the store are penalized.
TEST(EvacuationFeed, withoutTheSettingNothingIsKnownAndNoFurtherPageIsRead)
{
    task.call([this]() {
        topic->limitPages(1);
        topic->evacuate("west-a", true);
    });
    start(false);
    waitForRead();
    task.call([this]() {
        CHECK_FALSE(cell::isKnown(feed->evacuations()));
        LONGS_EQUAL(1, topic->lists());
        feed->offerEvacuations(stateOf(9, {{"west-a", 8}}), "peer");
        CHECK_FALSE(cell::isKnown(feed->evacuations()));
    });
}
