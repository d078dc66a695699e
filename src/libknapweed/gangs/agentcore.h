// The agent's whole protocol core: its member and its lead, with the messages between the two delivered in place. Pure.
#pragma once

#include "gangs/lead.h"
#include "gangs/member.h"

#include <functional>
#include <string>

namespace knapweed::gangs
{

class AgentCore
{
public:
    AgentCore(CoreOptions options, WorkerSettings worker, std::function<std::int64_t()> nonce);

    /// Each handler first lets everything lapse that has lapsed by @p now, then takes the event and returns what is to be done outside.
    Actions handleMessage(MonotonicTime now, const std::string &peer, const PeerMessage &message);
    Actions handleWorker(MonotonicTime now, const WorkerAnswer &answer);
    Actions handleEndpoint(MonotonicTime now, const EndpointAnswer &answer);
    Actions handleAnnouncement(MonotonicTime now, const EndpointAnnouncement &announcement);
    Actions handleStart(MonotonicTime now, const StartDecision &decision);
    /// To be called every few tens of milliseconds while isBusy(), less often otherwise.
    Actions tick(MonotonicTime now);

    /// Takes no new work; what has gone or is armed goes on.
    Actions drain(MonotonicTime now);
    /// Stops everything that still runs.
    Actions stopAll(MonotonicTime now);

    bool isBusy() const;
    /// True when nothing runs and every result and outcome has been acknowledged.
    bool isDrained() const;

    /// True once after each change of report().
    bool takeChanged();
    wire::AgentReport report(MonotonicTime now) const;

    const Member &member() const;
    const Lead &lead() const;

private:
    template<typename Event>
    Actions run(MonotonicTime now, const Event &event);
    void dispatch(MonotonicTime now, const std::string &peer, const PeerMessage &message, Actions &actions);
    Actions deliverLocally(MonotonicTime now, Actions actions);

    std::string self_;
    Member member_;
    Lead lead_;
};

} // namespace knapweed::gangs
