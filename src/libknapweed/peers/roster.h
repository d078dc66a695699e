// The roster of known processes: this process, its connected peers, and entries listed in the heartbeats of peers.
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
    /// Keyed by address; never contains the address of self.
    std::map<std::string, Item> items;
};

/// Adds or updates @p entry and sets its last-seen time to @p now. Returns true if the entry is new or any of its fields has changed.
/// Ignores the entry of this process itself, and entries with an older incarnation than the recorded one.
bool recordEntry(Roster &roster, const wire::RosterEntry &entry, MonotonicTime now);

/// Removes entries that were last seen before @p oldest. Returns true if any entry was removed.
bool expireEntries(Roster &roster, MonotonicTime oldest);

/// Returns the addresses of all processes with the entry role in the order in which this process connects to them when it needs only some:
/// its own failure domain first. Within these two groups the order differs from process to process, which spreads the connections.
std::vector<std::string> entriesByPreference(const Roster &roster);

/// Returns self first, then the other processes sorted by address.
std::vector<wire::RosterEntry> listEntries(const Roster &roster);

} // namespace knapweed
