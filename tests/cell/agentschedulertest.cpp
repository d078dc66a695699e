// An agent and a scheduler together, over messages that are delivered at once: what becomes of the runs of an endpoint whose agent can no longer read its
// lists.

#include "cell/agent.h"
#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentAndScheduler, SchedulerFixture)
{
    std::vector<std::function<void()>> answers; ///< of the endpoint, not delivered yet
    std::vector<PeerMessage> sent; ///< by the agent, not delivered yet
    std::vector<RunId> running;
    std::vector<std::string> started; ///< receiver of each start order
    bool isReadable = true; ///< the endpoint answers renewals
    std::unique_ptr<Scheduler> scheduler;
    std::unique_ptr<Agent> agent;

    void setup() override
    {
        scheduler = makeScheduler(1);
        AgentHooks hooks;
        hooks.driver.renewLease = [this](const RenewalRequest &, const RenewalCallback &callback) {
            answers.push_back([this, callback]() {
                if (!isReadable) {
                    callback(EndpointError {EndpointError::Kind::DifferentIncarnation, "status 421"});
                    return;
                }
                RenewalResult answer;
                answer.clock = now.time_since_epoch();
                answer.incarnation = 100;
                for (const RunId &run : running) {
                    answer.running.push_back({run, "", 10, 0});
                }
                callback(answer);
            });
        };
        hooks.driver.start = [this](const StartRequest &request, const OrderCallback &callback) {
            running.push_back(request.run);
            answers.push_back([this, callback]() {
                callback(now.time_since_epoch());
            });
        };
        hooks.driver.stop = [this](const StopRequest &, const OrderCallback &callback) {
            answers.push_back([callback]() {
                callback(EndpointError {EndpointError::Kind::DifferentIncarnation, "status 421"});
            });
        };
        hooks.send = [this](const std::string &, const PeerMessage &message) {
            sent.push_back(message);
        };
        hooks.now = [this]() {
            return now;
        };
        agent = std::make_unique<Agent>(AgentOptions {1, lease}, std::move(hooks));
        wire::SchedulerNotice notice;
        notice.generation = 1;
        notice.address = "scheduler";
        agent->receive("scheduler", notice);
        EndpointStatus status;
        status.id = "i-a";
        status.incarnation = 100;
        status.sequence = 1;
        status.service = testService;
        status.capacity = {16000, 65536, 8};
        agent->endpointReported(status);
    }

    void deliver(const SchedulerOutput &output)
    {
        for (const auto &[peer, message] : output.messages) {
            if (std::holds_alternative<wire::StartOrder>(message)) {
                started.push_back(peer);
            }
            if (peer == "a") {
                agent->receive("scheduler", message);
            }
        }
    }

    void play(Milliseconds time)
    {
        for (const BootTime end = now + time; now < end; advance(Milliseconds(100))) {
            agent->tick();
            std::vector<std::function<void()>> due;
            due.swap(answers);
            for (const std::function<void()> &answer : due) {
                answer();
            }
            std::vector<PeerMessage> messages;
            messages.swap(sent);
            for (const PeerMessage &message : messages) {
                deliver(send(*scheduler, "a", message));
            }
            deliver(settle(*scheduler));
        }
    }
};

/// The lease of such an endpoint ends, and its runs with it. A scheduler that counts each report as a renewal never learns this, and the task is lost.
TEST(AgentAndScheduler, runsOfAnEndpointWhoseListsCannotBeReadAreStartedElsewhereAfterTheirLease)
{
    Step step = plainStep(1, {1000, 100, 1});
    step.isLongRunning = true;
    play(Seconds(1));
    deliver(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {step}))));
    play(Seconds(2));
    LONGS_EQUAL(1, started.size());
    LONGS_EQUAL(1, running.size());
    isReadable = false;
    for (int second = 0; second < 20; ++second) {
        deliver(send(*scheduler, "b", reportOf("i-b", 1)));
        play(Seconds(1));
    }
    LONGS_EQUAL(2, started.size());
}
