// The limits of an HTTP server on what its callers hold: the budget that its connections share, and the time for their progress.

#include "base/httpserverprivate.h"
#include "base/logging.h"

#include <libwebsockets.h>

#include <chrono>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace knapweed
{

namespace
{

constexpr std::size_t uncountedBytes = 1024; ///< of a response; the share of each connection covers it, and a refusal must fit when the budget is full

void report(ConnectionBudget &budget, MonotonicTime now)
{
    const BudgetCounts due = budget.dueReport(now);
    if (due == BudgetCounts()) {
        return;
    }
    logEvent(LogLevel::Warning,
        "connections.limited",
        {{"budget", budget.name()},
            {"refused_connections", std::to_string(due.refusedConnections)},
            {"refused_requests", std::to_string(due.refusedRequests)},
            {"evicted", std::to_string(due.evictedConnections)},
            {"expired", std::to_string(due.expiredConnections)},
            {"connections", std::to_string(budget.connections())},
            {"bytes", std::to_string(budget.usedBytes())}});
}

} // namespace

void HttpServer::Private::connectionAccepted(lws *wsi)
{
    HttpConnection &connection = connections.try_emplace(wsi).first->second;
    connection.startedAt = std::chrono::steady_clock::now();
    if (options.budget == nullptr) {
        return;
    }
    connection.member = options.budget->join(connection.startedAt, [this, wsi]() {
        const auto found = connections.find(wsi);
        if (found == connections.end()) {
            return;
        }
        HttpConnection &evicted = found->second;
        evicted.member = 0;
        evicted.isDispatched = true; // what still arrives is not kept
        std::string().swap(evicted.request.body);
        evicted.isEvicted = true;
        // libwebsockets replaces the time-out when it reads a body, so the end of the stream closes the connection as well.
        shutdown(lws_get_socket_fd(wsi), SHUT_RDWR);
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    });
}

/// Begins a request or the time between two of them.
void HttpServer::Private::beginNext(HttpConnection &connection)
{
    const std::uint64_t member = connection.member;
    const bool hasHadRequest = connection.hasHadRequest;
    const bool isEvicted = connection.isEvicted;
    connection = HttpConnection();
    connection.member = member;
    connection.hasHadRequest = hasHadRequest;
    connection.isEvicted = isEvicted;
    connection.startedAt = connection.lastProgress = std::chrono::steady_clock::now();
    if (options.budget != nullptr) {
        options.budget->releaseAll(member);
        options.budget->setProtected(member, false);
        options.budget->progressed(member, connection.startedAt);
    }
}

bool HttpServer::Private::isOverdue(const HttpConnection &connection, MonotonicTime now) const
{
    const std::chrono::steady_clock::duration age = now - connection.startedAt;
    if (connection.requestId == 0) {
        return age > (connection.hasHadRequest ? options.idleTimeout : options.headTimeout);
    }
    const MonotonicTime progressAt = options.budget->progressAt(connection.member);
    const bool isStalled = progressAt < now - options.stallTimeout;
    return isStalled || (!connection.isDispatched && age > options.bodyTimeout);
}

/// Counts a response until it has been sent. From now on its caller may be closed for others. Returns false when it does not fit.
bool HttpServer::Private::chargeOutput(HttpConnection &connection)
{
    if (options.budget == nullptr) {
        return true;
    }
    options.budget->progressed(connection.member, connection.lastProgress);
    options.budget->setProtected(connection.member, false);
    const std::size_t bytes = connection.response.body.size();
    return options.budget->reserve(connection.member, pendingInputBytes + bytes) || bytes <= uncountedBytes;
}

void HttpServer::Private::sweep()
{
    // Not by the library's timeouts: it sets them anew by itself while it reads a body.
    const MonotonicTime now = std::chrono::steady_clock::now();
    const MonotonicTime oldest = now - options.idleTimeout;
    for (const auto &[wsi, connection] : connections) {
        const bool isAwaited = connection.isDispatched && !connection.isAnswered;
        const bool isStuck = connection.requestId != 0 && !isAwaited && connection.lastProgress < oldest;
        char byte = 0;
        const bool isGone = connection.isDispatched && recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
        const bool isLate = options.budget != nullptr && !isAwaited && !connection.isEvicted && isOverdue(connection, now);
        if (isLate) {
            options.budget->countExpired();
        }
        if (isStuck || isGone || isLate || connection.isEvicted) {
            lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
    }
    listener->resume();
    reportLimits(now);
}

void HttpServer::Private::reportLimits(MonotonicTime now) const
{
    if (options.budget != nullptr) {
        report(*options.budget, now);
    }
    if (options.peerBudget != nullptr && options.peerBudget != options.budget) {
        report(*options.peerBudget, now);
    }
}

} // namespace knapweed
