// Conversion between the types of the wire and those of the planner.

#include "placement/plannerhost.h"

#include <algorithm>

namespace knapweed
{

namespace
{

constexpr Milliseconds expiryCheckInterval {500};

planning::Adjacency toPlanning(wire::Adjacency::type adjacency)
{
    switch (adjacency) {
    case wire::Adjacency::Worker:
        return planning::Adjacency::Worker;
    case wire::Adjacency::Rack:
        return planning::Adjacency::Rack;
    case wire::Adjacency::None:
        break;
    }
    return planning::Adjacency::None;
}

planning::Shape toShape(const wire::JobSpec &spec)
{
    planning::Shape shape;
    shape.tasks = spec.tasks;
    shape.acceleratorsPerTask = spec.acceleratorsPerTask;
    shape.processorsPerTask = spec.processorsPerTask;
    shape.memoryMibPerTask = spec.memoryMibPerTask;
    shape.adjacency = toPlanning(spec.adjacency);
    return shape;
}

planning::Shape toShape(const GuaranteedShape &guaranteed)
{
    planning::Shape shape;
    shape.tasks = guaranteed.tasks;
    shape.acceleratorsPerTask = guaranteed.acceleratorsPerTask;
    shape.adjacency = toPlanning(guaranteed.adjacency);
    return shape;
}

planning::Part toPart(MonotonicTime now, const wire::RunningPart &running)
{
    planning::Part part;
    part.job = running.attempt.job;
    part.attemptOwner = running.attempt.owner;
    part.attemptNumber = running.attempt.number;
    part.account = running.account;
    part.kind = running.kind;
    part.lead = running.lead;
    part.accelerators.assign(running.accelerators.begin(), running.accelerators.end());
    part.gangSize = running.gangSize;
    part.checkpointable = running.checkpointable;
    part.repeatable = running.repeatable;
    part.startedAt = now - Milliseconds(running.runningMs);
    part.checkpointedAt = now - Milliseconds(running.sinceCheckpointMs);
    return part;
}

planning::Worker toWorker(MonotonicTime now, const wire::AgentReport &report)
{
    planning::Worker worker;
    worker.id = report.worker;
    worker.agent = report.agent;
    worker.rack = report.rack;
    worker.failureDomain = report.failureDomain;
    worker.region = report.region;
    worker.available = report.available;
    worker.slots = report.slots;
    worker.accelerators = report.accelerators;
    worker.processors = report.processors;
    worker.memoryMib = report.memoryMib;
    worker.startedTasks = report.startedTasks;
    worker.failedTasks = report.failedTasks;
    for (const wire::RunningPart &running : report.parts) {
        worker.parts.push_back(toPart(now, running));
    }
    return worker;
}

} // namespace

PlannerHost::PlannerHost(PlannerHostOptions options)
    : options_(options)
{
}

void PlannerHost::setConfiguration(const Configuration &configuration)
{
    planning::Policy policy;
    policy.completionWeight = configuration.defaults.completionWeight;
    policy.fragmentationWeight = configuration.defaults.fragmentationWeight;
    policy.preemptionGrace = configuration.defaults.preemptionGrace;
    for (const auto &[name, account] : configuration.accounts) {
        planning::AccountPolicy &accountPolicy = policy.accounts[name];
        accountPolicy.weight = account.weight;
        for (const GuaranteedShape &guaranteed : account.guarantee) {
            accountPolicy.guarantee.push_back(toShape(guaranteed));
        }
    }
    static const std::string workerPrefix = "worker:";
    for (const ConfigurationException &exception : configuration.exceptions) {
        if (exception.subject.rfind(workerPrefix, 0) == 0 && exception.setting == "excluded" && exception.value == "true") {
            policy.excludedWorkers.push_back(exception.subject.substr(workerPrefix.size()));
        }
    }
    preemptionGrace_ = configuration.defaults.preemptionGrace;
    planner_.setPolicy(std::move(policy));
    isDue_ = true;
}

void PlannerHost::receive(MonotonicTime now, const PeerMessage &message)
{
    if (const wire::AgentReport *report = std::get_if<wire::AgentReport>(&message)) {
        receiveReport(now, *report);
    } else if (const wire::PlacementRequest *request = std::get_if<wire::PlacementRequest>(&message)) {
        receiveRequest(now, *request);
    } else if (const wire::PlacementWithdrawal *withdrawal = std::get_if<wire::PlacementWithdrawal>(&message)) {
        planner_.removeJob(withdrawal->job);
        requests_.erase(withdrawal->job);
    }
}

void PlannerHost::receiveReport(MonotonicTime now, const wire::AgentReport &report)
{
    const auto known = reports_.find(report.agent);
    if (known != reports_.end() && known->second.worker == report.worker && known->second.sequence > report.sequence) {
        return;
    }
    if (known != reports_.end() && known->second.worker != report.worker) {
        planner_.removeWorker(now, known->second.worker);
    }
    reports_[report.agent] = report;
    reportedAt_[report.agent] = now;
    planner_.updateWorker(now, toWorker(now, report));
    isDue_ = true;
}

void PlannerHost::receiveRequest(MonotonicTime now, const wire::PlacementRequest &request)
{
    planning::WaitingJob job;
    job.id = request.job;
    job.account = request.spec.account;
    job.kind = request.spec.kind;
    job.shape = toShape(request.spec);
    job.enqueuedAt = now - Milliseconds(request.waitedMs);
    job.declaredRun = Milliseconds(request.spec.declaredRunMs);
    job.repeatable = request.spec.repeatable;
    job.checkpointable = request.spec.checkpointable;
    job.urgent = request.spec.urgent;
    job.avoidWorkers = request.avoidWorkers;
    planner_.addJob(job);
    requests_[request.job] = {request.home, now};
    isDue_ = true;
}

void PlannerHost::agentLost(MonotonicTime now, const std::string &agent)
{
    const auto known = reports_.find(agent);
    if (known == reports_.end()) {
        return;
    }
    planner_.removeWorker(now, known->second.worker);
    reports_.erase(known);
    reportedAt_.erase(agent);
    isDue_ = true;
}

void PlannerHost::removeExpired(MonotonicTime now)
{
    if (now < nextExpiryCheck_) {
        return;
    }
    nextExpiryCheck_ = now + expiryCheckInterval;
    std::vector<std::string> unresponsiveAgents;
    for (const auto &[agent, receivedAt] : reportedAt_) {
        if (now - receivedAt > options_.reportExpiry) {
            unresponsiveAgents.push_back(agent);
        }
    }
    for (const std::string &agent : unresponsiveAgents) {
        agentLost(now, agent);
    }
    for (auto request = requests_.begin(); request != requests_.end();) {
        if (now - request->second.receivedAt > options_.requestExpiry) {
            planner_.removeJob(request->first);
            request = requests_.erase(request);
        } else {
            ++request;
        }
    }
}

PlannerHost::Messages PlannerHost::decide(MonotonicTime now)
{
    removeExpired(now);
    isDue_ = false;
    Messages messages;
    for (const planning::Decision &decision : planner_.decide(now)) {
        addDecision(messages, decision);
    }
    return messages;
}

void PlannerHost::addDecision(Messages &messages, const planning::Decision &decision)
{
    if (const planning::Place *place = std::get_if<planning::Place>(&decision)) {
        wire::Placement placement;
        placement.job = place->job;
        placement.borrowed = place->borrowed;
        for (const planning::PlacedMember &placed : place->members) {
            wire::Member &member = placement.members.emplace_back();
            member.agent = placed.agent;
            member.worker = placed.worker;
            member.accelerators.assign(placed.accelerators.begin(), placed.accelerators.end());
        }
        messages.emplace_back(requests_[place->job].home, std::move(placement));
        requests_.erase(place->job);
    } else if (const planning::Refuse *refuse = std::get_if<planning::Refuse>(&decision)) {
        wire::PlacementRefusal refusal;
        refusal.job = refuse->job;
        refusal.detail = refuse->detail;
        messages.emplace_back(requests_[refuse->job].home, std::move(refusal));
        requests_.erase(refuse->job);
    } else if (const planning::Preempt *preempt = std::get_if<planning::Preempt>(&decision)) {
        wire::EndAttempt end;
        end.attempt.job = preempt->job;
        end.attempt.owner = preempt->attemptOwner;
        end.attempt.number = preempt->attemptNumber;
        end.reason = wire::StopReason::Preempted;
        end.graceMs = preemptionGrace_.count();
        messages.emplace_back(preempt->lead, std::move(end));
    }
}

bool PlannerHost::isDue() const
{
    return isDue_;
}

bool PlannerHost::canEverHold(const wire::JobSpec &spec) const
{
    return planner_.canEverHold(toShape(spec));
}

bool PlannerHost::hasWorkers() const
{
    return !reports_.empty();
}

std::string PlannerHost::waitReason(const std::string &job) const
{
    return planner_.waitReason(job);
}

std::size_t PlannerHost::waitingJobs() const
{
    return planner_.waitingJobs();
}

const std::map<std::string, wire::AgentReport> &PlannerHost::reports() const
{
    return reports_;
}

} // namespace knapweed
