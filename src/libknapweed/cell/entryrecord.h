// The stored record of the entries that the scheduler counts when it extends leases without the store (leaseconfirmation.h). The next scheduler reads it at the
// start of its term, and so counts the same ones.
#pragma once

#include "base/result.h"
#include "cell/leaseconfirmation.h"

#include <string>

namespace knapweed::cell
{

/// Key of the record, which stands beside those of the jobs. Versions that don't know it ignore it.
constexpr const char *entryRecordKey = "entries";

struct EntryRecordError
{
    std::string detail;
};

std::string encodeEntries(const EntryIncarnations &entries);

/// Fails if the text is no record in full: some of the entries would let a majority of them pass for one of all.
Result<EntryIncarnations, EntryRecordError> decodeEntries(const std::string &text);

} // namespace knapweed::cell
