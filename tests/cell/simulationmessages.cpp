// Messages between the processes of the simulation.

#include "cell/simulation.h"

namespace knapweed::cell
{

bool Simulation::isDisconnected(const std::string &process) const
{
    const auto agent = agents_.find(process);
    return agent != agents_.end() && (now_ < agent->second.disconnectedUntil || now_ < agent->second.downUntil);
}

void Simulation::deliver(const std::string &from, const std::string &to, const PeerMessage &message)
{
    if (isDisconnected(from) || isDisconnected(to) || (injectsFaults_ && chance() < options_.messageLossShare)) {
        return;
    }
    after(between(1, 5), [this, from, to, message]() {
        if (!isDisconnected(to)) {
            receive(from, to, message);
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
        if (kind == wire::CallKind::Submit && answer.outcome == wire::CallOutcome::Ok) {
            accepted_.insert(job);
        } else if (kind == wire::CallKind::Cancel && answer.outcome == wire::CallOutcome::Ok && reportedSucceeded_.count(job) == 0) {
            // Until then, orders that were sent before the cancel may still arrive; the longest delay of messages is shorter than this.
            after(Milliseconds(4000), [this, job = job]() {
                cancelled_.insert(job);
            });
        } else if (kind == wire::CallKind::Query) {
            if (answer.outcome == wire::CallOutcome::Missing && accepted_.count(job) != 0) {
                shared_.violations.push_back("an accepted job is missing: " + job);
            }
            if (reportedSucceeded_.count(job) != 0 && answer.outcome == wire::CallOutcome::Ok && answer.state != "succeeded") {
                shared_.violations.push_back("a job that was reported as succeeded is " + answer.state + ": " + job);
            }
            if (answer.state == "succeeded") {
                reportedSucceeded_.insert(job);
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
