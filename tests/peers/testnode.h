// A process of the system for tests: an event loop, a server and a peer network, and a record of the received messages.
#pragma once

#include "base/httpserver.h"
#include "base/looptask.h"
#include "peers/peernetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace knapweed
{

/// Short times, so that tests of unresponsive peers take one second rather than several.
inline PeerNetworkOptions testOptions()
{
    PeerNetworkOptions options;
    options.heartbeatInterval = Milliseconds(50);
    options.heartbeatTimeout = Milliseconds(400);
    options.reconnectDelay = Milliseconds(20);
    options.reconnectLimit = Milliseconds(200);
    options.rosterExpiry = Seconds(2);
    return options;
}

class TestNode
{
public:
    TestNode(wire::Role::type role, std::int64_t incarnation, Address listen = {"127.0.0.1", 0}, PeerNetworkOptions options = testOptions())
    {
        task_.call([&]() {
            PeerNetworkEvents events;
            events.received = [this](const std::string &peer, const PeerMessage &message) {
                received(peer, message);
            };
            events.connected = [this](const wire::RosterEntry &peer) {
                ++connected_[peer.address];
            };
            events.disconnected = [this](const std::string &peer) {
                ++disconnected_[peer];
            };
            events.evacuationsSeen = [this](const std::string &peer, std::int64_t version) {
                evacuations_[peer] = version;
            };
            network_ = std::make_unique<PeerNetwork>(task_.loop(), options, events);
            server_ = std::make_unique<HttpServer>(
                task_.loop(),
                listen,
                [](const HttpRequest &, const HttpResponder &respond) {
                    respond(jsonResponse(200, "{}"));
                },
                HttpServerOptions {},
                network_->hooks());
            self_.address = toString(server_->address());
            self_.role = role;
            self_.incarnation = incarnation;
        });
    }

    ~TestNode()
    {
        task_.call([this]() {
            network_.reset();
            server_.reset();
        });
    }

    /// @p address is the address under which other nodes reach this node if they connect through a relay; empty: the listening address.
    void start(const std::vector<Address> &seeds, const std::string &address = {})
    {
        task_.call([&]() {
            if (!address.empty()) {
                self_.address = address;
            }
            network_->attach(*server_, self_, seeds);
        });
    }

    Address listening() const
    {
        return server_->address();
    }

    const std::string &name() const
    {
        return self_.address;
    }

    LoopTask &task()
    {
        return task_;
    }

    PeerNetwork &network()
    {
        return *network_;
    }

    void send(const std::string &peer, const std::string &job)
    {
        task_.call([&]() {
            wire::PlacementWithdrawal message;
            message.job = job;
            network_->send(peer, message);
        });
    }

    bool waitConnected(const std::string &peer)
    {
        return task_.waitFor([&]() {
            return network_->isConnected(peer);
        });
    }

    bool waitReceived(const std::string &job)
    {
        return task_.waitFor([&]() {
            return counts_[job] > 0;
        });
    }

    /// Sets the callback to run after each message. Call on the node's thread only.
    void setReceived(std::function<void()> callback)
    {
        afterReceived_ = std::move(callback);
    }

    /// Call on the node's thread only.
    int receivedTimes(const std::string &job)
    {
        return counts_[job];
    }

    std::vector<std::string> jobs()
    {
        std::vector<std::string> jobs;
        task_.call([&]() {
            jobs = jobs_;
        });
        return jobs;
    }

    /// The version of its evacuation state that @p peer has named; 0 if none. Call on the node's thread only.
    std::int64_t evacuationsOf(const std::string &peer)
    {
        return evacuations_[peer];
    }

    int timesConnected(const std::string &peer)
    {
        int times = 0;
        task_.call([&]() {
            times = connected_[peer];
        });
        return times;
    }

private:
    void received(const std::string &peer, const PeerMessage &message)
    {
        const wire::PlacementWithdrawal *withdrawal = std::get_if<wire::PlacementWithdrawal>(&message);
        if (withdrawal == nullptr) {
            return;
        }
        jobs_.push_back(withdrawal->job);
        ++counts_[withdrawal->job];
        if (withdrawal->home == "echo") {
            wire::PlacementWithdrawal answer = *withdrawal;
            answer.home.clear();
            network_->send(peer, answer);
        }
        if (afterReceived_) {
            afterReceived_();
        }
    }

    LoopTask task_;
    std::unique_ptr<PeerNetwork> network_;
    std::unique_ptr<HttpServer> server_;
    wire::RosterEntry self_;
    std::function<void()> afterReceived_;
    std::vector<std::string> jobs_; ///< job names of the received messages, in the order of arrival
    std::map<std::string, int> counts_;
    std::map<std::string, int> connected_;
    std::map<std::string, std::int64_t> evacuations_;
    std::map<std::string, int> disconnected_;
};

} // namespace knapweed
