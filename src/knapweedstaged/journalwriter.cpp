// Batching, retries and fencing of appends.

#include "journalwriter.h"

#include "base/logging.h"

#include <algorithm>
#include <utility>

namespace knapweed
{

namespace
{

constexpr const char *producerName = "scheduler";
constexpr Milliseconds appendTimeout {900}; ///< over 100 times the usual response time of the store, and under half of a caller's time-out
constexpr Milliseconds firstRetryDelay {60}; ///< doubles with each consecutive failure
constexpr Milliseconds maximumRetryDelay {200}; ///< limits how late the end of an outage is detected; submissions are refused until then
constexpr int failuresToUnreachable = 2; ///< a single lost answer is not an outage

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

void JournalWriter::open(std::function<void()> opened)
{
    opened_ = std::move(opened);
    isSending_ = true;
    send();
}

void JournalWriter::write(std::vector<cell::StoreWrite> records, std::uint64_t lastWrite)
{
    queue_.add(std::move(records), lastWrite);
    sendNext();
}

void JournalWriter::confirm(std::function<void()> confirmed)
{
    awaitedConfirmations_.push_back(std::move(confirmed));
    sendNext();
}

bool JournalWriter::retract(const std::string &key)
{
    return queue_.retract(key);
}

void JournalWriter::sendNext()
{
    if (isSending_ || isFenced_ || opened_ || (queue_.isEmpty() && awaitedConfirmations_.empty())) {
        return;
    }
    isConfirmationOnly_ = queue_.isEmpty();
    queue_.beginBatch();
    sentConfirmations_ = std::exchange(awaitedConfirmations_, {});
    isSending_ = true;
    send();
}

/// A batch whose records have all been retracted is sent as well, because its answer shows whether the store is reachable again. An append that only confirms
/// the term repeats the last number: the next batch has a number of its own whether the store counts appends without records or not.
void JournalWriter::send()
{
    platform::Producer producer = producer_;
    producer.sequence -= isConfirmationOnly_ ? 1 : 0;
    std::vector<platform::KeyedRecord> records;
    for (const cell::StoreWrite &write : queue_.batch()) {
        records.push_back({write.key, write.value, 0});
    }
    store_.append(jobTopic, records, producer, appendTimeout, [this, alive = isAlive_](const Result<platform::Appended, platform::StoreError> &result) {
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
        producer_.sequence += isConfirmationOnly_ ? 0 : 1;
        const std::vector<std::function<void()>> confirmations = std::exchange(sentConfirmations_, {});
        if (opened_) {
            const std::function<void()> opened = std::move(opened_);
            opened_ = nullptr;
            opened();
        } else {
            events_.stored(queue_.lastBatchedWrite());
        }
        for (const std::function<void()> &confirmed : confirmations) {
            confirmed();
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
        // Only this writer uses this epoch, so the store's expected sequence number is the one to continue with.
        producer_.sequence = failure.expected;
        retry(Milliseconds(0));
        return;
    }
    if (failure.kind != platform::StoreError::Kind::NotDone) {
        queue_.markBatchOutcomeUnknown();
    }
    ++failures_;
    if (failures_ >= failuresToUnreachable) {
        setReachable(false);
    }
    retry(std::min(maximumRetryDelay, firstRetryDelay * (1 << std::min(failures_ - 1, 4))));
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
