// The agent's task: takes the endpoint's reports, carries the agent's calls and messages. One thread.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "base/httpserver.h"
#include "cell/agent.h"
#include "cell/settings.h"
#include "peers/peernetwork.h"

#include <memory>

namespace knapweed
{

class CellAgentTask
{
public:
    explicit CellAgentTask(const cell::CellSettings &settings);
    ~CellAgentTask();
    CellAgentTask(const CellAgentTask &) = delete;
    CellAgentTask &operator=(const CellAgentTask &) = delete;

    bool isListening() const;
    Address configuredAddress() const;
    Address address() const;
    EventLoop &loop();

    /// Serves on the calling thread until stopped.
    void run();

    /// Stops at once: what runs is under a lease, and the next process takes it over.
    void drain();

    /// No setting of this role changes while it runs: says so in the log.
    void reload();

private:
    PeerNetworkEvents networkEvents();
    void handleReport(const HttpRequest &request, const HttpResponder &respond);

    cell::CellSettings settings_;
    EventLoop loop_;
    HttpClient http_;
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> peerServer_;
    std::unique_ptr<HttpServer> reportServer_;
    std::unique_ptr<cell::Agent> agent_;
};

} // namespace knapweed
