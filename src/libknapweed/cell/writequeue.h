// Queue of the scheduler's records to be stored. Records are written in batches and in order, and can be retracted only while they are confirmed not stored.
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
    /// Appends @p records; the last of them has the number @p lastWrite.
    void add(std::vector<StoreWrite> records, std::uint64_t lastWrite);

    bool isEmpty() const;

    /// Forms a batch from the pending records. Of several records with the same key it keeps only the last.
    void beginBatch();
    const std::vector<StoreWrite> &batch() const;
    /// All records up to this number are in the current batch or an earlier one.
    std::uint64_t lastBatchedWrite() const;
    /// Call this when an append of the batch got no answer: the batch may have been stored.
    void markBatchOutcomeUnknown();

    /// Removes the record of @p key. Returns false if the record may have been stored. Call this only while no append is pending.
    bool retract(const std::string &key);

private:
    struct Pending
    {
        StoreWrite record;
        std::uint64_t number = 0;
    };

    std::deque<Pending> pending_;
    std::vector<StoreWrite> batch_; ///< unchanged until its outcome is known, except for retracted records
    std::uint64_t lastBatchedWrite_ = 0;
    bool isBatchOutcomeUnknown_ = false; ///< concerns the batch only; pending records were never sent
};

} // namespace knapweed::cell
