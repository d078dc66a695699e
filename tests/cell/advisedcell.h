// A scheduler, endpoints that start nothing without a valid ticket, and an adviser, on one simulated clock.
#pragma once

#include "cell/schedulerfixture.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace knapweed::cell
{

struct AdvisedCellOptions
{
    int endpoints = 62;
    AdvicePolicy policy {true, Milliseconds(100), Milliseconds(50), Milliseconds(10000)};
    int allowedPercent = 60; ///< share of the endpoints that a step may use; at least one
    bool isValidFromRequest = false; ///< else from the reply
    bool dropsAbandonedCalls = false; ///< else a call is processed although its caller has given it up
    int lostPercent = 0; ///< share of the replies that don't arrive
    double slowness = 1; ///< of the adviser, relative to the policy
    int earlierCalls = 0; ///< of an earlier process of the machine; they wait at the adviser from the beginning
    Milliseconds refusesUntil {0}; ///< from the beginning
    Milliseconds silentUntil {0}; ///< from the beginning; calls are neither processed nor answered
    std::uint32_t seed = 1;
};

class AdvisedCell : public SchedulerFixture
{
protected:
    void open(const AdvisedCellOptions &options);
    void submitJobs(int count, const std::string &queue = "usual", int tasks = 1, bool isGang = false, std::int64_t accelerators = 1);
    /// The scheduler loses its state; calls that wait at the adviser go on for nobody.
    void changeScheduler(bool areQueuesRemoved = false);
    /// Runs until all jobs have ended or @p span is over. Returns the time that passed.
    Milliseconds runFor(Milliseconds span);

    std::size_t startedTasks() const
    {
        return started_.size();
    }

    std::set<std::string> started_; ///< tasks, by job and index
    int rejectedStarts_ = 0; ///< for want of a valid ticket
    int calls_ = 0;
    int refusedCalls_ = 0;
    std::size_t namedEndpoints_ = 0;
    std::unique_ptr<Scheduler> scheduler_;

private:
    struct Call
    {
        AdviceRequest request;
        std::int64_t generation = 0; ///< of its caller; 0 if that is gone
        BootTime sentAt;
        bool isAbandoned = false;
    };

    struct Run
    {
        wire::RunRef run;
        BootTime endsAt;
    };

    void step();
    void process();
    void receiveCall(const AdviceRequest &request);
    void answer(const Call &call);
    void receiveStart(const std::string &agent, const wire::StartOrder &order);
    void report(int endpoint);
    bool isAllowed(const StepName &step, const std::string &endpoint) const;
    int drawPercent();

    AdvisedCellOptions options_;
    std::uint32_t random_ = 0; ///< state of the generator of the draws
    BootTime openedAt_;
    BootTime reportedAt_;
    std::int64_t generation_ = 0;
    std::deque<Call> waiting_; ///< at the adviser; the first one is being processed
    BootTime processedAt_; ///< when the first one will have been
    std::vector<Call> unheard_; ///< their replies will not arrive
    std::map<std::pair<std::string, std::string>, BootTime> validUntil_; ///< by ticket and endpoint
    std::map<int, std::vector<Run>> runs_; ///< by endpoint
    std::map<int, std::vector<wire::EndRow>> ends_; ///< by endpoint
    int jobs_ = 0;
    std::size_t expectedTasks_ = 0;
};

} // namespace knapweed::cell
