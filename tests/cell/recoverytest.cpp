// Tests of the recovery after a change of scheduler: which units may be started before all recorded agents have reported the lists of their endpoints.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds reportInterval {500};
constexpr Milliseconds silentEndpointReports {5000}; ///< how long an agent goes on reporting for an endpoint that does not answer

} // namespace

TEST_GROUP_BASE(SchedulerRecovery, SchedulerFixture)
{
    BootTime leaseEnd; ///< of the runs of agent "a", as granted by the second scheduler
    wire::RunRef run;

    wire::EndpointReport silentReport(std::int64_t generation)
    {
        wire::EndpointReport report = reportOf("i-a", generation);
        report.isListed = false;
        report.sentAtMs = now.time_since_epoch().count();
        return report;
    }

    SchedulerOutput observeGrants(const SchedulerOutput &output)
    {
        for (const auto &[peer, grant] : messagesOf<wire::EndpointGrant>(output)) {
            if (peer == "a" && grant.sentAtMs > 0) {
                leaseEnd = std::max(leaseEnd, BootTime(Milliseconds(grant.sentAtMs)) + lease);
            }
        }
        return output;
    }

    /// Starts the job on the endpoint of agent "a" by a first scheduler, and returns the next one.
    std::unique_ptr<Scheduler> changeScheduler(const JobSpec &job)
    {
        std::unique_ptr<Scheduler> first = makeScheduler(1);
        send(*first, "a", reportOf("i-a", 1));
        const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(job)));
        CHECK_FALSE(starts.empty());
        run = starts.front().run;
        return makeScheduler(2);
    }

    /// Agent "a" reports for an endpoint that does not answer, agent "b" as usual. Returns when the job was started again; the epoch if it wasn't.
    BootTime playSilence(Scheduler & scheduler, Milliseconds silence, Milliseconds length)
    {
        const BootTime began = now;
        while (now - began < length) {
            advance(reportInterval);
            if (now - began <= silence) {
                observeGrants(send(scheduler, "a", silentReport(2)));
            }
            if (!startsOf(observeGrants(send(scheduler, "b", reportOf("i-b", 2)))).empty()) {
                return now;
            }
        }
        return BootTime();
    }
};

/// Guards against TWICE: the next scheduler extended the lease of an endpoint whose lists it could not read, and took its runs to be over when the leases of
/// the earlier scheduler were.
TEST(SchedulerRecovery, runsOfAnEndpointThatDoesNotAnswerAreAwaitedUntilTheLeaseGrantedMeanwhile)
{
    const std::unique_ptr<Scheduler> scheduler = changeScheduler(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}));
    const BootTime startedAt = playSilence(*scheduler, silentEndpointReports, 3 * lease);
    CHECK_TEXT(startedAt != BootTime(), "not started again after the lease");
    CHECK_TEXT(startedAt >= leaseEnd, "started again under a lease that is not over");
}

/// As above; the endpoint answers again before its lease is over, and the run goes on.
TEST(SchedulerRecovery, runOfAnEndpointThatAnswersAgainIsAdopted)
{
    const std::unique_ptr<Scheduler> scheduler = changeScheduler(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}));
    CHECK_TRUE(playSilence(*scheduler, silentEndpointReports, lease + Milliseconds(1000)) == BootTime());
    wire::EndpointReport report = reportOf("i-a", 2);
    report.running = {rowOf(run, 50)};
    const SchedulerOutput output = send(*scheduler, "a", report);
    LONGS_EQUAL(0, startsOf(output).size());
    LONGS_EQUAL(0, messagesOf<wire::StopOrder>(output).size());
    LONGS_EQUAL(1, scheduler->endpoints().at("a").runs.size());
}

/// Jobs that cannot run on the silent endpoint are not held up by it.
TEST(SchedulerRecovery, otherJobsStartWhileAnEndpointDoesNotAnswer)
{
    const std::unique_ptr<Scheduler> scheduler = changeScheduler(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}));
    advance(reportInterval);
    send(*scheduler, "a", silentReport(2));
    send(*scheduler, "b", reportOf("i-b", 2));
    LONGS_EQUAL(1, startsOf(send(*scheduler, "entry", submitOf(plainJob("j2", "usual", {plainStep(1, {1000, 100, 1})})))).size());
}

/// Guards against TWICE: a run that came late, after the lists had shown that it was not there, was not recorded, and the next scheduler did not wait for its
/// agent.
TEST(SchedulerRecovery, adoptedRunIsAwaitedByTheNextScheduler)
{
    std::unique_ptr<Scheduler> scheduler = changeScheduler(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}));
    wire::EndpointReport report = reportOf("i-a", 2);
    report.draining = true; // no start elsewhere or here
    send(*scheduler, "a", report);
    report = reportOf("i-a", 2);
    report.draining = true;
    report.running = {rowOf(run, 1)};
    send(*scheduler, "a", report);
    scheduler = makeScheduler(3);
    LONGS_EQUAL(0, startsOf(send(*scheduler, "b", reportOf("i-b", 3))).size());
}
