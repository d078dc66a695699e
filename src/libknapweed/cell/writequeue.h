// The scheduler's records on their way to the store: batched, in order, and withdrawn only while they surely were not written.
#pragma once

#include "cell/scheduler.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace knapweed::cell
{

class WriteQueue
{
public:
    /// Takes records whose last has the number @p lastWrite.
    void add(std::vector<StoreWrite> records, std::uint64_t lastWrite);

    bool isEmpty() const;

    /// Makes a batch of what waits: of several records of one key only the last.
    void beginBatch();
    const std::vector<StoreWrite> &batch() const;
    /// All records up to this number are in this batch or in an earlier one.
    std::uint64_t lastBatchedWrite() const;
    /// An append of the batch had no answer: it may be written.
    void markBatchOutcomeUnknown();

    /// Takes the record of @p key out again. False when it may have been written. Only to be called while no append is under way.
    bool retract(const std::string &key);

private:
    struct Pending
    {
        StoreWrite record;
        std::uint64_t number = 0;
    };

    std::deque<Pending> pending_;
    std::vector<StoreWrite> batch_; ///< the same until its fate is known, but for what is withdrawn
    std::uint64_t lastBatchedWrite_ = 0;
    bool isBatchOutcomeUnknown_ = false; ///< of the batch; what waits was never sent
};

} // namespace knapweed::cell
