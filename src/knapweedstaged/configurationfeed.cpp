// Reads the newest record first, then waits for later records by long polling.

#include "configurationfeed.h"

#include "base/logging.h"
#include "documents.h"

namespace knapweed
{

namespace
{

constexpr Milliseconds readWait {2000}; ///< how long the store may hold one read; limits how long an unresponsive connection delays a change
constexpr Milliseconds answerTimeout {900}; ///< for the store's answer, in addition to readWait
constexpr Milliseconds retryDelay {250};

} // namespace

ConfigurationFeed::ConfigurationFeed(EventLoop &loop, platform::StoreClient &store, std::function<void(const cell::CellConfiguration &)> changed)
    : loop_(loop)
    , store_(store)
    , changed_(std::move(changed))
{
}

void ConfigurationFeed::start()
{
    answeredAt_ = std::chrono::steady_clock::now();
    readNewest();
}

/// Time since the store last answered a read.
Milliseconds ConfigurationFeed::unansweredTime() const
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - answeredAt_);
}

void ConfigurationFeed::noteAnswer(bool isAnswered, const char *call, const std::string &detail)
{
    if (!isAnswered) {
        logEvent(
            LogLevel::Warning, "configuration.read_failed", {{"call", call}, {"reason", detail}, {"unanswered_ms", std::to_string(unansweredTime().count())}});
    } else if (!isReachable_) {
        logEvent(LogLevel::Info, "configuration.followed", {{"unanswered_ms", std::to_string(unansweredTime().count())}});
    }
    if (isAnswered) {
        answeredAt_ = std::chrono::steady_clock::now();
    }
    isReachable_ = isAnswered;
}

void ConfigurationFeed::callLater(Milliseconds delay, void (ConfigurationFeed::*step)())
{
    loop_.callAfter(delay, [this, step]() {
        (this->*step)();
    });
}

void ConfigurationFeed::readNewest()
{
    store_.newest(platform::operatorTopic, "", answerTimeout, [this](Result<platform::NewestPage, platform::StoreError> result) {
        noteAnswer(isOk(result), "newest", isOk(result) ? std::string() : error(result).detail);
        if (!isOk(result)) {
            callLater(retryDelay, &ConfigurationFeed::readNewest);
            return;
        }
        for (const platform::KeyedRecord &record : value(result).records) {
            if (record.key == platform::configurationKey) {
                offer(record.value, "store");
            }
        }
        nextOffset_ = value(result).end;
        follow();
    });
}

void ConfigurationFeed::follow()
{
    store_.read(platform::operatorTopic, nextOffset_, readWait, readWait + answerTimeout, [this](Result<platform::ReadPage, platform::StoreError> result) {
        const bool isReachable = isOk(result) || error(result).kind == platform::StoreError::Kind::Deleted;
        noteAnswer(isReachable, "read", isOk(result) ? std::string() : error(result).detail);
        if (!isOk(result)) {
            // The records at this offset may have been deleted, but the store always keeps the newest record of the key.
            callLater(isReachable ? Milliseconds(0) : retryDelay, &ConfigurationFeed::readNewest);
            return;
        }
        for (const platform::KeyedRecord &record : value(result).records) {
            if (record.key == platform::configurationKey) {
                offer(record.value, "store");
            }
        }
        nextOffset_ = value(result).next;
        callLater(Milliseconds(0), &ConfigurationFeed::follow);
    });
}

void ConfigurationFeed::offer(const std::string &document, const char *source)
{
    const Result<cell::CellConfiguration, platform::DocumentError> decoded = platform::decodeConfiguration(document);
    if (!isOk(decoded)) {
        logEvent(LogLevel::Error, "configuration.unreadable", {{"source", source}, {"detail", error(decoded).detail}});
        return;
    }
    if (value(decoded).version <= configuration_.version) {
        return;
    }
    logEvent(LogLevel::Info,
        "configuration.applied",
        {{"version", std::to_string(value(decoded).version)},
            {"before", std::to_string(configuration_.version)},
            {"source", source},
            {"unanswered_ms", std::to_string(unansweredTime().count())}});
    configuration_ = value(decoded);
    document_ = document;
    changed_(configuration_);
}

const cell::CellConfiguration &ConfigurationFeed::configuration() const
{
    return configuration_;
}

const std::string &ConfigurationFeed::document() const
{
    return document_;
}

} // namespace knapweed
