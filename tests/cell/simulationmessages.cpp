// Messages between the processes of the simulation.

#include "cell/simulation.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds connectionWait {10000}; ///< messages without a connection are dropped after this time, as in PeerNetwork

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
        receiveAnswer(std::get<wire::JobAnswer>(message));
        return;
    }
    const wire::EvacuationState *state = std::get_if<wire::EvacuationState>(&message);
    if (to == plainEntry && state != nullptr) {
        entryEvacuations_ = merged(entryEvacuations_, evacuationsOf(*state));
    }
    const wire::StartResult *result = std::get_if<wire::StartResult>(&message);
    startsRefusedByEvacuation_ += result != nullptr && result->outcome == wire::StartOutcome::Evacuated ? 1 : 0;
    for (const std::shared_ptr<SchedulerNode> &node : schedulers_) {
        if (node->name == to && !node->isGone) {
            if (state != nullptr) {
                node->evacuations = merged(node->evacuations, evacuationsOf(*state));
                node->scheduler->applyEvacuations(node->evacuations, now_);
            }
            node->scheduler->receive(from, message, now_, WallTime(now_.time_since_epoch()));
            flush(*node);
        }
    }
}

} // namespace knapweed::cell
