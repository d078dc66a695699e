// The complete protocol core of an agent: its member and its lead. Messages between the two are delivered directly. Performs no I/O and reads no clock.
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

    /// Each handler first expires all leases and time limits that are over at @p now, then processes the event and returns the actions to perform.
    Actions handleMessage(MonotonicTime now, const std::string &peer, const PeerMessage &message);
    Actions handleWorker(MonotonicTime now, const WorkerAnswer &answer);
    Actions handleEndpoint(MonotonicTime now, const EndpointAnswer &answer);
    Actions handleAnnouncement(MonotonicTime now, const EndpointAnnouncement &announcement);
    Actions handleStart(MonotonicTime now, const StartDecision &decision);
    /// Must be called every few tens of milliseconds while isBusy(). Less often is enough otherwise.
    Actions tick(MonotonicTime now);

    /// Accepts no new work. Gangs for which go has been sent and armed parts continue.
    Actions drain(MonotonicTime now);
    /// Stops all remaining gangs and parts.
    Actions stopAll(MonotonicTime now);

    bool isBusy() const;
    /// True when nothing runs and every result and outcome has been acknowledged.
    bool isDrained() const;

    /// Returns whether report() has changed since the previous call.
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
