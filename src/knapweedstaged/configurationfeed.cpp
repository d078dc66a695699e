// Carries out the reads that cell::ConfigurationReads decides on, and applies what they or the peers bring.

#include "configurationfeed.h"

#include "base/logging.h"
#include "documents.h"

#include <algorithm>

namespace knapweed
{

ConfigurationFeed::ConfigurationFeed(
    EventLoop &loop, platform::StoreClient &store, Milliseconds applyTime, std::uint32_t seed, std::function<void(const cell::CellConfiguration &)> changed)
    : loop_(loop)
    , store_(store)
    , times_(cell::configurationReadTimes(applyTime))
    , reads_(times_, seed)
    , changed_(std::move(changed))
{
}

ConfigurationFeed::~ConfigurationFeed()
{
    loop_.cancelTimer(timer_);
}

void ConfigurationFeed::start()
{
    answeredAt_ = std::chrono::steady_clock::now();
    proceed();
}

void ConfigurationFeed::proceed()
{
    const std::optional<cell::ConfigurationRead> read = reads_.begin(std::chrono::steady_clock::now());
    if (read && read->isNewest) {
        NewestList list;
        list.number = read->number;
        list.sentAt = BootClock::now();
        list.position = nextOffset_;
        readNewest(list, "");
    } else if (read) {
        follow(*read);
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    proceedAfter(std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(reads_.nextBegin() - now)));
}

void ConfigurationFeed::proceedAfter(Milliseconds delay)
{
    loop_.cancelTimer(timer_);
    timer_ = loop_.callAfter(delay, [this]() {
        proceed();
    });
}

void ConfigurationFeed::readNewest(const NewestList &list, const std::string &afterKey)
{
    const auto received = [this, list](const Result<platform::NewestPage, platform::StoreError> &result) {
        noteAnswer(isOk(result), "newest", isOk(result) ? std::string() : error(result).detail);
        if (isOk(result)) {
            handlePage(list, value(result));
        } else {
            finish(list.number, false, false);
        }
    };
    store_.newest(platform::operatorTopic, afterKey, times_.giveUp, received, afterKey.empty() ? HttpConnection::New : HttpConnection::Any);
}

void ConfigurationFeed::handlePage(NewestList list, const platform::NewestPage &page)
{
    apply(page.records);
    list.end = list.end < 0 ? page.end : list.end;
    for (const platform::KeyedRecord &record : page.records) {
        const std::optional<cell::EvacuationRecord> evacuation = platform::decodeEvacuation(record);
        if (evacuation && evacuation->isRequested) {
            list.evacuations.domains[evacuation->domain] = evacuation->offset;
        }
        if (record.key == platform::configurationKey) {
            list.position = std::max(list.position, record.offset + 1);
        }
    }
    if (evacuationsChanged_ && page.isTruncated && !page.records.empty()) {
        reads_.continued(list.number, std::chrono::steady_clock::now());
        readNewest(list, page.records.back().key);
        return;
    }
    applyList(list);
    confirmedAt_ = std::max(confirmedAt_, list.sentAt);
    finish(list.number, true, false);
}

/// A list shows no revocations: what it lacks counts as revoked below its position. All records below that one were stored before the list came to the
/// evacuations: they follow the configuration in a list. The end that the list names is not used, because a record may have been stored after its key was
/// passed and before the end was taken.
void ConfigurationFeed::applyList(NewestList list)
{
    list.evacuations.position = std::min(list.position, list.end);
    offerEvacuations(list.evacuations, "store");
}

void ConfigurationFeed::applyPage(const platform::ReadPage &page, std::int64_t from)
{
    if (!evacuationsChanged_) {
        return;
    }
    std::vector<cell::EvacuationRecord> records;
    for (const platform::KeyedRecord &record : page.records) {
        const std::optional<cell::EvacuationRecord> evacuation = platform::decodeEvacuation(record);
        if (evacuation) {
            records.push_back(*evacuation);
        }
    }
    cell::Evacuations later = evacuations_;
    cell::applyRecords(later, records, from, page.next);
    changeEvacuations(later, "store");
}

void ConfigurationFeed::follow(const cell::ConfigurationRead &read)
{
    const auto received = [this, number = read.number, from = nextOffset_, sentAt = BootClock::now(), wait = read.wait](
                              const Result<platform::ReadPage, platform::StoreError> &result) {
        // The records at this offset may have been deleted, but the store always keeps the newest record of the key.
        const bool isDeleted = !isOk(result) && error(result).kind == platform::StoreError::Kind::Deleted;
        noteAnswer(isOk(result) || isDeleted, "read", isOk(result) ? std::string() : error(result).detail);
        bool hasGap = isDeleted;
        if (isOk(result)) {
            apply(value(result).records);
            applyPage(value(result), from);
            hasGap = isPastEnd(from, value(result));
            nextOffset_ = hasGap ? value(result).end : std::max(nextOffset_, value(result).next);
            if (value(result).next == value(result).end) {
                // Without records, the store answers when the wait is over.
                const BootTime readAt = value(result).records.empty() ? std::min(BootClock::now(), sentAt + wait) : sentAt;
                confirmedAt_ = std::max(confirmedAt_, readAt);
            }
        } else if (isDeleted) {
            nextOffset_ = std::max(nextOffset_, error(result).expected);
        }
        finish(number, isOk(result) || isDeleted, hasGap);
    };
    store_.read(platform::operatorTopic, nextOffset_, read.wait, read.wait + times_.giveUp, received);
}

/// Whether a read from @p from could only wait. Its answer looks like that of a read to which nothing new has come.
bool ConfigurationFeed::isPastEnd(std::int64_t from, const platform::ReadPage &page)
{
    if (page.end >= from) {
        return false;
    }
    logEvent(LogLevel::Warning,
        "configuration.position_ahead",
        {{"position", std::to_string(from)}, {"end", std::to_string(page.end)}, {"first", std::to_string(page.first)}});
    return true;
}

void ConfigurationFeed::finish(std::uint64_t number, bool isAnswered, bool hasGap)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (isAnswered) {
        reads_.answered(number, hasGap, now);
    } else {
        reads_.failed(number, now);
    }
    // Not at once, because the connection of this answer can be used again only after this callback.
    proceedAfter(Milliseconds(0));
}

void ConfigurationFeed::apply(const std::vector<platform::KeyedRecord> &records)
{
    for (const platform::KeyedRecord &record : records) {
        if (record.key == platform::configurationKey) {
            offer(record.value, "store");
            // Not after the end of a list: a list is not a snapshot, and a record may have been stored while it was made.
            nextOffset_ = std::max(nextOffset_, record.offset + 1);
        }
    }
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

void ConfigurationFeed::serveEvacuations(std::function<void(const cell::Evacuations &)> changed)
{
    evacuationsChanged_ = std::move(changed);
}

void ConfigurationFeed::offerEvacuations(const cell::Evacuations &evacuations, const char *source)
{
    if (evacuationsChanged_) {
        changeEvacuations(cell::merged(evacuations_, evacuations), source);
    }
}

void ConfigurationFeed::changeEvacuations(const cell::Evacuations &later, const char *source)
{
    if (later == evacuations_) {
        return;
    }
    cell::logChanges(evacuations_, later, source);
    evacuations_ = later;
    evacuationsChanged_(evacuations_);
}

const cell::Evacuations &ConfigurationFeed::evacuations() const
{
    return evacuations_;
}

bool ConfigurationFeed::isConfirmed() const
{
    return BootClock::now() - confirmedAt_ < times_.confirmed;
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
