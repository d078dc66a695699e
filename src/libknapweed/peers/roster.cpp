// Adds, updates and expires known processes by their incarnation and last-seen time.

#include "peers/roster.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace knapweed
{

bool recordEntry(Roster &roster, const wire::RosterEntry &entry, MonotonicTime now)
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
    item.lastSeen = now;
    const bool isChanged = !(item.entry == entry);
    item.entry = entry;
    return isChanged;
}

bool expireEntries(Roster &roster, MonotonicTime oldest)
{
    const std::size_t erased = std::erase_if(roster.items, [oldest](const std::pair<const std::string, Roster::Item> &known) {
        return known.second.lastSeen < oldest;
    });
    return erased != 0;
}

std::vector<std::string> entriesByPreference(const Roster &roster)
{
    std::vector<std::tuple<bool, std::size_t, std::string>> ranked;
    for (const auto &[address, item] : roster.items) {
        if (item.entry.role == wire::Role::Entry) {
            const bool isElsewhere = item.entry.failureDomain != roster.self.failureDomain;
            ranked.emplace_back(isElsewhere, std::hash<std::string>()(roster.self.address + ' ' + address), address);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> addresses;
    addresses.reserve(ranked.size());
    for (const auto &[isElsewhere, hash, address] : ranked) {
        addresses.push_back(address);
    }
    return addresses;
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
