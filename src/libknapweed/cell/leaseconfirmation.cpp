// Majorities of the entries for the extension of leases without the store.

#include "cell/leaseconfirmation.h"

#include <algorithm>
#include <vector>

namespace knapweed::cell
{

namespace
{

/// Of @p others and the process itself.
std::size_t majorityOf(const EntryIncarnations &others)
{
    return (others.size() + 1) / 2 + 1;
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
    item.drainingSince = isDraining ? std::min(item.drainingSince, now) : BootTime::max();
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
        const bool hasLeft = item.drainingSince != BootTime::max() && now - item.drainingSince > leaseConfirmationLifetime;
        if (!hasLeft && now - item.seenAt <= entryRetention) {
            entries[address] = item.incarnation;
        }
    }
    return entries;
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

BootTime LeaseConfirmation::confirmedUntil() const
{
    if (!isTermConfirmed_) {
        return BootTime();
    }
    if (others_.empty()) {
        return BootTime::max();
    }
    std::vector<BootTime> asked;
    for (const auto &[entry, askedAt] : askedAt_) {
        asked.push_back(askedAt);
    }
    std::sort(asked.rbegin(), asked.rend());
    const std::size_t needed = majorityOf(others_) - 1; // besides the scheduler itself
    if (asked.size() < needed) {
        return BootTime();
    }
    return std::min(asked[needed - 1] + leaseConfirmationLifetime, renewedAt_ + maxExtensionWithoutStore);
}

EarlierExtensions::EarlierExtensions(BootTime termStartedAt, BootTime ownEnd)
    : termStartedAt_(termStartedAt)
    , ownEnd_(ownEnd)
{
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
    std::size_t count = 1; // this entry
    for (const auto &[entry, incarnation] : others_) {
        count += acknowledged_.count(entry);
    }
    return count >= majorityOf(others_);
}

/// A majority that confirmed an earlier term has an entry in common with the one that has acknowledged this term, so it has expired with the last of these.
BootTime EarlierExtensions::end() const
{
    const BootTime longest = termStartedAt_ + maxExtensionWithoutStore;
    if (!hasMajority()) {
        return longest;
    }
    std::vector<BootTime> ends {ownEnd_};
    for (const auto &[entry, end] : acknowledged_) {
        if (others_.count(entry) != 0) {
            ends.push_back(end);
        }
    }
    std::sort(ends.begin(), ends.end());
    return std::clamp(ends[majorityOf(others_) - 1], termStartedAt_, longest);
}

} // namespace knapweed::cell
