// The adviser and the endpoints of AdvisedCell.

#include "cell/advisedcell.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds stepTime {20};
constexpr Milliseconds reportInterval {500};
constexpr Milliseconds runTime {2500};
constexpr std::size_t maxWaitingCalls = 32;

std::string idOf(int endpoint)
{
    return "i-" + std::to_string(100 + endpoint);
}

std::string agentOf(int endpoint)
{
    return "a-" + std::to_string(100 + endpoint);
}

int endpointOf(const std::string &name)
{
    return std::stoi(name.substr(2)) - 100;
}

std::string textOf(const StepName &step)
{
    return std::get<0>(step) + '.' + std::to_string(std::get<1>(step)) + '.' + std::to_string(std::get<2>(step));
}

} // namespace

void AdvisedCell::open(const AdvisedCellOptions &options)
{
    options_ = options;
    random_ = options.seed;
    openedAt_ = now;
    for (int call = 0; call < options.earlierCalls; ++call) {
        AdviceRequest request;
        request.endpoints.assign(static_cast<std::size_t>(options.endpoints), "i-0");
        waiting_.push_back({request, 0, now, true});
    }
    changeScheduler();
}

void AdvisedCell::changeScheduler(bool areQueuesRemoved)
{
    for (Call &call : waiting_) {
        call.isAbandoned = true;
        call.generation = 0;
    }
    unheard_.clear();
    CellConfiguration configuration = plainConfiguration();
    configuration.version = 2;
    for (Queue &queue : configuration.queues) {
        queue.advice = options_.policy;
    }
    if (areQueuesRemoved) {
        configuration.queues.clear();
    }
    scheduler_ = makeScheduler(++generation_, configuration);
    reportedAt_ = BootTime();
}

void AdvisedCell::submitJobs(int count, const std::string &queue, int tasks, bool isGang, std::int64_t accelerators)
{
    for (int job = 0; job < count; ++job) {
        Step step = plainStep(tasks, {1000, 1000, accelerators});
        step.isGang = isGang;
        scheduler_->receive("entry", submitOf(plainJob("job" + std::to_string(++jobs_), queue, {step})), now, wall);
        expectedTasks_ += static_cast<std::size_t>(tasks);
    }
}

Milliseconds AdvisedCell::runFor(Milliseconds span)
{
    const BootTime beganAt = now;
    while (now - beganAt < span && started_.size() < expectedTasks_) {
        step();
    }
    return now - beganAt;
}

void AdvisedCell::step()
{
    advance(stepTime);
    scheduler_->confirmTerm(now + Seconds(1), now, wall);
    if (now - reportedAt_ >= reportInterval) {
        reportedAt_ = now;
        for (int endpoint = 0; endpoint < options_.endpoints; ++endpoint) {
            report(endpoint);
        }
    }
    process();
    scheduler_->tick(now, wall);
    for (int round = 0; round < 3; ++round) {
        const SchedulerOutput output = scheduler_->takeOutput();
        for (const StoreWrite &write : output.writes) {
            records[write.key] = write.value;
        }
        if (!output.writes.empty()) {
            scheduler_->stored(output.lastWrite, now);
        }
        for (const AdviceRequest &request : output.adviceRequests) {
            receiveCall(request);
        }
        for (const auto &[agent, order] : messagesOf<wire::StartOrder>(output)) {
            receiveStart(agent, order);
        }
    }
}

int AdvisedCell::drawPercent()
{
    random_ = random_ * 1664525 + 1013904223;
    return static_cast<int>((random_ >> 16) % 100);
}

void AdvisedCell::receiveCall(const AdviceRequest &request)
{
    ++calls_;
    CHECK(request.endpoints.size() <= maxAdviceEndpoints && !request.endpoints.empty());
    if (waiting_.size() > maxWaitingCalls || now - openedAt_ < options_.refusesUntil) {
        ++refusedCalls_;
        scheduler_->handleAdvice(request.number, AdviceFailure::Refused, now);
        return;
    }
    namedEndpoints_ += request.endpoints.size();
    const Call call {request, generation_, now};
    if (now - openedAt_ < options_.silentUntil) {
        unheard_.push_back(call);
    } else {
        waiting_.push_back(call);
    }
}

/// Calls are processed one after the other. Callers give theirs up when their time is over.
void AdvisedCell::process()
{
    const auto isOver = [this](const Call &call) {
        return now - call.sentAt >= call.request.timeout;
    };
    for (std::deque<Call>::iterator call = waiting_.begin(); call != waiting_.end(); ++call) {
        if (!call->isAbandoned && isOver(*call)) {
            call->isAbandoned = true;
            scheduler_->handleAdvice(call->request.number, AdviceFailure::Unanswered, now);
        }
    }
    const std::vector<Call> unheard = unheard_;
    std::erase_if(unheard_, isOver);
    for (const Call &call : unheard) {
        if (isOver(call)) {
            scheduler_->handleAdvice(call.request.number, AdviceFailure::Unanswered, now);
        }
    }
    if (options_.dropsAbandonedCalls) {
        std::erase_if(waiting_, [](const Call &call) {
            return call.isAbandoned;
        });
    }
    while (!waiting_.empty()) {
        if (processedAt_ == BootTime()) {
            const double stated = double(adviceTime(options_.policy, waiting_.front().request.endpoints.size()).count());
            processedAt_ = now + Milliseconds(std::llround(stated * options_.slowness));
        }
        if (now < processedAt_) {
            return;
        }
        processedAt_ = BootTime();
        const Call call = waiting_.front();
        waiting_.pop_front();
        answer(call);
    }
}

bool AdvisedCell::isAllowed(const StepName &step, const std::string &endpoint) const
{
    const std::string &job = std::get<0>(step);
    const int sure = static_cast<int>(std::hash<std::string>()(job) % static_cast<std::size_t>(options_.endpoints));
    return endpointOf(endpoint) == sure || std::hash<std::string>()(job + endpoint) % 100 < static_cast<std::size_t>(options_.allowedPercent);
}

void AdvisedCell::answer(const Call &call)
{
    if (call.generation != generation_) {
        return;
    }
    AdviceReply reply;
    for (const std::string &endpoint : call.request.endpoints) {
        if (isAllowed(call.request.step, endpoint)) {
            const std::string ticket = textOf(call.request.step) + '@' + std::to_string(call.request.number) + '@' + endpoint;
            reply.allowed.emplace_back(endpoint, ticket);
            validUntil_[{ticket, endpoint}] = (options_.isValidFromRequest ? call.sentAt : now) + options_.policy.validity;
        }
    }
    if (call.isAbandoned) {
        return;
    }
    if (drawPercent() < options_.lostPercent) {
        unheard_.push_back(call);
        return;
    }
    scheduler_->handleAdvice(call.request.number, reply, now);
}

void AdvisedCell::receiveStart(const std::string &agent, const wire::StartOrder &order)
{
    wire::StartResult result;
    result.generation = generation_;
    result.endpoint = order.endpoint;
    result.born = order.born;
    result.run = order.run;
    result.outcome = wire::StartOutcome::Started;
    const auto ticket = validUntil_.find({order.ticket, order.endpoint});
    if (ticket == validUntil_.end() || ticket->second < now + stepTime) {
        ++rejectedStarts_;
        result.outcome = wire::StartOutcome::BadTicket;
    } else {
        const int endpoint = endpointOf(order.endpoint);
        runs_[endpoint].push_back({order.run, now + runTime});
        started_.insert(order.run.job + '.' + std::to_string(order.run.index));
    }
    scheduler_->receive(agent, result, now, wall);
}

void AdvisedCell::report(int endpoint)
{
    std::vector<Run> &runs = runs_[endpoint];
    std::vector<wire::EndRow> &ends = ends_[endpoint];
    for (const Run &run : runs) {
        if (run.endsAt <= now) {
            ends.push_back(endOf(static_cast<std::int64_t>(ends.size()) + 1, run.run, wire::RunEnding::Done));
        }
    }
    std::erase_if(runs, [this](const Run &run) {
        return run.endsAt <= now;
    });
    wire::EndpointReport report = reportOf(idOf(endpoint), generation_, "r" + std::to_string(endpoint / 3));
    report.sentAtMs = now.time_since_epoch().count();
    for (const Run &run : runs) {
        const double done = 1 - double((run.endsAt - now).count()) / double(runTime.count());
        report.running.push_back(rowOf(run.run, static_cast<int>(100 * done)));
    }
    report.ended = ends;
    scheduler_->receive(agentOf(endpoint), report, now, wall);
}

} // namespace knapweed::cell
