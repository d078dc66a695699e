// Runs the simulation in steps of a few milliseconds.

#include "cell/simulation.h"

#include "cell/builders.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds stepTime {5};
constexpr Milliseconds callTimeout {400}; ///< the platform adapter's time-out for orders
constexpr Milliseconds lease {5000};

} // namespace

Simulation::Simulation(SimulationOptions options)
    : options_(options)
    , random_(options.seed)
{
    for (int i = 0; i < options_.agents; ++i) {
        const std::string name = "a" + std::to_string(i);
        AgentNode &node = agents_[name];
        node.name = name;
        node.endpoint = std::make_unique<FakeEndpoint>(shared_, "i-" + name, Resources {16000, 65536, 8}, i % 2 == 0 ? 1.0 : 0.98);
        node.endpoint->advance(now_);
        node.endpoint->restart(incarnation_);
        startAgent(node);
    }
    newScheduler();
}

Simulation::~Simulation() = default;

void Simulation::after(Milliseconds delay, std::function<void()> event)
{
    events_.emplace(now_ + delay, std::move(event));
}

double Simulation::chance()
{
    return double(random_()) / 4294967296.0;
}

Milliseconds Simulation::between(int least, int most)
{
    return Milliseconds(least + static_cast<int>(random_(static_cast<std::uint32_t>(most - least + 1))));
}

void Simulation::startAgent(AgentNode &node)
{
    ++node.incarnation;
    AgentHooks hooks;
    hooks.driver = driverOf(node);
    hooks.send = [this, name = node.name](const std::string &peer, const PeerMessage &message) {
        deliver(name, peer, message);
    };
    hooks.now = [this]() {
        return now_;
    };
    node.agent = std::make_unique<Agent>(AgentOptions {static_cast<std::int64_t>(node.incarnation), lease, testService}, std::move(hooks));
    node.nextHeartbeat = now_;
}

/// A delayed call gets no answer and is carried out later.
template<typename Answer>
void Simulation::callEndpoint(AgentNode &node, std::function<Answer()> call, std::function<void(Answer)> callback, Milliseconds wait)
{
    const std::uint64_t incarnation = node.incarnation;
    AgentNode *target = &node;
    const auto answer = [this, target, incarnation, callback](Milliseconds delay, const Answer &value) {
        after(delay, [target, incarnation, callback, value]() {
            if (target->incarnation == incarnation) {
                callback(value);
            }
        });
    };
    if (injectsFaults_ && chance() < options_.lateCallShare) {
        after(between(900, 3000), [call]() {
            call();
        });
        answer(callTimeout, EndpointError {EndpointError::Kind::Unanswered, "timed out"});
        return;
    }
    after(between(1, 4) + wait, [call, answer, this]() {
        answer(between(1, 4), call());
    });
}

EndpointDriver Simulation::driverOf(AgentNode &node)
{
    EndpointDriver driver;
    AgentNode *target = &node;
    driver.renewLease = [this, target](const RenewalRequest &request, RenewalCallback callback) {
        using Answer = Result<RenewalResult, EndpointError>;
        // The wait for an end takes half of its maximum.
        callEndpoint<Answer>(
            *target,
            [target, request]() {
                return target->endpoint->renewLease(request);
            },
            std::move(callback),
            request.wait / 2);
    };
    driver.start = [this, target](const StartRequest &request, OrderCallback callback) {
        using Answer = Result<Milliseconds, EndpointError>;
        callEndpoint<Answer>(
            *target,
            [this, target, request]() {
                if (cancelled_.count(request.run.task.job) != 0) {
                    shared_.violations.push_back("started after its cancel was acknowledged: " + request.run.task.job);
                }
                return target->endpoint->start(request);
            },
            std::move(callback),
            Milliseconds(0));
    };
    driver.stop = [this, target](const StopRequest &request, OrderCallback callback) {
        using Answer = Result<Milliseconds, EndpointError>;
        callEndpoint<Answer>(
            *target,
            [target, request]() {
                return target->endpoint->stop(request);
            },
            std::move(callback),
            Milliseconds(0));
    };
    return driver;
}

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

void Simulation::newScheduler()
{
    std::shared_ptr<SchedulerNode> node = std::make_shared<SchedulerNode>();
    node->generation = static_cast<std::int64_t>(schedulers_.size()) + 1;
    node->name = "s" + std::to_string(node->generation);
    epoch_ = node->generation;
    node->scheduler = std::make_unique<Scheduler>(SchedulerOptions {node->generation, lease});
    node->scheduler->load(records_, now_, WallTime(now_.time_since_epoch()));
    node->scheduler->setConfiguration(plainConfiguration());
    node->scheduler->beginRecovery(now_);
    // The previous scheduler may go on for a while before it notices that it has lost leadership.
    if (!schedulers_.empty()) {
        after(between(0, 2500), [old = schedulers_.back()]() {
            old->isGone = true;
        });
    }
    schedulers_.push_back(node);
}

void Simulation::flush(SchedulerNode &node)
{
    SchedulerOutput output = node.scheduler->takeOutput();
    for (const auto &[peer, message] : output.messages) {
        deliver(node.name, peer, message);
    }
    if (!output.writes.empty()) {
        node.unwritten.emplace_back(output.lastWrite, std::move(output.writes));
    }
    for (const std::shared_ptr<SchedulerNode> &known : schedulers_) {
        if (known.get() == &node) {
            writeNext(known);
        }
    }
}

void Simulation::writeNext(const std::shared_ptr<SchedulerNode> &node)
{
    if (node->isWriting || node->isGone || node->unwritten.empty()) {
        return;
    }
    if (now_ < storeDownUntil_) {
        after(Milliseconds(50), [this, node]() {
            writeNext(node);
        });
        return;
    }
    node->isWriting = true;
    const auto [number, writes] = node->unwritten.front();
    node->unwritten.erase(node->unwritten.begin());
    after(between(1, 6), [this, node, number = number, writes = writes]() {
        if (node->generation != epoch_) {
            node->isGone = true;
            return;
        }
        for (const StoreWrite &write : writes) {
            if (write.value.empty()) {
                records_.erase(write.key);
            } else {
                records_[write.key] = write.value;
            }
        }
        // The answer may take a while, and the process may end before it arrives.
        after(between(1, 6), [this, node, number]() {
            node->isWriting = false;
            if (!node->isGone) {
                node->scheduler->stored(number, now_);
                flush(*node);
            }
        });
    });
}

void Simulation::injectFault()
{
    const double fault = chance() * 5;
    const int index = static_cast<int>(random_(static_cast<std::uint32_t>(options_.agents)));
    AgentNode &node = std::next(agents_.begin(), index)->second;
    if (fault < 1 && options_.changesSchedulers && now_ >= storeDownUntil_) {
        newScheduler();
    } else if (fault < 2 && fault >= 1 && options_.killsAgents) {
        node.downUntil = now_ + between(50, 7000);
        ++node.incarnation;
        after(node.downUntil - now_, [this, &node]() {
            startAgent(node);
        });
    } else if (fault < 3 && fault >= 2 && options_.disconnectsAgents) {
        node.disconnectedUntil = now_ + between(100, 8000);
    } else if (fault < 4 && fault >= 3 && options_.restartsEndpoints) {
        node.endpoint->restart(++incarnation_);
    } else if (fault >= 4 && options_.losesStore) {
        storeDownUntil_ = now_ + between(100, 4000);
    }
}

void Simulation::step()
{
    now_ += stepTime;
    for (auto &[name, node] : agents_) {
        node.endpoint->advance(now_);
    }
    while (!events_.empty() && events_.begin()->first <= now_) {
        const std::function<void()> event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    for (auto &[name, node] : agents_) {
        if (now_ < node.downUntil) {
            continue;
        }
        if (now_ >= node.nextHeartbeat) {
            node.nextHeartbeat = now_ + Milliseconds(1000);
            node.agent->endpointReported(node.endpoint->status());
            wire::SchedulerNotice notice;
            notice.generation = schedulers_.back()->generation;
            notice.address = schedulers_.back()->name;
            deliver(schedulers_.back()->name, name, notice);
        }
        if (now_.time_since_epoch().count() % 100 == 0) {
            node.agent->tick();
        }
    }
    for (const std::shared_ptr<SchedulerNode> &node : std::vector<std::shared_ptr<SchedulerNode>>(schedulers_)) {
        if (!node->isGone && now_.time_since_epoch().count() % 20 == 0) {
            node->scheduler->tick(now_, WallTime(now_.time_since_epoch()));
            flush(*node);
        }
    }
}

void Simulation::run(Milliseconds span, bool injectsFaults)
{
    const BootTime end = now_ + span;
    injectsFaults_ = injectsFaults;
    BootTime nextFault = now_ + between(200, 2000);
    BootTime nextCalls = now_;
    while (now_ < end) {
        step();
        if (injectsFaults && now_ >= nextFault) {
            nextFault = now_ + between(200, 2000);
            injectFault();
        }
        if (now_ >= nextCalls) {
            nextCalls = now_ + Milliseconds(500);
            for (const auto &[job, spec] : submitted_) {
                wire::JobCall call = callOf(accepted_.count(job) != 0 ? wire::CallKind::Query : wire::CallKind::Submit, job);
                call.call = ++lastCall_;
                call.queue = spec.queue;
                call.spec = encodeSpec(spec);
                calls_[call.call] = {call.kind, job};
                deliver("caller", schedulers_.back()->name, call);
            }
        }
    }
}

void Simulation::submit(const JobSpec &spec)
{
    shared_.jobs[spec.id] = spec;
    submitted_[spec.id] = spec;
}

void Simulation::cancel(const std::string &job)
{
    wire::JobCall call = callOf(wire::CallKind::Cancel, job);
    call.call = ++lastCall_;
    calls_[call.call] = {call.kind, job};
    deliver("caller", schedulers_.back()->name, call);
}

const std::vector<std::string> &Simulation::violations() const
{
    return shared_.violations;
}

std::size_t Simulation::unfinishedJobs() const
{
    const std::map<std::string, Job> &jobs = schedulers_.back()->scheduler->jobs();
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto &job) {
        return !job.second.isFinished;
    }));
}

std::size_t Simulation::acceptedJobs() const
{
    return accepted_.size();
}

std::size_t Simulation::succeededJobs() const
{
    return reportedSucceeded_.size();
}

std::int64_t Simulation::generation() const
{
    return schedulers_.back()->generation;
}

} // namespace knapweed::cell
