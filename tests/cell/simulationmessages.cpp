// Messages between the processes of the simulation.

#include "cell/simulation.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds connectionWait {10000}; ///< messages without a connection are dropped after this time, as in PeerNetwork
constexpr Milliseconds longestDelay {4000}; ///< of orders that are carried out: later ones are refused

} // namespace

bool Simulation::isDown(const std::string &process) const
{
    const auto agent = agents_.find(process);
    return agent != agents_.end() && now_ < agent->second.downUntil;
}

bool Simulation::isDisconnected(const std::string &process) const
{
    const auto agent = agents_.find(process);
    const auto known = processes_.find(process);
    return (agent != agents_.end() && (now_ < agent->second.disconnectedUntil || now_ < agent->second.downUntil))
        || (known != processes_.end() && now_ < known->second.disconnectedUntil);
}

bool Simulation::isPaused(const std::string &process) const
{
    const auto known = processes_.find(process);
    return known != processes_.end() && now_ < known->second.pausedUntil;
}

/// Whether messages without a connection are kept. What a process has not sent yet is lost when it ends.
bool Simulation::waitsForConnection(const std::string &from, const std::string &to) const
{
    return !isDown(from) && (isDown(to) ? options_.restartsAgents : options_.delaysMessages);
}

void Simulation::wait(const std::string &from, const std::string &to, std::uint64_t number, const PeerMessage &message)
{
    WaitingMessages &queue = waiting_[{from, to}];
    if (queue.messages.empty()) {
        queue.since = now_;
    }
    queue.messages[number] = message;
}

void Simulation::deliverWaiting()
{
    std::erase_if(waiting_, [this](const auto &queue) {
        return now_ - queue.second.since > connectionWait;
    });
    std::vector<std::pair<std::string, std::string>> connected;
    for (const auto &[processes, queue] : waiting_) {
        if (!isDisconnected(processes.first) && !isDisconnected(processes.second)) {
            connected.push_back(processes);
        }
    }
    for (const std::pair<std::string, std::string> &processes : connected) {
        const auto &[from, to] = processes;
        const auto agent = agents_.find(from);
        if (agent != agents_.end()) {
            whenAwake(from, [target = &agent->second, to = to]() {
                target->agent->connected(to);
            });
        }
        const WaitingMessages queue = std::move(waiting_.at(processes));
        waiting_.erase(processes);
        for (const auto &[number, message] : queue.messages) {
            whenAwake(to, [this, from = from, to = to, message = message]() {
                receive(from, to, message);
            });
        }
    }
}

void Simulation::whenAwake(const std::string &process, std::function<void()> event)
{
    if (isPaused(process)) {
        processes_.at(process).arrived.push_back(std::move(event));
    } else {
        event();
    }
}

/// A process that goes on may handle its timers before what has arrived.
void Simulation::wake()
{
    for (auto &[name, process] : processes_) {
        if (process.arrived.empty() || isPaused(name)) {
            continue;
        }
        const std::vector<std::function<void()>> arrived = std::move(process.arrived);
        process.arrived.clear();
        if (independentChance() < 0.5) {
            tick(name);
        }
        for (const std::function<void()> &event : arrived) {
            event();
        }
    }
}

void Simulation::deliver(const std::string &from, const std::string &to, const PeerMessage &message)
{
    const std::uint64_t number = ++lastMessage_;
    if (isDisconnected(from) || isDisconnected(to)) {
        if (waitsForConnection(from, to)) {
            wait(from, to, number, message);
        }
        return;
    }
    if (injectsFaults_ && chance() < options_.messageLossShare) {
        return;
    }
    after(between(1, 5), [this, from, to, number, message]() {
        if (!isDisconnected(to)) {
            whenAwake(to, [this, from, to, message]() {
                receive(from, to, message);
            });
        } else if (waitsForConnection(from, to)) {
            wait(from, to, number, message);
        }
    });
}

void Simulation::receive(const std::string &from, const std::string &to, const PeerMessage &message)
{
    const auto agent = agents_.find(to);
    if (agent != agents_.end()) {
        agent->second.agent->receive(from, message);
        return;
    }
    if (to == "caller") {
        const wire::JobAnswer &answer = std::get<wire::JobAnswer>(message);
        const auto &[kind, job] = calls_[answer.call];
        // The answers of an earlier scheduler may arrive after those of its successor.
        const bool mayOvertake = options_.pausesSchedulers || (options_.delaysMessages && options_.changesSchedulers);
        if (kind == wire::CallKind::Submit && answer.outcome == wire::CallOutcome::Ok) {
            accepted_.insert(job);
        } else if (kind == wire::CallKind::Cancel && answer.outcome == wire::CallOutcome::Ok && reportedSucceeded_.count(job) == 0) {
            // Until then, orders that were sent before the cancel may still be carried out.
            after(longestDelay, [this, job = job]() {
                cancelled_.insert(job);
            });
        } else if (kind == wire::CallKind::Query) {
            if (answer.outcome == wire::CallOutcome::Missing && accepted_.count(job) != 0) {
                shared_.violations.push_back("an accepted job is missing: " + job);
            }
            const bool isEarlier = mayOvertake && lastCallBeforeSuccess_.count(job) != 0 && answer.call <= lastCallBeforeSuccess_[job];
            if (!isEarlier && reportedSucceeded_.count(job) != 0 && answer.outcome == wire::CallOutcome::Ok && answer.state != "succeeded") {
                shared_.violations.push_back("a job that was reported as succeeded is " + answer.state + ": " + job);
            }
            if (answer.state == "succeeded") {
                reportedSucceeded_.insert(job);
                lastCallBeforeSuccess_.insert({job, lastCall_});
            }
        }
        return;
    }
    for (const std::shared_ptr<SchedulerNode> &node : schedulers_) {
        if (node->name == to && !node->isGone) {
            node->scheduler->receive(from, message, now_, WallTime(now_.time_since_epoch()));
            flush(*node);
        }
    }
}

} // namespace knapweed::cell
