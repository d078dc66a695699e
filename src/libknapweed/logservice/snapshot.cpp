// Division of a snapshot into records, and the conditions under which a new snapshot is due.

#include "logservice/snapshot.h"

#include <algorithm>
#include <cassert>

namespace knapweed
{

std::vector<SnapshotRecord> makeSnapshot(const SnapshotRecord &configuration, const JobFold &jobs, const std::string &snapshotId, std::size_t partBytes)
{
    assert(jobs.isComplete());
    assert(jobs.nextOffset() == configuration.throughOffset);
    std::vector<std::string> texts = jobs.snapshotParts(partBytes);
    std::vector<SnapshotRecord> records;
    records.reserve(texts.size());
    for (std::string &text : texts) {
        SnapshotRecord record = configuration;
        record.snapshotId = snapshotId;
        record.part = static_cast<std::int32_t>(records.size());
        record.parts = static_cast<std::int32_t>(texts.size());
        record.jobs = std::move(text);
        records.push_back(std::move(record));
    }
    return records;
}

SnapshotSchedule::SnapshotSchedule(SnapshotPolicy policy, std::uint32_t seed)
    : policy_(policy)
    , random_(seed)
{
}

void SnapshotSchedule::apply(MonotonicTime now, std::int64_t offset, const Record &record)
{
    nextOffset_ = std::max(nextOffset_, offset + 1);
    if (!lastSnapshotAt_) {
        lastSnapshotAt_ = now;
    }
    if (const SnapshotRecord *snapshot = std::get_if<SnapshotRecord>(&record)) {
        applySnapshot(now, *snapshot);
    }
}

void SnapshotSchedule::applySnapshot(MonotonicTime now, const SnapshotRecord &record)
{
    if (record.throughOffset <= throughOffset_) {
        return;
    }
    if (record.snapshotId != partialId_) {
        partialId_ = record.snapshotId;
        partialParts_.clear();
    }
    partialParts_.insert(record.part);
    dueAt_ = now + policy_.completionTimeout + jitter();
    if (partialParts_.size() < static_cast<std::size_t>(std::max(1, record.parts))) {
        return;
    }
    throughOffset_ = record.throughOffset;
    lastSnapshotAt_ = now;
    dueAt_.reset();
}

void SnapshotSchedule::setOldestOffset(std::int64_t offset)
{
    oldestOffset_ = std::max(oldestOffset_, offset);
}

bool SnapshotSchedule::beginIfDue(MonotonicTime now)
{
    if (!isSnapshotNeeded(now)) {
        dueAt_.reset();
        return false;
    }
    if (!dueAt_) {
        dueAt_ = now + jitter();
    }
    if (now < *dueAt_) {
        return false;
    }
    dueAt_ = now + policy_.completionTimeout + jitter();
    return true;
}

bool SnapshotSchedule::isSnapshotNeeded(MonotonicTime now) const
{
    if (!lastSnapshotAt_) {
        return false;
    }
    return nextOffset_ - throughOffset_ >= policy_.records || now - *lastSnapshotAt_ >= policy_.interval || isNearExpiry();
}

bool SnapshotSchedule::isNearExpiry() const
{
    // Records have expired, and the newest snapshot is in the older half of the remaining ones.
    return oldestOffset_ > 0 && 2 * (throughOffset_ - oldestOffset_) < nextOffset_ - oldestOffset_;
}

Milliseconds SnapshotSchedule::jitter()
{
    std::uniform_int_distribution<Milliseconds::rep> delay(0, policy_.jitter.count());
    return Milliseconds(delay(random_));
}

} // namespace knapweed
