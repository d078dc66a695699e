// Messages from the agent to the scheduler: the endpoint's state and lists, the outcomes of starts, and runs that are confirmed absent.

#include "cell/agent.h"

#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Seconds silentEndpointTimeout {5}; ///< more than two renewals of an endpoint without runs

} // namespace

void Agent::answerStart(const std::string &peer, const wire::StartOrder &order, wire::StartOutcome::type outcome, const std::string &detail)
{
    wire::StartResult result;
    result.generation = order.generation;
    result.endpoint = order.endpoint;
    result.born = order.born;
    result.run = order.run;
    result.outcome = outcome;
    result.detail = detail;
    result.sequence = reportNumber_;
    if (outcome == wire::StartOutcome::Evacuated && isKnown(evacuations_)) {
        result.__set_evacuations(wireEvacuations(evacuations_));
    }
    hooks_.send(peer, result);
}

/// Whether an end of the run is listed that is not stored durably yet.
bool Agent::hasListedEnd(const RunId &run) const
{
    return std::any_of(incarnation_->ended.begin(), incarnation_->ended.end(), [&run](const auto &end) {
        return end.second.run == run;
    });
}

/// Reports stopped runs that are missing from a later list: they can no longer start. How a listed run has ended is said by the reports only.
void Agent::reportAbsentRuns()
{
    for (auto stopped = incarnation_->stopped.begin(); stopped != incarnation_->stopped.end();) {
        const auto &[run, renewal] = *stopped;
        if (renewal >= incarnation_->appliedRenewal) {
            ++stopped;
            continue;
        }
        if (incarnation_->running.count(run) == 0 && !hasListedEnd(run) && !scheduler_.empty()) {
            wire::RunAbsent absent;
            absent.generation = generation_;
            absent.endpoint = incarnation_->status.id;
            absent.born = incarnation_->status.incarnation;
            absent.run = wireRef(run);
            hooks_.send(scheduler_, absent);
            incarnation_->ordered.erase(run);
        }
        stopped = incarnation_->stopped.erase(stopped);
    }
}

void Agent::report()
{
    if (!incarnation_ || scheduler_.empty()) {
        return;
    }
    const BootTime now = hooks_.now();
    // The scheduler counts each report as a renewal of the lease, which an endpoint that does not answer may not have received.
    if (!incarnation_->isGone && now - incarnation_->answeredAt >= silentEndpointTimeout) {
        return;
    }
    lastReport_ = now;
    wire::EndpointReport report;
    report.sequence = ++reportNumber_;
    report.life = options_.incarnation;
    report.sentAtMs = now.time_since_epoch().count();
    report.endpoint = incarnation_->status.id;
    report.born = incarnation_->status.incarnation;
    report.serviceName = incarnation_->status.service;
    report.failureDomain = failureDomain();
    report.rack = incarnation_->status.rack;
    report.labels = incarnation_->status.labels;
    report.milliCores = incarnation_->status.capacity.milliCores;
    report.memoryMib = incarnation_->status.capacity.memoryMib;
    report.accelerators = incarnation_->status.capacity.accelerators;
    report.draining = incarnation_->status.isDraining;
    const Milliseconds remaining = std::chrono::duration_cast<Milliseconds>(incarnation_->leavesAt - now);
    report.leavesInMs = incarnation_->status.isDraining ? std::max<std::int64_t>(0, remaining.count()) : incarnation_->status.remaining.count();
    report.generation = generation_;
    if (incarnation_->speedPermille > 0) {
        report.__set_speedPermille(incarnation_->speedPermille);
        report.__set_speedBorn(incarnation_->status.incarnation);
    }
    if (areLostRunsKnown_ && now < lostRunsExpireAt_) {
        for (const LostRun &lost : lostRuns_) {
            wire::LostRun row;
            row.run = wireRef(lost.run);
            row.isSettled = lost.isSettled;
            row.wasRunning = lost.wasRunning;
            report.lost.push_back(std::move(row));
        }
    }
    report.isListed = incarnation_->isGone || incarnation_->listedGeneration == generation_;
    for (const auto &[id, run] : incarnation_->running) {
        wire::RunRow row;
        row.run = wireRef(id);
        row.checkpoint = run.checkpoint;
        row.percent = run.percent;
        row.load = run.load;
        report.running.push_back(std::move(row));
    }
    for (const auto &[id, number] : incarnation_->started) {
        if (incarnation_->running.count(id) == 0) {
            wire::RunRow row;
            row.run = wireRef(id);
            report.running.push_back(std::move(row));
        }
    }
    for (const auto &[number, end] : incarnation_->ended) {
        wire::EndRow row;
        row.number = number;
        row.run = wireRef(end.run);
        row.how = wireOutcome(end.outcome);
        row.checkpoint = end.checkpoint;
        report.ended.push_back(std::move(row));
    }
    hooks_.send(scheduler_, report);
}

} // namespace knapweed::cell
