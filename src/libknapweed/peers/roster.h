// The processes that this one knows of: itself, those it is connected with, and entries that others named in their heartbeats.
#pragma once

#include "base/clock.h"
#include "peers/gen/peers_types.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed
{

struct Roster
{
    struct Item
    {
        wire::RosterEntry entry;
        MonotonicTime lastSeen;
    };
    wire::RosterEntry self;
    /// By address, never self's own.
    std::map<std::string, Item> items;
};

/// Notes that @p entry was heard of at @p now. Returns true when the set of processes, or an incarnation in it, has changed.
/// An older incarnation than the known one is ignored.
bool recordEntry(Roster &roster, const wire::RosterEntry &entry, MonotonicTime now);

/// Drops what nobody has heard from since @p oldest. Returns true when anything left.
bool expireEntries(Roster &roster, MonotonicTime oldest);

/// The entries in the order in which a process that needs only some of them connects to them: those of its failure domain first, each process in another order.
std::vector<std::string> entriesByPreference(const Roster &roster);

/// Self first, then the others by address.
std::vector<wire::RosterEntry> listEntries(const Roster &roster);

} // namespace knapweed
