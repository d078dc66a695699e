// Routes events to the member and the lead, and messages between the two.

#include "gangs/agentcore.h"

#include <type_traits>

namespace knapweed::gangs
{

namespace
{

template<typename Receiver, typename Message>
concept Handles = requires(Receiver &receiver, MonotonicTime now, const std::string &peer, const Message &message, Actions &actions)
{
    receiver.handle(now, peer, message, actions);
};

} // namespace

AgentCore::AgentCore(CoreOptions options, WorkerSettings worker, std::function<std::int64_t()> nonce)
    : self_(options.self)
    , member_(options, std::move(worker))
    , lead_(std::move(options), std::move(nonce))
{
}

template<typename Event>
Actions AgentCore::run(MonotonicTime now, const Event &event)
{
    Actions actions;
    member_.expire(now, actions);
    lead_.expire(now, actions);
    event(actions);
    return deliverLocally(now, std::move(actions));
}

void AgentCore::dispatch(MonotonicTime now, const std::string &peer, const PeerMessage &message, Actions &actions)
{
    std::visit(
        [this, now, &peer, &actions](const auto &typed) {
            using Message = std::decay_t<decltype(typed)>;
            if constexpr (Handles<Member, Message>) {
                member_.handle(now, peer, typed, actions);
            } else if constexpr (Handles<Lead, Message>) {
                lead_.handle(now, peer, typed, actions);
            }
        },
        message);
}

/// Delivers messages between the lead and the member of this agent without the network.
Actions AgentCore::deliverLocally(MonotonicTime now, Actions actions)
{
    Actions external;
    for (std::size_t next = 0; next < actions.size(); ++next) {
        SendMessage *send = std::get_if<SendMessage>(&actions[next]);
        if (send && send->peer == self_) {
            const SendMessage local = std::move(*send);
            dispatch(now, self_, local.message, actions);
        } else {
            external.push_back(std::move(actions[next]));
        }
    }
    return external;
}

Actions AgentCore::handleMessage(MonotonicTime now, const std::string &peer, const PeerMessage &message)
{
    return run(now, [&](Actions &actions) {
        dispatch(now, peer, message, actions);
    });
}

Actions AgentCore::handleWorker(MonotonicTime now, const WorkerAnswer &answer)
{
    return run(now, [&](Actions &actions) {
        member_.handle(now, answer, actions);
    });
}

Actions AgentCore::handleEndpoint(MonotonicTime now, const EndpointAnswer &answer)
{
    return run(now, [&](Actions &actions) {
        member_.handle(now, answer, actions);
    });
}

Actions AgentCore::handleAnnouncement(MonotonicTime now, const EndpointAnnouncement &announcement)
{
    return run(now, [&](Actions &actions) {
        member_.handle(now, announcement, actions);
    });
}

Actions AgentCore::handleStart(MonotonicTime now, const StartDecision &decision)
{
    return run(now, [&](Actions &actions) {
        lead_.handle(now, decision, actions);
    });
}

Actions AgentCore::tick(MonotonicTime now)
{
    return run(now, [&](Actions &actions) {
        member_.advance(now, actions);
        lead_.advance(now, actions);
    });
}

Actions AgentCore::drain(MonotonicTime now)
{
    return run(now, [&](Actions &actions) {
        member_.drain();
        lead_.drain(now, actions);
    });
}

Actions AgentCore::stopAll(MonotonicTime now)
{
    return run(now, [&](Actions &actions) {
        lead_.stopAll(now, actions);
        member_.stopAll(now, wire::Reason::Draining, actions);
    });
}

bool AgentCore::isBusy() const
{
    return member_.hasParts() || member_.hasUnreportedResults() || lead_.activeGangCount() > 0;
}

bool AgentCore::isDrained() const
{
    return !isBusy();
}

bool AgentCore::takeChanged()
{
    return member_.takeChanged();
}

wire::AgentReport AgentCore::report(MonotonicTime now) const
{
    return member_.report(now);
}

const Member &AgentCore::member() const
{
    return member_;
}

const Lead &AgentCore::lead() const
{
    return lead_;
}

} // namespace knapweed::gangs
