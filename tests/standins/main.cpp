// knapweed-standins: runs a stand-in for one peer of the platform with the same HTTP interface until it receives SIGTERM or SIGINT.

#include "base/address.h"
#include "base/eventloop.h"
#include "base/httpserver.h"
#include "standins/endpointstandin.h"
#include "standins/logstandin.h"
#include "standins/workerstandin.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace knapweed;

namespace
{

constexpr std::size_t maximumBodyBytes = std::size_t(64) << 20;

struct Arguments
{
    std::string role;
    int port = 0;
    standins::LogStandinOptions log;
    standins::WorkerStandinOptions worker;
    standins::EndpointStandinOptions endpoint;
};

/// Parses the command line. Prints an error and returns nullopt if the command line is invalid.
std::optional<Arguments> readArguments(int argc, const char **argv)
{
    Arguments arguments;
    char *role = nullptr;
    char *agent = nullptr;
    long retention = arguments.log.retentionRecords;
    long memoryMib = arguments.worker.memoryMib;
    const poptOption options[] = {
        {"role", 'r', POPT_ARG_STRING, &role, 0, "what to stand in for", "log|worker|endpoint"},
        {"port", 'p', POPT_ARG_INT, &arguments.port, 0, "TCP port on 127.0.0.1; 0 takes a free one", "PORT"},
        {"retention-records", 0, POPT_ARG_LONG, &retention, 0, "log: records kept in a stream", "N"},
        {"appends-per-second", 0, POPT_ARG_INT, &arguments.log.appendsPerSecond, 0, "log: more are answered with 429", "N"},
        {"accelerators", 0, POPT_ARG_INT, &arguments.worker.accelerators, 0, "worker: accelerators", "N"},
        {"processors", 0, POPT_ARG_INT, &arguments.worker.processors, 0, "worker: processors", "N"},
        {"memory-mib", 0, POPT_ARG_LONG, &memoryMib, 0, "worker: memory", "MIB"},
        {"slots", 0, POPT_ARG_INT, &arguments.endpoint.slots, 0, "endpoint: parts at once", "N"},
        {"connections", 0, POPT_ARG_INT, &arguments.endpoint.connections, 0, "endpoint: connections announced", "N"},
        {"agent", 0, POPT_ARG_STRING, &agent, 0, "endpoint: the agent to announce itself to", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(poptGetContext("knapweed-standins", argc, argv, options, 0), &poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(code) << '\n';
        return std::nullopt;
    }
    arguments.role = role == nullptr ? "" : role;
    arguments.log.retentionRecords = retention;
    arguments.worker.memoryMib = memoryMib;
    arguments.endpoint.agent = agent == nullptr ? Address {} : parseAddress(agent);
    std::free(role);
    const bool isAgentWrong = agent != nullptr && arguments.endpoint.agent.port == 0;
    std::free(agent);
    if (arguments.role != "log" && arguments.role != "worker" && arguments.role != "endpoint") {
        std::cerr << "--role: log, worker or endpoint\n";
        return std::nullopt;
    }
    if (isAgentWrong || arguments.port < 0 || arguments.port > 65535) {
        std::cerr << "--agent: IP:PORT; --port: 0 to 65535\n";
        return std::nullopt;
    }
    return arguments;
}

/// The role of this process; exactly one member is set. The event loop must outlive it.
struct Role
{
    std::unique_ptr<standins::LogStandin> log;
    std::unique_ptr<standins::WorkerStandin> worker;
    std::unique_ptr<standins::EndpointStandin> endpoint;
};

Role makeRole(EventLoop &loop, const Arguments &arguments)
{
    Role role;
    if (arguments.role == "log") {
        role.log = std::make_unique<standins::LogStandin>(loop, arguments.log);
    } else if (arguments.role == "worker") {
        role.worker = std::make_unique<standins::WorkerStandin>(loop, arguments.worker);
    } else {
        role.endpoint = std::make_unique<standins::EndpointStandin>(loop, arguments.endpoint);
    }
    return role;
}

void handle(const Role &role, const HttpRequest &request, const HttpResponder &respond)
{
    if (role.log) {
        role.log->handle(request, respond);
    } else if (role.worker) {
        role.worker->handle(request, respond);
    } else {
        role.endpoint->handle(request, respond);
    }
}

int serve(const Arguments &arguments)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    EventLoop loop;
    const Role role = makeRole(loop, arguments);
    HttpServerOptions options;
    options.maximumBodyBytes = maximumBodyBytes;
    const HttpHandler handler = [&role](const HttpRequest &request, const HttpResponder &respond) {
        handle(role, request, respond);
    };
    HttpServer server(loop, {"127.0.0.1", static_cast<std::uint16_t>(arguments.port)}, handler, options);
    if (!server.isListening()) {
        std::cerr << "can't listen on port " << arguments.port << '\n';
        return 1;
    }
    std::cout << "listening " << toString(server.address()) << std::endl;
    if (role.endpoint) {
        role.endpoint->announceAs(server.address());
    }
    std::thread watcher([&loop, &signals] {
        int received = 0;
        sigwait(&signals, &received);
        loop.stop();
    });
    loop.run();
    watcher.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::optional<Arguments> arguments = readArguments(argc, const_cast<const char **>(argv));
    return arguments ? serve(*arguments) : 2;
}
