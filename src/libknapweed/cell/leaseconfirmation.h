// Leases while the store does not answer: until when a scheduler may extend them, and from when on no earlier scheduler does. Both rest on majorities of the
// entries. Two majorities of one set have an entry in common, and an entry that has acknowledged a term confirms no earlier one. Both schedulers count the set
// that is recorded at the store (entryrecord.h), besides those that they know themselves. docs/design/lease-confirmation.md.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace knapweed::cell
{

constexpr Milliseconds leaseConfirmationLifetime {1000}; ///< how long an entry's answer counts, from when it was asked for
/// Longest time for which a scheduler extends leases without the store. Ordinary outages of the store take 3 to 9 s, and its renewals are up to 1 s apart.
constexpr Seconds maxExtensionWithoutStore {15};
/// How long an entry counts after it was last seen. A partition lasts longer than an entry stays in the roster (10 s), and its other side still counts.
constexpr Seconds entryRetention {30};

/// Entries by peer address, with their incarnation; 0 while it is unknown.
using EntryIncarnations = std::map<std::string, std::int64_t>;

/// The other entries of which a majority is counted.
class EntryHistory
{
public:
    void seen(const std::string &address, std::int64_t incarnation, bool isDraining, BootTime now);
    /// The settings name the entry, which counts although it may never have been seen: a process that has just started knows no others.
    void configured(const std::string &address, BootTime now);

    /// Entries that shut down are not counted once the answers that they have given have expired.
    EntryIncarnations entries(BootTime now) const;
    /// Whether no other entry is configured, nor has been seen for a while.
    bool isEmpty(BootTime now) const;
    /// The entries that have shut down and not started again, with the incarnation that did.
    EntryIncarnations departed(BootTime now) const;

private:
    struct Item
    {
        std::int64_t incarnation = 0;
        BootTime seenAt;
        BootTime drainingSince = BootTime::max();
    };

    static bool hasLeft(const Item &item, BootTime now);
    void removeOld(BootTime now);

    std::map<std::string, Item> items_;
};

/// Until when a scheduler may extend leases on the word of the other entries.
class LeaseConfirmation
{
public:
    LeaseConfirmation() = default;
    /// @p self: peer address of this entry, which confirms its own term.
    explicit LeaseConfirmation(std::string self);

    /// The store has confirmed the term by a renewal that was sent at @p renewedAt, when @p others were known. Only these can confirm it from now on: one that
    /// has started since may have acknowledged a later term and forgotten it.
    void termConfirmed(const EntryIncarnations &others, BootTime renewedAt);

    /// Adds entries that are needed for a majority. None is removed before the store confirms the term again, because a partition hides entries.
    void addEntries(const EntryIncarnations &others);

    /// The entry has answered a question that was sent at @p askedAt: it knows of no later term.
    void answered(const std::string &entry, std::int64_t incarnation, BootTime askedAt);

    /// The record of an earlier term says that @p entries, which may include this one, are counted.
    void recordLoaded(const EntryIncarnations &entries);
    /// A record of @p entries was issued as the write with the number @p write. Until it is stored, the next scheduler may find it or the one before.
    void recordWritten(const EntryIncarnations &entries, std::uint64_t write);
    /// All writes up to @p write are stored.
    void recordStored(std::uint64_t write);

    /// Whether the next scheduler finds a record. Until then it can't know which entries are counted here.
    bool isRecorded() const;

    BootTime confirmedUntil() const;

private:
    BootTime majorityAskedAt(const EntryIncarnations &entries) const;

    std::string self_;
    EntryIncarnations others_;
    EntryIncarnations voters_; ///< a part of others_
    std::map<std::uint64_t, EntryIncarnations> records_; ///< those that the next scheduler may find, by write; 0: of an earlier term
    bool isRecorded_ = false; ///< the first of these is stored
    std::map<std::string, BootTime> askedAt_; ///< when the newest question was sent that the voter has answered
    BootTime renewedAt_;
    bool isTermConfirmed_ = false;
};

/// From when on no earlier scheduler extends leases, as far as a new scheduler can know.
class EarlierExtensions
{
public:
    EarlierExtensions() = default;
    /// @p self: peer address of this entry. @p ownEnd: end of the confirmations that it has itself given to earlier schedulers.
    EarlierExtensions(BootTime termStartedAt, BootTime ownEnd, std::string self = {});

    /// The leadership was not free: until @p end, the store's last confirmation of the earlier scheduler may hold, whatever the entries know.
    void confirmedByStore(BootTime end);
    /// An earlier scheduler counts @p entries, which may include this one: a majority of them is needed as well.
    void recordLoaded(const EntryIncarnations &entries);
    /// These entries have shut down, so they confirm no term any more unless they have started again.
    void removeDeparted(const EntryIncarnations &departed);

    /// Adds entries that are needed for a majority.
    void addEntries(const EntryIncarnations &others);

    /// The entry has acknowledged the term. Its confirmations of earlier ones count until @p end.
    void acknowledged(const std::string &entry, BootTime end);

    bool hasMajority() const;
    BootTime end() const;

private:
    BootTime confirmationsEnd() const;
    BootTime endWithMajorityOf(const EntryIncarnations &entries) const;

    std::string self_;
    EntryIncarnations others_;
    EntryIncarnations recorded_;
    std::map<std::string, BootTime> acknowledged_;
    BootTime termStartedAt_;
    BootTime storeConfirmationEnd_; ///< of earlier schedulers
    BootTime ownEnd_;
};

} // namespace knapweed::cell
