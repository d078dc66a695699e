// The store's topic of the operators' records, for tests of the configuration feed.
#pragma once

#include "base/httpserver.h"
#include "base/looptask.h"
#include "configurationfeed.h"

#include <nlohmann/json.hpp>

#include <list>
#include <string>
#include <utility>
#include <vector>

namespace knapweed
{

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> shift & 0xff);
    }
    return text;
}

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char byte : bytes) {
        bits = bits << 8 | static_cast<unsigned char>(byte);
        for (count += 8; count >= 6; count -= 6) {
            text += digits[bits >> (count - 6) & 63];
        }
    }
    return count == 0 ? text : text + digits[bits << (6 - count) & 63];
}

/// The topic of the operators' records: a log of documents under one key, with reads that wait for the next one.
class TopicStandin
{
public:
    explicit TopicStandin(EventLoop &loop)
        : loop_(loop)
        , server_(loop, Address {"127.0.0.1", 0}, [this](const HttpRequest &request, const HttpResponder &respond) {
            serve(request, respond);
        })
    {
    }

    ~TopicStandin()
    {
        for (const Reader &reader : readers_) {
            loop_.cancelTimer(reader.timer);
        }
    }

    Address address() const
    {
        return server_.address();
    }

    void append(std::int64_t version)
    {
        documents_.push_back(nlohmann::json {{"version", version}, {"routes", nlohmann::json::array()}}.dump());
        for (const Reader &reader : std::exchange(readers_, {})) {
            loop_.cancelTimer(reader.timer);
            reader.respond(page(reader.from));
        }
    }

    /// Appends @p version while the next list of newest records is being made: after the records have been collected, before its end is read.
    void appendDuringNextList(std::int64_t version)
    {
        versionDuringList_ = version;
    }

    /// Lists name offsets that are higher than the true ones by @p distance.
    void nameOffsetsAhead(std::size_t distance)
    {
        distance_ = distance;
    }

    int waitingReads() const
    {
        return static_cast<int>(readers_.size());
    }

private:
    struct Reader
    {
        std::size_t from = 0;
        HttpResponder respond;
        TimerId timer = 0;
    };

    void serve(const HttpRequest &request, const HttpResponder &respond)
    {
        if (request.path == "/-/log-newest") {
            nlohmann::json items = nlohmann::json::array();
            if (!documents_.empty()) {
                items.push_back({{"key", "config"}, {"value", base64(documents_.back())}, {"offset", documents_.size() - 1 + distance_}});
            }
            const std::int64_t version = std::exchange(versionDuringList_, 0);
            if (version != 0) {
                append(version);
            }
            respond(jsonResponse(200, nlohmann::json {{"items", items}, {"truncated", false}, {"end", documents_.size()}}.dump()));
            return;
        }
        const std::size_t from = std::stoul(request.query.at("from"));
        if (from < documents_.size()) {
            respond(page(from));
            return;
        }
        readers_.push_back({from, respond, 0});
        const auto reader = std::prev(readers_.end());
        reader->timer = loop_.callAfter(Milliseconds(std::stol(request.query.at("waitMs"))), [this, reader]() {
            reader->respond(page(reader->from));
            readers_.erase(reader);
        });
    }

    HttpResponse page(std::size_t from) const
    {
        HttpResponse response;
        response.body = bigEndian(documents_.size(), 8) + bigEndian(0, 8);
        for (std::size_t index = from; index < documents_.size(); ++index) {
            const std::string record = std::string("\x06") + "config" + documents_[index];
            response.body += bigEndian(record.size(), 4) + record;
        }
        return response;
    }

    EventLoop &loop_;
    std::vector<std::string> documents_;
    std::list<Reader> readers_;
    std::int64_t versionDuringList_ = 0;
    std::size_t distance_ = 0; ///< from the true offsets to those in lists
    HttpServer server_;
};

} // namespace knapweed
