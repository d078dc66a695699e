// A scheduler with a simulated clock whose records become durable immediately, for tests of its protocol and of its decisions under load.
#pragma once

#include "cell/builders.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace knapweed::cell
{

class SchedulerFixture : public Utest
{
protected:
    std::map<std::string, std::string> records; ///< durable records, by key
    BootTime now = BootTime(Milliseconds(1000000));
    WallTime wall = WallTime(Seconds(1800000000));
    Milliseconds lease = Milliseconds(6000);
    bool servesEvacuations = false;
    LoadPolicyOptions loadPolicy; ///< of the schedulers that makeScheduler() returns

    std::unique_ptr<Scheduler> makeScheduler(std::int64_t generation, const CellConfiguration &configuration = plainConfiguration())
    {
        std::unique_ptr<Scheduler> scheduler = std::make_unique<Scheduler>(SchedulerOptions {generation, lease, servesEvacuations, loadPolicy});
        scheduler->load(records, now, wall);
        scheduler->setConfiguration(configuration);
        scheduler->confirmTerm(now + Seconds(1), now, wall);
        scheduler->confirmLeases(BootTime::max()); // as the only entry
        scheduler->beginRecovery(now);
        scheduler->tick(now, wall);
        return scheduler;
    }

    /// Runs the scheduler until it writes nothing more, with all writes made durable and its term confirmed. Returns all messages.
    SchedulerOutput settle(Scheduler &scheduler)
    {
        SchedulerOutput all;
        scheduler.confirmTerm(now + Seconds(1), now, wall);
        for (int round = 0; round < 20; ++round) {
            scheduler.tick(now, wall);
            const SchedulerOutput output = scheduler.takeOutput();
            all.messages.insert(all.messages.end(), output.messages.begin(), output.messages.end());
            for (const StoreWrite &write : output.writes) {
                if (write.value.empty()) {
                    records.erase(write.key);
                } else {
                    records[write.key] = write.value;
                }
            }
            if (!output.writes.empty()) {
                scheduler.stored(output.lastWrite, now);
            }
        }
        return all;
    }

    SchedulerOutput send(Scheduler &scheduler, const std::string &peer, const PeerMessage &message)
    {
        scheduler.receive(peer, message, now, wall);
        return settle(scheduler);
    }

    std::vector<wire::StartOrder> startsOf(const SchedulerOutput &output)
    {
        std::vector<wire::StartOrder> orders;
        for (const auto &[peer, order] : messagesOf<wire::StartOrder>(output)) {
            orders.push_back(order);
        }
        return orders;
    }

    std::string stateOf(Scheduler &scheduler, const std::string &job)
    {
        const auto answers = messagesOf<wire::JobAnswer>(send(scheduler, "entry", callOf(wire::CallKind::Query, job)));
        return answers.empty()                                        ? std::string("none")
            : answers.front().second.outcome == wire::CallOutcome::Ok ? answers.front().second.state
                                                                      : std::string("missing");
    }

    void advance(Milliseconds time)
    {
        now += time;
        wall += time;
    }
};

} // namespace knapweed::cell
