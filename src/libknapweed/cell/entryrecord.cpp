// Encodes the counted entries as a JSON object of incarnations by peer address.

#include "cell/entryrecord.h"

#include <nlohmann/json.hpp>

namespace knapweed::cell
{

using nlohmann::json;

std::string encodeEntries(const EntryIncarnations &entries)
{
    return json(entries).dump();
}

Result<EntryIncarnations, EntryRecordError> decodeEntries(const std::string &text)
{
    const json record = json::parse(text, nullptr, false);
    if (!record.is_object()) {
        return EntryRecordError {"no JSON object"};
    }
    EntryIncarnations entries;
    for (const auto &[address, incarnation] : record.items()) {
        if (!incarnation.is_number_integer()) {
            return EntryRecordError {"the incarnation of " + address + " is no whole number"};
        }
        entries[address] = incarnation.get<std::int64_t>();
    }
    return entries;
}

} // namespace knapweed::cell
