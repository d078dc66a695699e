// The admission of callers' calls against a scheduler whose configuration may be newer than the entry's.

#include "cell/builders.h"
#include "cellcallerapi.h"

#include <memory>
#include <optional>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

TEST_GROUP(CellCallerApi)
{
    const BootTime now = BootTime(Milliseconds(1000000));
    const WallTime wall = WallTime(Seconds(1800000000));
    const cell::CellConfiguration earlier = cell::plainConfiguration(); ///< without the queue "added"; with "later"
    cell::CellConfiguration later; ///< with "added"; without "later"
    cell::CellConfiguration configuration; ///< of the entry
    std::unique_ptr<cell::Scheduler> scheduler;
    std::unique_ptr<CallRelay> relay;
    std::unique_ptr<CellCallerApi> api;
    bool isConfirmed = true;
    bool isSchedulerReached = true;
    int sendings = 0;
    std::optional<int> status;

    void setup() override
    {
        later = earlier;
        later.version = earlier.version + 6;
        later.queues.back().name = "added";
        later.queues.back().pathPrefix = "/added/";
        configuration = earlier;
        startScheduler(1, later);
        relay = std::make_unique<CallRelay>([this](const wire::JobCall &call) {
            sendings += isSchedulerReached ? 1 : 0;
            if (isSchedulerReached) {
                scheduler->receive("entry", call, now, wall);
            }
            return isSchedulerReached;
        });
        relay->configurationChanged(configuration.version);
        api = std::make_unique<CellCallerApi>(configuration, *relay, [this]() {
            return isConfirmed;
        });
    }

    void startScheduler(std::int64_t generation, const cell::CellConfiguration &known)
    {
        scheduler = std::make_unique<cell::Scheduler>(cell::SchedulerOptions {generation, Milliseconds(6000)});
        scheduler->load({}, now, wall);
        scheduler->setConfiguration(known);
        scheduler->confirmTerm(now + Seconds(1), now, wall);
    }

    void deliverAnswers()
    {
        for (const auto &[peer, message] : scheduler->takeOutput().messages) {
            relay->handleAnswer(std::get<wire::JobAnswer>(message));
        }
    }

    /// Sends a request with a valid key to the entry. The answers of the scheduler are not delivered yet.
    void send(const std::string &method, const std::string &path, const std::string &body = {})
    {
        HttpRequest request;
        request.method = method;
        request.host = "host";
        request.path = path;
        request.headers["authorization"] = "Token key";
        request.body = body;
        api->handle(request, [this](const HttpResponse &response) {
            status = response.status;
        });
    }

    /// Asks for the count of the queue at @p path.
    void count(const std::string &path)
    {
        send("GET", path);
        deliverAnswers();
    }

    /// The later configuration arrives at the entry.
    void update()
    {
        configuration = later;
        relay->configurationChanged(configuration.version);
        deliverAnswers();
    }

    void expire()
    {
        relay->tick(std::chrono::steady_clock::now() + Seconds(10));
    }
};

/// Guards against CONFIG: an entry whose configuration was outdated admitted a call to a queue that had been dropped, and the scheduler, which knew better,
/// carried it out.
TEST(CellCallerApi, callThatAnOutdatedEntryAdmitsIsNotCarriedOut)
{
    count("/later/");
    CHECK(!status);
    update();
    LONGS_EQUAL(404, status.value_or(0));
}

/// Guards against CONFIG: an entry whose configuration was outdated refused a call to a queue that had been added.
TEST(CellCallerApi, refusalOfAnEntryThatTheStoreHasNotConfirmedIsCheckedWithTheScheduler)
{
    isConfirmed = false;
    count("/added/");
    CHECK(!status);
    update();
    LONGS_EQUAL(200, status.value_or(0));
}

/// Guards against CONFIG: a call that waited for a scheduler was carried out by the configuration of its arrival.
TEST(CellCallerApi, callThatWaitsForASchedulerIsAdmittedAnewWhenTheConfigurationChanges)
{
    isSchedulerReached = false;
    count("/later/");
    update();
    LONGS_EQUAL(404, status.value_or(0));
}

TEST(CellCallerApi, callToAQueueThatStaysIsCarriedOutAfterTheChange)
{
    count("/usual/");
    CHECK(!status);
    update();
    LONGS_EQUAL(200, status.value_or(0));
    LONGS_EQUAL(2, sendings);
}

TEST(CellCallerApi, outdatedCallIsReportedAsNotRunWhenTheNewerConfigurationDoesNotArrive)
{
    count("/usual/");
    expire();
    LONGS_EQUAL(503, status.value_or(0));
}

/// Guards against REFUSED: the repeat of a submission whose answer was lost was refused because its queue had been dropped since, and the job ran.
TEST(CellCallerApi, acceptedSubmissionIsNotRefusedWhenItsQueueHasBeenDropped)
{
    startScheduler(2, earlier);
    send("POST", "/later/00000000000000aa", R"({"spec":"text","steps":[{"count":1,"cpu":100,"memMb":10}]})");
    scheduler->stored(scheduler->takeOutput().lastWrite, now);
    scheduler->takeOutput(); // the answer, which is lost
    scheduler->setConfiguration(later);
    relay->schedulerChanged(2, std::chrono::steady_clock::now());
    deliverAnswers();
    LONGS_EQUAL(200, status.value_or(0));
}

TEST(CellCallerApi, refusalIsAnsweredAtOnceWhileTheStoreConfirmsTheConfiguration)
{
    count("/unknown/");
    LONGS_EQUAL(404, status.value_or(0));
    LONGS_EQUAL(0, sendings);
}

/// Guards against UNASKED: an entry whose configuration was outdated acknowledged the cancel of a job although it had taken another queue's path for its id.
TEST(CellCallerApi, cancelWhosePathNamesNoJobIsCheckedWithTheScheduler)
{
    isConfirmed = false;
    configuration = later;
    relay->configurationChanged(configuration.version);
    send("DELETE", "/usual/not-a-job");
    CHECK(!status);
    deliverAnswers();
    LONGS_EQUAL(410, status.value_or(0));
}

TEST(CellCallerApi, unconfirmedEntryWithoutASchedulerAsksCallersToComeAgain)
{
    isConfirmed = false;
    isSchedulerReached = false;
    count("/unknown/");
    CHECK(!status);
    expire();
    LONGS_EQUAL(503, status.value_or(0));
}

TEST(CellCallerApi, schedulerWithAnOlderConfigurationCarriesOutTheCall)
{
    update();
    startScheduler(2, earlier);
    count("/added/");
    LONGS_EQUAL(200, status.value_or(0));
}
