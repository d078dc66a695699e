// Bookkeeping of known processes by incarnation and age.

#include "peers/roster.h"

namespace knapweed
{

bool noteEntry(Roster &roster, const wire::RosterEntry &entry, MonotonicTime now)
{
    if (entry.address == roster.self.address) {
        return false;
    }
    const auto found = roster.items.find(entry.address);
    if (found == roster.items.end()) {
        roster.items[entry.address] = {entry, now};
        return true;
    }
    Roster::Item &item = found->second;
    if (entry.incarnation < item.entry.incarnation) {
        return false;
    }
    item.lastHeard = now;
    const bool isChanged = !(item.entry == entry);
    item.entry = entry;
    return isChanged;
}

bool expireEntries(Roster &roster, MonotonicTime oldest)
{
    const std::size_t erased = std::erase_if(roster.items, [oldest](const std::pair<const std::string, Roster::Item> &known) {
        return known.second.lastHeard < oldest;
    });
    return erased != 0;
}

std::vector<wire::RosterEntry> listEntries(const Roster &roster)
{
    std::vector<wire::RosterEntry> entries {roster.self};
    for (const auto &[address, item] : roster.items) {
        entries.push_back(item.entry);
    }
    return entries;
}

} // namespace knapweed
