// Forms batches of records.

#include "cell/writequeue.h"

#include <algorithm>
#include <map>

namespace knapweed::cell
{

namespace
{

constexpr std::size_t maxBatchRecords = 400; ///< per append
constexpr std::size_t batchByteLimit = std::size_t(1) << 20; ///< a batch is complete at this size; half of the limit of the store for one append

} // namespace

void WriteQueue::add(std::vector<StoreWrite> records, std::uint64_t lastWrite)
{
    std::uint64_t number = lastWrite - records.size();
    for (StoreWrite &record : records) {
        pending_.push_back({std::move(record), ++number});
    }
}

bool WriteQueue::isEmpty() const
{
    return pending_.empty();
}

void WriteQueue::beginBatch()
{
    std::map<std::string, std::string> newest;
    std::size_t bytes = 0;
    while (!pending_.empty() && newest.size() < maxBatchRecords && bytes < batchByteLimit) {
        Pending &next = pending_.front();
        bytes += next.record.key.size() + next.record.value.size();
        lastBatchedWrite_ = next.number;
        newest[next.record.key] = std::move(next.record.value);
        pending_.pop_front();
    }
    batch_.clear();
    isBatchOutcomeUnknown_ = false;
    for (auto &[key, value] : newest) {
        batch_.push_back({key, std::move(value)});
    }
}

const std::vector<StoreWrite> &WriteQueue::batch() const
{
    return batch_;
}

std::uint64_t WriteQueue::lastBatchedWrite() const
{
    return lastBatchedWrite_;
}

void WriteQueue::markBatchOutcomeUnknown()
{
    isBatchOutcomeUnknown_ = true;
}

bool WriteQueue::retract(const std::string &key)
{
    const auto isOfKey = [&key](const StoreWrite &record) {
        return record.key == key;
    };
    if (isBatchOutcomeUnknown_ && std::any_of(batch_.begin(), batch_.end(), isOfKey)) {
        return false;
    }
    std::erase_if(batch_, isOfKey);
    std::erase_if(pending_, [&key](const Pending &pending) {
        return pending.record.key == key;
    });
    return true;
}

} // namespace knapweed::cell
