// Fixture for the tests of the agent: its scheduler, its endpoint and the clock are played by the test.
#pragma once

#include "cell/agent.h"
#include "cell/builders.h"
#include "cell/runwire.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

namespace knapweed::cell
{

TEST_BASE(AgentFixture)
{
    static constexpr const char *schedulerName = "scheduler";

    struct StartCall
    {
        StartRequest request;
        OrderCallback callback;
    };
    struct StopCall
    {
        StopRequest request;
        OrderCallback callback;
    };
    struct RenewalCall
    {
        RenewalRequest request;
        RenewalCallback callback;
    };

    BootTime now = BootTime(Milliseconds(1000000));
    std::vector<StartCall> starts;
    std::vector<StopCall> stops;
    std::vector<RenewalCall> renewals;
    std::vector<PeerMessage> sent;
    std::string endpointId = "i-1"; ///< the endpoint that answers at the address
    std::int64_t clock = 1000; ///< the endpoint's clock in milliseconds
    std::unique_ptr<Agent> agent;
    bool servesEvacuations = false; ///< to be set before setup()

    void setup() override
    {
        AgentHooks hooks;
        hooks.driver.start = [this](const StartRequest &request, OrderCallback callback) {
            starts.push_back({request, std::move(callback)});
        };
        hooks.driver.stop = [this](const StopRequest &request, OrderCallback callback) {
            stops.push_back({request, std::move(callback)});
        };
        hooks.driver.renewLease = [this](const RenewalRequest &request, RenewalCallback callback) {
            renewals.push_back({request, std::move(callback)});
        };
        hooks.send = [this](const std::string &, const PeerMessage &message) {
            sent.push_back(message);
        };
        hooks.now = [this]() {
            return now;
        };
        agent = std::make_unique<Agent>(AgentOptions {1, Milliseconds(6000), testService, "west-a", servesEvacuations}, std::move(hooks));
        agent->endpointReported(statusOf(100));
        wire::SchedulerNotice notice;
        notice.generation = 7;
        notice.address = schedulerName;
        agent->receive(schedulerName, notice);
        answerRenewals(100);
        grantLease(100);
    }

    EndpointStatus statusOf(std::int64_t incarnation)
    {
        EndpointStatus status;
        status.id = "i-1";
        status.incarnation = incarnation;
        status.sequence = 1;
        status.service = testService;
        return status;
    }

    /// Answers all renewals as the given incarnation does, which refuses calls that name another endpoint.
    void answerRenewals(std::int64_t incarnation)
    {
        while (!renewals.empty()) {
            const RenewalCall call = std::move(renewals.front());
            renewals.erase(renewals.begin());
            if (call.request.wait.count() > 0) {
                continue; // these tests never answer a renewal that waits
            }
            if (call.request.endpoint != endpointId) {
                call.callback(EndpointError {EndpointError::Kind::DifferentIncarnation, "status 421"});
                continue;
            }
            RenewalResult answer;
            answer.clock = Milliseconds(++clock);
            answer.incarnation = incarnation;
            call.callback(answer);
        }
    }

    /// Answers all renewals, also those that wait, with lists that hold no runs.
    void answerRenewalsWithEnds(const std::vector<ListedEnd> &ends)
    {
        answerRenewalsWithLists({}, ends);
    }

    /// Answers all renewals, also those that wait.
    void answerRenewalsWithLists(const std::vector<ListedRun> &running, const std::vector<ListedEnd> &ends, std::int64_t incarnation = 100)
    {
        while (!renewals.empty()) {
            const RenewalCall call = std::move(renewals.front());
            renewals.erase(renewals.begin());
            RenewalResult answer;
            answer.clock = Milliseconds(++clock);
            answer.incarnation = incarnation;
            answer.running = running;
            answer.ended = ends;
            call.callback(answer);
        }
    }

    /// The endpoint has started again under its id: it reports that, and confirms it when it is asked.
    void beginIncarnation(std::int64_t incarnation)
    {
        agent->endpointReported(statusOf(incarnation));
        answerRenewals(incarnation);
        LONGS_EQUAL(incarnation, lastReport().born);
    }

    /// Answers the oldest renewal alone, as the given incarnation does while it runs nothing.
    void answerOneRenewal(std::int64_t incarnation)
    {
        const RenewalCall call = std::move(renewals.front());
        renewals.erase(renewals.begin());
        RenewalResult answer;
        answer.clock = Milliseconds(++clock);
        answer.incarnation = incarnation;
        call.callback(answer);
    }

    /// Answers all renewals with lists that hold run 41 alone.
    void listRun(int percent)
    {
        answerRenewalsWithLists({{runIdOf(orderOf(41).run), "", percent, 0}}, {});
    }

    /// The endpoint closes the connections of the pending renewals, and then refuses new ones for the given number of rounds.
    void crashEndpoint(int refusedRounds)
    {
        now += Milliseconds(400);
        agent->tick();
        failRenewals(EndpointError::Kind::Unanswered);
        for (int i = 0; i < refusedRounds; ++i) {
            now += Milliseconds(300);
            agent->tick();
            failRenewals(EndpointError::Kind::ConnectionFailed);
        }
    }

    void grantLease(std::int64_t incarnation)
    {
        wire::EndpointGrant grant;
        grant.generation = 7;
        grant.sentAtMs = now.time_since_epoch().count();
        grant.endpoint = "i-1";
        grant.born = incarnation;
        agent->receive(schedulerName, grant);
    }

    wire::StartOrder orderOf(std::int64_t run)
    {
        wire::StartOrder order;
        order.generation = 7;
        order.endpoint = "i-1";
        order.born = 100;
        order.run = wireRef(RunId {TaskId {"job", 0, 0, 0}, run});
        return order;
    }

    wire::StopOrder stopOf(std::int64_t run)
    {
        wire::StopOrder order;
        order.generation = 7;
        order.endpoint = "i-1";
        order.born = 100;
        order.run = orderOf(run).run;
        return order;
    }

    void failOneStart(EndpointError::Kind kind)
    {
        const StartCall call = std::move(starts.front());
        starts.erase(starts.begin());
        call.callback(EndpointError {kind, "failed"});
    }

    std::vector<wire::StartResult> results()
    {
        std::vector<wire::StartResult> found;
        for (const PeerMessage &message : sent) {
            if (const wire::StartResult *result = std::get_if<wire::StartResult>(&message)) {
                found.push_back(*result);
            }
        }
        return found;
    }

    void failStarts(EndpointError::Kind kind)
    {
        while (!starts.empty()) {
            const StartCall call = std::move(starts.front());
            starts.erase(starts.begin());
            call.callback(EndpointError {kind, "failed"});
        }
    }

    wire::EndpointReport lastReport()
    {
        wire::EndpointReport last;
        for (const PeerMessage &message : sent) {
            if (const wire::EndpointReport *report = std::get_if<wire::EndpointReport>(&message)) {
                last = *report;
            }
        }
        return last;
    }

    bool isListedInLastReport()
    {
        return lastReport().isListed;
    }

    void startRun(std::int64_t run)
    {
        agent->receive(schedulerName, orderOf(run));
        starts.back().callback(Milliseconds(5));
    }

    /// Starts one run and reports that the endpoint is draining and leaves in @p remaining.
    void startAndDrain(Milliseconds remaining)
    {
        startRun(41);
        starts.clear();
        EndpointStatus status = statusOf(100);
        status.sequence = 2;
        status.isDraining = true;
        status.remaining = remaining;
        agent->endpointReported(status);
    }

    void failRenewals(EndpointError::Kind kind, bool isTimeout = false)
    {
        std::vector<RenewalCall> failing = std::move(renewals);
        renewals.clear();
        for (const RenewalCall &call : failing) {
            call.callback(EndpointError {kind, "failed", isTimeout});
        }
    }

    void announceNextScheduler()
    {
        wire::SchedulerNotice notice;
        notice.generation = 8;
        notice.address = "later";
        agent->receive("later", notice);
    }
};

} // namespace knapweed::cell
