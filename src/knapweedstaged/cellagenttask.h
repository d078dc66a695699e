// Main object of an agent process of the cell: receives the endpoint's reports and connects the agent to its endpoint and peers.
// Single-threaded: everything runs on the event loop.
#pragma once

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "base/httpserver.h"
#include "cell/agent.h"
#include "cell/settingsfile.h"
#include "peers/peernetwork.h"
#include "processbudgets.h"

#include <memory>

namespace knapweed
{

class CellAgentTask
{
public:
    explicit CellAgentTask(const cell::SettingsFile &file);
    ~CellAgentTask();
    CellAgentTask(const CellAgentTask &) = delete;
    CellAgentTask &operator=(const CellAgentTask &) = delete;

    bool isListening() const;
    Address configuredAddress() const;
    Address address() const;
    EventLoop &loop();

    /// Runs the event loop on the calling thread until it is stopped.
    void run();

    /// Stops at once. Runs in progress are covered by a lease, and the next incarnation of the agent takes them over.
    void drain();

    /// Applies the settings file if it has changed.
    void reload();

private:
    PeerNetworkEvents networkEvents();
    void handleReport(const HttpRequest &request, const HttpResponder &respond);

    cell::SettingsFile settingsFile_;
    const cell::CellSettings &settings_; ///< those of settingsFile_
    EventLoop loop_;
    HttpClient http_;
    ProcessBudgets budgets_;
    std::unique_ptr<PeerNetwork> peers_;
    std::unique_ptr<HttpServer> peerServer_;
    std::unique_ptr<HttpServer> reportServer_;
    std::unique_ptr<cell::Agent> agent_;
};

} // namespace knapweed
