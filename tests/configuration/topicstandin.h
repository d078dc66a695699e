// The store's topic of the operators' records, for tests of the configuration feed.
#pragma once

#include "base/httpserver.h"
#include "base/looptask.h"
#include "configurationfeed.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
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

/// The topic of the operators' records: a log of configurations and evacuations, with reads that wait for the next record.
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
        appendRecord("config", nlohmann::json {{"version", version}, {"routes", nlohmann::json::array()}}.dump());
    }

    /// A request to evacuate the failure domain, or its revocation.
    void evacuate(const std::string &domain, bool isRequested)
    {
        appendRecord("evacuate/" + domain, isRequested ? "{}" : "");
    }

    void appendRecord(const std::string &key, const std::string &value)
    {
        records_.emplace_back(key, value);
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

    /// Deletes all records from the log; lists still show the newest one of each key.
    void deleteRecords()
    {
        first_ = records_.size();
    }

    /// Lists have at most @p keys keys in a page.
    void limitPages(std::size_t keys)
    {
        pageKeys_ = keys;
    }

    /// Appends a record while the next list is being made, between its first page and its second.
    void evacuateBetweenPages(const std::string &domain, bool isRequested)
    {
        betweenPages_ = {domain, isRequested};
    }

    int lists() const
    {
        return lists_;
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
            respondList(request, respond);
            return;
        }
        const std::size_t from = std::stoul(request.query.at("from"));
        if (from < first_) {
            respond(jsonResponse(410, nlohmann::json {{"reason", "deleted"}, {"first", first_}}.dump()));
            return;
        }
        if (from < records_.size()) {
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

    void respondList(const HttpRequest &request, const HttpResponder &respond)
    {
        ++lists_;
        const auto after = request.query.find("dependsOn");
        std::map<std::string, std::size_t> newest;
        for (std::size_t index = 0; index < records_.size(); ++index) {
            newest.erase(records_[index].first);
            if (!records_[index].second.empty()) {
                newest[records_[index].first] = index;
            }
        }
        nlohmann::json items = nlohmann::json::array();
        bool isTruncated = false;
        for (const auto &[key, index] : newest) {
            if (after != request.query.end() && key <= after->second) {
                continue;
            }
            isTruncated = items.size() == pageKeys_;
            if (isTruncated) {
                break;
            }
            items.push_back({{"key", key}, {"value", base64(records_[index].second)}, {"offset", index + distance_}});
        }
        const std::int64_t version = std::exchange(versionDuringList_, 0);
        if (version != 0) {
            append(version);
        }
        respond(jsonResponse(200, nlohmann::json {{"items", items}, {"truncated", isTruncated}, {"end", records_.size()}}.dump()));
        if (isTruncated && !betweenPages_.first.empty()) {
            evacuate(std::exchange(betweenPages_.first, {}), betweenPages_.second);
        }
    }

    HttpResponse page(std::size_t from) const
    {
        HttpResponse response;
        response.body = bigEndian(records_.size(), 8) + bigEndian(first_, 8);
        for (std::size_t index = from; index < records_.size(); ++index) {
            const auto &[key, value] = records_[index];
            std::string record(1, static_cast<char>(key.size()));
            record += key;
            record += value;
            response.body += bigEndian(record.size(), 4) + record;
        }
        return response;
    }

    EventLoop &loop_;
    std::vector<std::pair<std::string, std::string>> records_; ///< keys and values; the index is the offset
    std::size_t first_ = 0; ///< oldest record that has not been deleted
    std::size_t pageKeys_ = 500;
    std::pair<std::string, bool> betweenPages_;
    int lists_ = 0;
    std::list<Reader> readers_;
    std::int64_t versionDuringList_ = 0;
    std::size_t distance_ = 0; ///< from the true offsets to those in lists
    HttpServer server_;
};

} // namespace knapweed
