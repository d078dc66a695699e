// Batches, retries and the fence.

#include "journalwriter.h"

#include "base/logging.h"

#include <algorithm>
#include <map>

namespace knapweed
{

namespace
{

constexpr const char *producerName = "scheduler";
constexpr std::size_t batchRecords = 400; ///< of one append
constexpr std::size_t batchBytes = std::size_t(1) << 20; ///< of one append; half of what the store takes
constexpr Milliseconds appendTimeout {900}; ///< over 100 times a usual answer, under half of a caller's patience
constexpr Milliseconds firstRetry {60}; ///< doubled with each failure in a row
constexpr Milliseconds longestRetry {500};
constexpr int failuresToUnreachable = 2; ///< one lost answer is no outage

} // namespace

JournalWriter::JournalWriter(EventLoop &loop, platform::StoreClient &store, std::int64_t generation, JournalEvents events)
    : loop_(loop)
    , store_(store)
    , events_(std::move(events))
    , producer_ {producerName, generation, 0}
{
}

JournalWriter::~JournalWriter()
{
    *isAlive_ = false;
}

void JournalWriter::open(std::function<void()> begun)
{
    begun_ = std::move(begun);
    isSending_ = true;
    send();
}

void JournalWriter::write(std::vector<cell::StoreWrite> records, std::uint64_t lastWrite)
{
    std::uint64_t number = lastWrite - records.size();
    for (cell::StoreWrite &record : records) {
        pending_.push_back({{std::move(record.key), std::move(record.value), 0}, ++number});
    }
    sendNext();
}

void JournalWriter::sendNext()
{
    if (isSending_ || isFenced_ || begun_ || pending_.empty()) {
        return;
    }
    // Of several records of one key only the last counts.
    std::map<std::string, std::string> newest;
    std::size_t bytes = 0;
    while (!pending_.empty() && newest.size() < batchRecords && bytes < batchBytes) {
        Pending &next = pending_.front();
        bytes += next.record.key.size() + next.record.value.size();
        batchNumber_ = next.number;
        newest[next.record.key] = std::move(next.record.value);
        pending_.pop_front();
    }
    batch_.clear();
    for (auto &[key, value] : newest) {
        batch_.push_back({key, std::move(value), 0});
    }
    isSending_ = true;
    send();
}

void JournalWriter::send()
{
    store_.append(jobTopic, batch_, producer_, appendTimeout, [this, alive = isAlive_](const Result<platform::Appended, platform::StoreError> &result) {
        if (*alive) {
            handle(result);
        }
    });
}

void JournalWriter::retry(Milliseconds delay)
{
    loop_.callAfter(delay, [this, alive = isAlive_]() {
        if (*alive && !isFenced_) {
            send();
        }
    });
}

void JournalWriter::handle(const Result<platform::Appended, platform::StoreError> &result)
{
    if (isOk(result)) {
        failures_ = 0;
        setReachable(true);
        isSending_ = false;
        ++producer_.sequence;
        if (begun_) {
            const std::function<void()> begun = std::move(begun_);
            begun_ = nullptr;
            begun();
        } else {
            events_.stored(batchNumber_);
        }
        sendNext();
        return;
    }
    const platform::StoreError &failure = error(result);
    logEvent(LogLevel::Warning,
        "store.append",
        {{"seq", std::to_string(producer_.sequence)}, {"reason", failure.detail}, {"expected", std::to_string(failure.expected)}});
    if (failure.kind == platform::StoreError::Kind::Fenced) {
        isFenced_ = true;
        events_.fenced();
        return;
    }
    if (failure.kind == platform::StoreError::Kind::OutOfSequence) {
        // Only this writer has this epoch: the store tells how far it has come.
        producer_.sequence = failure.expected;
        retry(Milliseconds(0));
        return;
    }
    ++failures_;
    if (failures_ >= failuresToUnreachable) {
        setReachable(false);
    }
    retry(std::min(longestRetry, firstRetry * (1 << std::min(failures_ - 1, 4))));
}

void JournalWriter::setReachable(bool isReachable)
{
    if (isReachable_ != isReachable) {
        isReachable_ = isReachable;
        logEvent(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "store.regained" : "store.lost");
        events_.reachable(isReachable);
    }
}

} // namespace knapweed
