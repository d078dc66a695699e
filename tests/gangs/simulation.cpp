// The processes, network, calls and log of the simulation.

#include "gangs/simulation.h"

#include "gangs/startverdict.h"

#include <algorithm>

namespace knapweed::gangs::test
{

namespace
{

const std::string homeAddress = "home:1";
constexpr Milliseconds tickInterval {25};
constexpr Milliseconds homeInterval {250};
constexpr Milliseconds announceInterval {1000};
constexpr Milliseconds callTimeout {1000};
constexpr int acceleratorsPerWorker = 8;

} // namespace

bool Simulation::Event::operator<(const Event &other) const
{
    return std::tie(other.at, other.order) < std::tie(at, order);
}

Simulation::Simulation(std::uint64_t seed, int agents, Faults faults)
    : random_(seed)
    , faults_(faults)
    , now_(Seconds(1000))
{
    for (int index = 0; index < agents; ++index) {
        agents_.push_back(std::make_unique<Agent>());
        Agent &agent = *agents_.back();
        agent.address = "agent:" + std::to_string(index);
        agent.endpoint.started = [this, index](const std::string &part) {
            checkStart(index, part);
        };
        start(index);
        after(tickInterval, [this, index]() {
            tick(index);
        });
    }
    after(homeInterval, [this]() {
        homeTick();
    });
    run(Milliseconds(200));
}

void Simulation::at(MonotonicTime time, std::function<void()> action)
{
    events_.push({time, ++order_, std::move(action)});
}

void Simulation::after(Milliseconds delay, std::function<void()> action)
{
    at(now_ + delay, std::move(action));
}

std::uint32_t Simulation::random(std::uint32_t bound)
{
    return random_(bound);
}

bool Simulation::happens(int thousandths)
{
    return random(1000) < static_cast<std::uint32_t>(thousandths);
}

void Simulation::start(int index)
{
    Agent &agent = *agents_[index];
    ++agent.incarnation;
    CoreOptions options;
    options.self = agent.address;
    options.incarnation = agent.incarnation;
    options.callTimeout = callTimeout;
    WorkerSettings worker;
    worker.id = "w" + std::to_string(index);
    worker.accelerators = acceleratorsPerWorker;
    worker.processors = 1000;
    worker.memoryMib = 1000000;
    agent.core = std::make_unique<AgentCore>(options, worker, [this]() {
        return ++nonces_;
    });
    agent.fold = JobFold();
    agent.undecided.clear();
    for (std::size_t offset = 0; offset < log_.size(); ++offset) {
        agent.fold.apply(static_cast<std::int64_t>(offset), log_[offset]);
    }
    const std::int64_t incarnation = agent.incarnation;
    const auto announce = std::make_shared<std::function<void()>>();
    *announce = [this, index, incarnation]() {
        if (!agents_[index]->announcing) {
            return;
        }
        const EndpointAnnouncement announcement {{"127.0.0.1", static_cast<std::uint16_t>(index + 1)}, 8, agents_[index]->endpointReady};
        deliver(index, incarnation, [this, announcement](AgentCore &core) {
            return core.handleAnnouncement(now_, announcement);
        });
    };
    for (int count = 0; count < 600; ++count) {
        after(count * announceInterval, [announce]() {
            (*announce)();
        });
    }
}

/// Events for a frozen process are delayed until it resumes. Events for a killed process are lost.
void Simulation::deliver(int index, std::int64_t incarnation, std::function<Actions(AgentCore &)> event)
{
    Agent &agent = *agents_[index];
    if (!agent.core || agent.incarnation != incarnation) {
        return;
    }
    if (now_ < agent.frozenUntil) {
        at(agent.frozenUntil, [this, index, incarnation, event = std::move(event)]() {
            deliver(index, incarnation, event);
        });
        return;
    }
    perform(index, event(*agent.core));
}

void Simulation::perform(int agent, const Actions &actions)
{
    for (const Action &action : actions) {
        std::visit(
            [this, agent](const auto &typed) {
                performAction(agent, typed);
            },
            action);
    }
}

Milliseconds Simulation::messageDelay()
{
    const bool late = happens(faults_.lateMessage);
    return Milliseconds(1 + random(late ? static_cast<std::uint32_t>(faults_.lateLimit.count()) : 4));
}

void Simulation::performAction(int agent, const SendMessage &action)
{
    send(agents_[agent]->address, action.peer, action.message);
}

void Simulation::send(const std::string &from, const std::string &to, const PeerMessage &message)
{
    const Delivery special = interceptMessage ? interceptMessage(from, to, message) : Delivery {};
    const int copies = happens(faults_.lostMessage) ? 0 : happens(faults_.doubledMessage) ? 2 : special.copies;
    for (int copy = 0; copy < copies; ++copy) {
        after(messageDelay() + special.delay, [this, from, to, message]() {
            const int receiver = indexOf(to);
            const int sender = indexOf(from);
            const bool disconnected =
                (receiver >= 0 && now_ < agents_[receiver]->disconnectedUntil) || (sender >= 0 && now_ < agents_[sender]->disconnectedUntil);
            if (disconnected) {
                return;
            }
            if (receiver < 0) {
                receiveAtHome(message);
                return;
            }
            deliver(receiver, agents_[receiver]->incarnation, [this, from, message](AgentCore &core) {
                return core.handleMessage(now_, from, message);
            });
        });
    }
}

int Simulation::indexOf(const std::string &address) const
{
    return address == homeAddress ? -1 : std::stoi(address.substr(address.rfind(':') + 1));
}

void Simulation::performAction(int index, const WorkerCall &call)
{
    const std::int64_t incarnation = agents_[index]->incarnation;
    const MonotonicTime sentAt = now_;
    const bool lost = happens(faults_.lostCall);
    const bool effective = !lost || happens(500);
    const Milliseconds delay(happens(faults_.slowCall) ? 1 + random(998) : 0);
    const auto answer = std::make_shared<WorkerAnswer>();
    answer->kind = call.kind;
    answer->lease = call.lease;
    after(delay, [this, index, call, effective, lost, answer]() {
        if (effective) {
            const WorkerAnswer real = agents_[index]->worker.call(now_, call);
            *answer = lost ? *answer : real;
        }
    });
    after(lost ? callTimeout : delay + Milliseconds(1), [this, index, incarnation, answer, sentAt]() {
        answer->sentAt = sentAt;
        deliver(index, incarnation, [this, answer](AgentCore &core) {
            return core.handleWorker(now_, *answer);
        });
    });
}

void Simulation::performAction(int index, const EndpointCall &call)
{
    const std::int64_t incarnation = agents_[index]->incarnation;
    const MonotonicTime sentAt = now_;
    const bool lost = agents_[index]->endpointFailed || happens(faults_.lostCall);
    const bool effective = !agents_[index]->endpointFailed && (!lost || happens(500));
    const Milliseconds delay(happens(faults_.slowCall) ? 1 + random(998) : 0);
    if (lost) {
        EndpointAnswer answer;
        answer.kind = call.kind;
        answer.part = call.part;
        answer.target = call.target;
        answerEndpoint(index, incarnation, answer, sentAt, callTimeout);
    }
    after(delay, [this, index, call, effective, lost, sentAt, incarnation]() {
        if (!effective) {
            return;
        }
        const EndpointAnswer answer = agents_[index]->endpoint.call(now_, call);
        const bool waits = call.kind == EndpointCall::Kind::Start || call.kind == EndpointCall::Kind::Watch;
        if (!lost && waits && answer.status == EndpointAnswer::Status::Ok && answer.state == EndpointPartState::Running) {
            pollEndpoint(index, call, sentAt, now_ + call.wait);
        } else if (!lost) {
            answerEndpoint(index, incarnation, answer, sentAt, Milliseconds(1));
        }
    });
}

/// Delays the answer until the part has ended or the wait time is over.
void Simulation::pollEndpoint(int index, const EndpointCall &call, MonotonicTime sentAt, MonotonicTime until)
{
    const std::int64_t incarnation = agents_[index]->incarnation;
    after(Milliseconds(5), [this, index, incarnation, call, sentAt, until]() {
        if (agents_[index]->incarnation != incarnation || agents_[index]->endpointFailed) {
            return;
        }
        agents_[index]->endpoint.expire(now_);
        if (agents_[index]->endpoint.isRunning(call.part) && now_ < until) {
            pollEndpoint(index, call, sentAt, until);
            return;
        }
        EndpointCall watch = call;
        watch.kind = EndpointCall::Kind::Watch;
        EndpointAnswer answer = agents_[index]->endpoint.call(now_, watch);
        answer.kind = call.kind;
        answerEndpoint(index, incarnation, answer, sentAt, Milliseconds(1));
    });
}

void Simulation::answerEndpoint(int index, std::int64_t incarnation, EndpointAnswer answer, MonotonicTime sentAt, Milliseconds delay)
{
    answer.sentAt = sentAt;
    after(delay, [this, index, incarnation, answer = std::move(answer)]() {
        deliver(index, incarnation, [this, answer](AgentCore &core) {
            return core.handleEndpoint(now_, answer);
        });
    });
}

void Simulation::performAction(int index, const AppendStart &action)
{
    agents_[index]->undecided.push_back({action.record, false});
    append(action.record);
}

/// A record whose acknowledgement is lost is appended again.
void Simulation::append(const Record &record)
{
    const int copies = happens(faults_.lostLogAnswer) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(logDelay(), [this, record]() {
            applyRecord(record);
        });
    }
}

void Simulation::appendAtHome(const Record &record)
{
    appendedUntil_ = std::max(appendedUntil_, now_ + logDelay());
    at(appendedUntil_, [this, record]() {
        applyRecord(record);
    });
}

Milliseconds Simulation::logDelay()
{
    return Milliseconds(1 + random(static_cast<std::uint32_t>(faults_.logDelay.count())));
}

void Simulation::applyRecord(const Record &record)
{
    const std::size_t offset = log_.size();
    log_.push_back(record);
    homeFold_.apply(static_cast<std::int64_t>(offset), record);
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        after(logDelay(), [this, agent, offset]() {
            fold(agent, offset);
        });
    }
}

/// Applies all records up to @p offset to the agent's fold, in order.
void Simulation::fold(int index, std::size_t offset)
{
    Agent &agent = *agents_[index];
    deliver(index, agent.incarnation, [this, &agent, offset](AgentCore &core) {
        for (std::size_t next = agent.fold.nextOffset(); next <= offset; ++next) {
            agent.fold.apply(static_cast<std::int64_t>(next), log_[next]);
            markFolded(agent.undecided, log_[next]);
        }
        Actions all;
        for (const StartDecision &decision : takeDecisions(agent.fold, agent.undecided)) {
            const Actions actions = core.handleStart(now_, decision);
            all.insert(all.end(), actions.begin(), actions.end());
        }
        return all;
    });
}

void Simulation::tick(int index)
{
    Agent &agent = *agents_[index];
    if (agent.core && now_ >= agent.frozenUntil) {
        perform(index, agent.core->tick(now_));
    }
    after(tickInterval, [this, index]() {
        tick(index);
    });
}

void Simulation::freeze(int agent, Milliseconds duration)
{
    agents_[agent]->frozenUntil = std::max(agents_[agent]->frozenUntil, now_ + duration);
}

void Simulation::kill(int index, Milliseconds downtime)
{
    Agent &agent = *agents_[index];
    if (!agent.core) {
        return;
    }
    agent.core.reset();
    ++agent.incarnation;
    after(downtime, [this, index]() {
        start(index);
    });
}

void Simulation::crash(int agent, Milliseconds downtime)
{
    kill(agent, downtime);
    agents_[agent]->endpoint.stopAll(now_);
}

void Simulation::failEndpoint(int agent)
{
    agents_[agent]->endpoint.stopAll(now_);
    agents_[agent]->endpointFailed = true;
}

void Simulation::disconnect(int agent, Milliseconds duration)
{
    agents_[agent]->disconnectedUntil = std::max(agents_[agent]->disconnectedUntil, now_ + duration);
}

void Simulation::setEndpointReady(int index, bool ready)
{
    agents_[index]->endpointReady = ready;
    const EndpointAnnouncement announcement {{"127.0.0.1", static_cast<std::uint16_t>(index + 1)}, 8, ready};
    deliver(index, agents_[index]->incarnation, [this, announcement](AgentCore &core) {
        return core.handleAnnouncement(now_, announcement);
    });
}

void Simulation::drain(int agent)
{
    deliver(agent, agents_[agent]->incarnation, [this](AgentCore &core) {
        return core.drain(now_);
    });
}

void Simulation::stopAll(int agent)
{
    deliver(agent, agents_[agent]->incarnation, [this](AgentCore &core) {
        return core.stopAll(now_);
    });
}

void Simulation::setAnnouncing(int agent, bool announcing)
{
    agents_[agent]->announcing = announcing;
}

void Simulation::setFaults(Faults faults)
{
    faults_ = faults;
}

void Simulation::run(Milliseconds duration)
{
    const MonotonicTime end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    now_ = end;
    expirePlatform();
}

void Simulation::expirePlatform()
{
    for (const std::unique_ptr<Agent> &agent : agents_) {
        agent->worker.expire(now_);
        agent->endpoint.expire(now_);
    }
}

void Simulation::runWithoutFaults(Milliseconds duration)
{
    faults_ = {};
    run(duration);
}

MonotonicTime Simulation::now() const
{
    return now_;
}

FakeWorker &Simulation::worker(int agent)
{
    return agents_[agent]->worker;
}

FakeEndpoint &Simulation::endpoint(int agent)
{
    return agents_[agent]->endpoint;
}

AgentCore &Simulation::core(int agent)
{
    return *agents_[agent]->core;
}

bool Simulation::isAlive(int agent) const
{
    return agents_[agent]->core != nullptr;
}

} // namespace knapweed::gangs::test
