// Rules of the log service. A token bucket limits the append rate; its burst size is the number of appends in a tenth of a second.

#include "standins/logstandin.h"

#include <algorithm>

namespace knapweed::standins
{

namespace
{

using nlohmann::json;

constexpr std::int64_t defaultReadLimit = 1000;

double appendBurst(int appendsPerSecond)
{
    return std::max(1.0, appendsPerSecond / 10.0);
}

bool isAppend(const json &body)
{
    if (!body.is_object() || !body.contains("records") || !body.at("records").is_array()) {
        return false;
    }
    const json &records = body.at("records");
    return !records.empty() && std::all_of(records.begin(), records.end(), [](const json &record) {
        return record.is_string();
    });
}

} // namespace

std::int64_t LogStandin::Stream::next() const
{
    return oldest + static_cast<std::int64_t>(records.size());
}

LogStandin::LogStandin(EventLoop &loop, LogStandinOptions options)
    : loop_(loop)
    , options_(options)
    , faults_(
          loop,
          [this](const HttpRequest &request, const HttpResponder &respond) {
              serve(request, respond);
          },
          [this](const std::string &name, const json &value) {
              return setFault(name, value);
          })
    , appendTokens_(appendBurst(options.appendsPerSecond))
    , tokensUpdatedAt_(std::chrono::steady_clock::now())
{
}

void LogStandin::handle(const HttpRequest &request, const HttpResponder &respond)
{
    faults_.handle(request, respond);
}

FaultGate &LogStandin::faults()
{
    return faults_;
}

bool LogStandin::setFault(const std::string &name, const json &value)
{
    if (!value.is_number_integer()) {
        return false;
    }
    if (name == "repeat_appends") {
        appendsToRepeat_ = value.get<int>();
    } else if (name == "appends_per_second") {
        options_.appendsPerSecond = value.get<int>();
    } else if (name == "retention_records") {
        options_.retentionRecords = value.get<std::int64_t>();
        for (auto &[stream, content] : streams_) {
            expire(content);
        }
    } else {
        return false;
    }
    return true;
}

void LogStandin::serve(const HttpRequest &request, const HttpResponder &respond)
{
    const std::vector<std::string> path = splitPath(request.path);
    if (path.size() != 4 || path.at(0) != "v1" || path.at(1) != "streams" || path.at(3) != "records") {
        respond(errorResponse(404, "not_found", request.path));
    } else if (request.method == "POST") {
        append(path.at(2), request, respond);
    } else if (request.method == "GET") {
        read(path.at(2), request, respond);
    } else {
        respond(errorResponse(405, "method_not_allowed"));
    }
}

void LogStandin::append(const std::string &name, const HttpRequest &request, const HttpResponder &respond)
{
    const json body = parseBody(request);
    if (!isAppend(body)) {
        respond(errorResponse(400, "invalid", "records: one or more strings"));
        return;
    }
    if (!consumeAppendToken()) {
        respond(errorResponse(429, "too_many_appends"));
        return;
    }
    Stream &stream = streams_[name];
    const std::int64_t first = stream.next();
    store(stream, body.at("records"));
    const std::int64_t next = stream.next();
    if (appendsToRepeat_ > 0) {
        --appendsToRepeat_;
        store(stream, body.at("records"));
    }
    expire(stream);
    respond(standins::jsonResponse(200, json {{"first_offset", first}, {"next_offset", next}}));
    answerWaiters(name);
}

void LogStandin::store(Stream &stream, const json &records)
{
    for (const json &record : records) {
        stream.records.push_back(record.get<std::string>());
    }
}

void LogStandin::expire(Stream &stream) const
{
    while (static_cast<std::int64_t>(stream.records.size()) > options_.retentionRecords) {
        stream.records.pop_front();
        ++stream.oldest;
    }
}

void LogStandin::read(const std::string &name, const HttpRequest &request, const HttpResponder &respond)
{
    const Stream &stream = streams_[name];
    const std::int64_t from = queryNumber(request, "from", 0);
    const std::int64_t limit = queryNumber(request, "limit", defaultReadLimit);
    const Milliseconds wait = queryDuration(request, "wait_ms");
    if (from < 0 || limit < 1) {
        respond(errorResponse(400, "invalid", "from: 0 or more; limit: 1 or more"));
        return;
    }
    if (from < stream.next() || wait <= Milliseconds(0)) {
        respond(readNow(stream, from, limit));
        return;
    }
    const auto waiter = waiters_.insert(waiters_.end(), {name, from, limit, respond, 0});
    waiter->timer = loop_.callAfter(wait, [this, waiter] {
        const Waiter done = *waiter;
        waiters_.erase(waiter);
        done.respond(readNow(streams_[done.stream], done.from, done.limit));
    });
}

HttpResponse LogStandin::readNow(const Stream &stream, std::int64_t from, std::int64_t limit) const
{
    if (from < stream.oldest) {
        return standins::jsonResponse(410, json {{"error", "expired"}, {"oldest_offset", stream.oldest}});
    }
    json records = json::array();
    const std::int64_t end = std::min(stream.next(), from + limit);
    for (std::int64_t offset = from; offset < end; ++offset) {
        records.push_back({{"offset", offset}, {"value", stream.records.at(static_cast<std::size_t>(offset - stream.oldest))}});
    }
    const std::int64_t next = from + static_cast<std::int64_t>(records.size());
    return standins::jsonResponse(200, json {{"records", std::move(records)}, {"next_offset", next}, {"oldest_offset", stream.oldest}});
}

void LogStandin::answerWaiters(const std::string &name)
{
    std::list<Waiter> ready;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        const auto current = waiter++;
        if (current->stream == name && !faults_.isFrozen()) {
            ready.splice(ready.end(), waiters_, current);
        }
    }
    for (const Waiter &waiter : ready) {
        loop_.cancelTimer(waiter.timer);
        waiter.respond(readNow(streams_[name], waiter.from, waiter.limit));
    }
}

bool LogStandin::consumeAppendToken()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const double rate = options_.appendsPerSecond;
    const double burst = appendBurst(options_.appendsPerSecond);
    appendTokens_ = std::min(burst, appendTokens_ + rate * std::chrono::duration<double>(now - tokensUpdatedAt_).count());
    tokensUpdatedAt_ = now;
    if (appendTokens_ < 1) {
        return false;
    }
    appendTokens_ -= 1;
    return true;
}

} // namespace knapweed::standins
