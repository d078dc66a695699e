// Known faults in how an entry's configuration stays up to date. Each is listed in KNOWN-RED.txt; ctest runs them one by one.

#include "cell/builders.h"
#include "cell/configurationreads.h"
#include "cellcallerapi.h"
#include "configuration/topicstandin.h"

#include <memory>
#include <optional>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

TEST_GROUP(OpenFinding) {};

/// Guards against CONFIG: an entry whose configuration was outdated admitted a call to a queue that had been dropped, and the scheduler, which knew better,
/// carried it out.
TEST(OpenFinding, callThatAnOutdatedEntryAdmitsIsNotCarriedOut)
{
    const BootTime now(Milliseconds(1000000));
    const WallTime wall(Seconds(1800000000));
    cell::CellConfiguration outdated = cell::plainConfiguration();
    cell::CellConfiguration current = outdated;
    outdated.version = 9;
    current.version = 15;
    current.queues.pop_back();
    cell::Scheduler scheduler(cell::SchedulerOptions {1, Milliseconds(6000)});
    scheduler.load({}, now, wall);
    scheduler.setConfiguration(current);
    CallRelay relay([&](const wire::JobCall &call) {
        scheduler.receive("entry", call, now, wall);
        return true;
    });
    CellCallerApi api(outdated, relay);
    HttpRequest request;
    request.method = "GET";
    request.host = "host";
    request.path = "/later/";
    request.headers["authorization"] = "Token key";
    std::optional<int> status;
    api.handle(request, [&](const HttpResponse &response) {
        status = response.status;
    });
    for (const auto &[peer, message] : scheduler.takeOutput().messages) {
        relay.handleAnswer(std::get<wire::JobAnswer>(message));
    }
    CHECK(!status || *status != 200);
}
