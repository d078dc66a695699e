// What the agent tells the scheduler: its endpoint's state and lists, the fate of starts, and runs that are surely absent.

#include "cell/agent.h"

#include "cell/runwire.h"

namespace knapweed::cell
{

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
    hooks_.send(peer, result);
}

/// Tells the scheduler of stopped runs that a later list doesn't hold: they can't come any more. The report with their ends goes before.
void Agent::reportAbsent()
{
    for (auto stopped = boot_->stopped.begin(); stopped != boot_->stopped.end();) {
        if (stopped->second >= boot_->listNumber || boot_->running.count(stopped->first) != 0) {
            stopped = stopped->second >= boot_->listNumber ? std::next(stopped) : boot_->stopped.erase(stopped);
            continue;
        }
        wire::RunAbsent absent;
        absent.generation = generation_;
        absent.endpoint = boot_->status.id;
        absent.born = boot_->status.born;
        absent.run = wireRef(stopped->first);
        if (!scheduler_.empty()) {
            hooks_.send(scheduler_, absent);
        }
        stopped = boot_->stopped.erase(stopped);
    }
}

void Agent::report()
{
    if (!boot_ || scheduler_.empty()) {
        return;
    }
    const BootTime now = hooks_.now();
    lastReport_ = now;
    wire::EndpointReport report;
    report.sequence = ++reportNumber_;
    report.life = options_.life;
    report.sentAtMs = now.time_since_epoch().count();
    report.endpoint = boot_->status.id;
    report.born = boot_->status.born;
    report.serviceName = boot_->status.service;
    report.failureDomain = boot_->status.failureDomain;
    report.rack = boot_->status.rack;
    report.labels = boot_->status.labels;
    report.milliCores = boot_->status.capacity.milliCores;
    report.memoryMib = boot_->status.capacity.memoryMib;
    report.accelerators = boot_->status.capacity.accelerators;
    report.draining = boot_->status.isDraining;
    report.leavesInMs = boot_->status.remaining.count();
    report.generation = generation_;
    report.isListed = boot_->isGone || boot_->listedGeneration == generation_;
    for (const auto &[id, run] : boot_->running) {
        wire::RunRow row;
        row.run = wireRef(id);
        row.checkpoint = run.checkpoint;
        row.percent = run.percent;
        row.load = run.load;
        report.running.push_back(std::move(row));
    }
    for (const auto &[id, number] : boot_->started) {
        if (boot_->running.count(id) == 0) {
            wire::RunRow row;
            row.run = wireRef(id);
            report.running.push_back(std::move(row));
        }
    }
    for (const auto &[number, end] : boot_->ended) {
        wire::EndRow row;
        row.number = number;
        row.run = wireRef(end.run);
        row.how = wireEnd(end.how);
        row.checkpoint = end.checkpoint;
        report.ended.push_back(std::move(row));
    }
    hooks_.send(scheduler_, report);
}

} // namespace knapweed::cell
