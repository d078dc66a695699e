// Agents of the simulation and their calls to endpoints.

#include "cell/simulation.h"

#include "cell/builders.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds callTimeout {400}; ///< the platform adapter's time-out for orders

} // namespace

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
    node.agent = std::make_unique<Agent>(
        AgentOptions {static_cast<std::int64_t>(node.incarnation), simulatedLease, testService, node.failureDomain, options_.evacuatesDomains},
        std::move(hooks));
    node.nextHeartbeat = now_;
}

void Simulation::killAgent(AgentNode &node, Milliseconds span)
{
    node.downUntil = now_ + span;
    ++node.incarnation;
    const auto process = processes_.find(node.name);
    if (process != processes_.end()) {
        process->second.pausedUntil = now_;
        process->second.arrived.clear();
    }
    std::erase_if(waiting_, [&node](const auto &queue) {
        return queue.first.first == node.name;
    });
    after(span, [this, &node]() {
        startAgent(node);
    });
}

/// A delayed call gets no answer and is carried out later. The answer of another call may be lost.
template<typename Answer>
void Simulation::callEndpoint(AgentNode &node, std::function<Answer()> call, std::function<void(Answer)> callback, Milliseconds wait)
{
    const std::uint64_t incarnation = node.incarnation;
    AgentNode *target = &node;
    const BootTime timesOutAt = now_ + callTimeout + wait;
    const auto answer = [this, target, incarnation, callback, timesOutAt](Milliseconds delay, const Answer &value) {
        after(delay, [this, target, incarnation, callback, timesOutAt, value]() {
            const bool hasWaited = isPaused(target->name);
            whenAwake(target->name, [this, target, incarnation, callback, timesOutAt, value, hasWaited]() {
                if (target->incarnation != incarnation) {
                    return;
                }
                // A process that goes on may notice the time-out first.
                const bool isTimedOut = hasWaited && now_ >= timesOutAt && independentChance() < 0.5;
                callback(isTimedOut ? Answer(EndpointError {EndpointError::Kind::Unanswered, "timed out", true}) : value);
            });
        });
    };
    if (injectsFaults_ && chance() < options_.lateCallShare) {
        after(between(900, 3000), [call]() {
            call();
        });
        answer(callTimeout, EndpointError {EndpointError::Kind::Unanswered, "timed out", true});
        return;
    }
    const bool isMuted = now_ < node.mutedUntil;
    if (isMuted || (injectsFaults_ && options_.lostAnswerShare > 0 && independentChance() < options_.lostAnswerShare)) {
        after(independentBetween(1, 4) + wait, [call]() {
            call();
        });
        // The connection may break, also before the call is carried out, or stay silent.
        const bool isSilent = isMuted || independentChance() < 0.5;
        answer(isSilent ? callTimeout + wait : independentBetween(1, 8),
            EndpointError {EndpointError::Kind::Unanswered, isSilent ? "timed out" : "read failed", isSilent});
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
                const std::size_t runsBefore = target->endpoint->runs();
                Answer answer = target->endpoint->start(request);
                // Orders that wait may arrive that late, and are then refused; in the other histories none may arrive.
                const bool maySendLate = options_.delaysMessages || options_.pausesAgents;
                if (target->endpoint->runs() > runsBefore) {
                    checkStart(request.run.task.job);
                    checkEvacuation(*target, request.run);
                }
                const bool isCounted = !maySendLate || target->endpoint->runs() > runsBefore;
                if (isCounted && cancelled_.count(request.run.task.job) != 0) {
                    shared_.violations.push_back("started after its cancel was acknowledged: " + request.run.task.job);
                }
                return answer;
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

} // namespace knapweed::cell
