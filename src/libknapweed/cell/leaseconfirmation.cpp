// Majorities of the entries for the extension of leases without the store.

#include "cell/leaseconfirmation.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace knapweed::cell
{

namespace
{

std::size_t majorityOf(std::size_t entries)
{
    return entries / 2 + 1;
}

} // namespace

void EntryHistory::seen(const std::string &address, std::int64_t incarnation, bool isDraining, BootTime now)
{
    removeOld(now);
    Item &item = items_[address];
    if (item.incarnation != incarnation) {
        item = Item();
        item.incarnation = incarnation;
    }
    item.seenAt = now;
    if (isDraining) { // an entry does not resume, but without a connection to it nothing says that it drains
        item.drainingSince = std::min(item.drainingSince, now);
    }
}

void EntryHistory::configured(const std::string &address, BootTime now)
{
    items_[address].seenAt = now;
}

void EntryHistory::removeOld(BootTime now)
{
    std::erase_if(items_, [now](const auto &item) {
        return now - item.second.seenAt > entryRetention;
    });
}

EntryIncarnations EntryHistory::entries(BootTime now) const
{
    EntryIncarnations entries;
    for (const auto &[address, item] : items_) {
        if (!hasLeft(item, now) && now - item.seenAt <= entryRetention) {
            entries[address] = item.incarnation;
        }
    }
    return entries;
}

bool EntryHistory::isEmpty(BootTime now) const
{
    return std::none_of(items_.begin(), items_.end(), [now](const auto &item) {
        return now - item.second.seenAt <= entryRetention;
    });
}

EntryIncarnations EntryHistory::departed(BootTime now) const
{
    EntryIncarnations entries;
    for (const auto &[address, item] : items_) {
        if (hasLeft(item, now)) {
            entries[address] = item.incarnation;
        }
    }
    return entries;
}

bool EntryHistory::hasLeft(const Item &item, BootTime now)
{
    return item.drainingSince != BootTime::max() && now - item.drainingSince > leaseConfirmationLifetime;
}

LeaseConfirmation::LeaseConfirmation(std::string self)
    : self_(std::move(self))
{
}

void LeaseConfirmation::termConfirmed(const EntryIncarnations &others, BootTime renewedAt)
{
    others_ = others;
    voters_ = others;
    askedAt_.clear();
    renewedAt_ = renewedAt;
    isTermConfirmed_ = true;
}

void LeaseConfirmation::addEntries(const EntryIncarnations &others)
{
    others_.insert(others.begin(), others.end());
}

void LeaseConfirmation::answered(const std::string &entry, std::int64_t incarnation, BootTime askedAt)
{
    const auto voter = voters_.find(entry);
    if (voter != voters_.end() && voter->second == incarnation) {
        BootTime &newest = askedAt_[entry];
        newest = std::max(newest, askedAt);
    }
}

void LeaseConfirmation::recordLoaded(const EntryIncarnations &entries)
{
    recordWritten(entries, 0);
    isRecorded_ = true;
}

void LeaseConfirmation::recordWritten(const EntryIncarnations &entries, std::uint64_t write)
{
    records_[write] = entries;
}

void LeaseConfirmation::recordStored(std::uint64_t write)
{
    const auto firstUnstored = records_.upper_bound(write);
    if (firstUnstored != records_.begin()) {
        records_.erase(records_.begin(), std::prev(firstUnstored));
        isRecorded_ = true;
    }
}

bool LeaseConfirmation::isRecorded() const
{
    return isRecorded_;
}

/// When the oldest of the questions was sent whose answers make up the most recent majority of @p entries; the epoch if there is none, BootTime::max() if this
/// entry is one by itself.
BootTime LeaseConfirmation::majorityAskedAt(const EntryIncarnations &entries) const
{
    std::vector<BootTime> asked;
    for (const auto &[entry, incarnation] : entries) {
        const auto voter = voters_.find(entry);
        const auto askedAt = askedAt_.find(entry);
        if (entry == self_) {
            asked.push_back(BootTime::max());
        } else if (voter != voters_.end() && voter->second == incarnation && askedAt != askedAt_.end()) {
            asked.push_back(askedAt->second);
        }
    }
    std::sort(asked.rbegin(), asked.rend());
    const std::size_t needed = majorityOf(entries.size());
    return asked.size() < needed ? BootTime() : asked[needed - 1];
}

BootTime LeaseConfirmation::confirmedUntil() const
{
    if (!isTermConfirmed_) {
        return BootTime();
    }
    EntryIncarnations known = others_;
    known[self_] = 0;
    BootTime askedAt = majorityAskedAt(known);
    for (const auto &[write, entries] : records_) {
        askedAt = std::min(askedAt, majorityAskedAt(entries));
    }
    if (askedAt == BootTime()) {
        return askedAt;
    }
    const BootTime longest = renewedAt_ + maxExtensionWithoutStore;
    return askedAt == BootTime::max() ? longest : std::min(askedAt + leaseConfirmationLifetime, longest);
}

EarlierExtensions::EarlierExtensions(BootTime termStartedAt, BootTime ownEnd, std::string self)
    : self_(std::move(self))
    , termStartedAt_(termStartedAt)
    , ownEnd_(ownEnd)
{
}

void EarlierExtensions::confirmedByStore(BootTime end)
{
    storeConfirmationEnd_ = end;
}

void EarlierExtensions::recordLoaded(const EntryIncarnations &entries)
{
    recorded_ = entries;
}

void EarlierExtensions::removeDeparted(const EntryIncarnations &departed)
{
    for (const auto &[entry, incarnation] : departed) {
        const auto found = recorded_.find(entry);
        if (found != recorded_.end() && found->second <= incarnation) {
            recorded_.erase(found);
        }
    }
}

void EarlierExtensions::addEntries(const EntryIncarnations &others)
{
    others_.insert(others.begin(), others.end());
}

void EarlierExtensions::acknowledged(const std::string &entry, BootTime end)
{
    acknowledged_.try_emplace(entry, end);
}

bool EarlierExtensions::hasMajority() const
{
    return confirmationsEnd() != BootTime::max();
}

BootTime EarlierExtensions::end() const
{
    const BootTime earliest = std::max(termStartedAt_, storeConfirmationEnd_);
    return std::clamp(confirmationsEnd(), earliest, std::max(earliest, termStartedAt_ + maxExtensionWithoutStore));
}

/// A majority that confirmed an earlier term has an entry in common with the one that has acknowledged this term, so it has expired with the last of these.
/// BootTime::max() without a majority.
BootTime EarlierExtensions::confirmationsEnd() const
{
    EntryIncarnations known = others_;
    known[self_] = 0;
    return std::max(endWithMajorityOf(known), recorded_.empty() ? BootTime() : endWithMajorityOf(recorded_));
}

/// BootTime::max() without a majority.
BootTime EarlierExtensions::endWithMajorityOf(const EntryIncarnations &entries) const
{
    std::vector<BootTime> ends;
    for (const auto &[entry, incarnation] : entries) {
        const auto acknowledged = acknowledged_.find(entry);
        if (entry == self_) {
            ends.push_back(ownEnd_);
        } else if (acknowledged != acknowledged_.end()) {
            ends.push_back(acknowledged->second);
        }
    }
    std::sort(ends.begin(), ends.end());
    const std::size_t needed = majorityOf(entries.size());
    return ends.size() < needed ? BootTime::max() : ends[needed - 1];
}

} // namespace knapweed::cell
