// Reads from the folded log what became of a start record.
#pragma once

#include "gangs/actions.h"
#include "logservice/jobfold.h"

#include <optional>
#include <vector>

namespace knapweed::gangs
{

/// A start record that this process has appended and that the log has not decided yet.
struct UndecidedStart
{
    StartRecord record;
    bool folded = false; ///< the record has been read back, so its place in the log is known
};

/// Nothing while the log has not decided yet, or while the fold does not know enough to tell.
std::optional<StartVerdict> startVerdict(const JobFold &fold, const UndecidedStart &start);

/// To be called after each record is folded.
void markFolded(std::vector<UndecidedStart> &starts, const Record &record);

/// Takes the starts out of @p starts that @p fold decides.
std::vector<StartDecision> takeDecisions(const JobFold &fold, std::vector<UndecidedStart> &starts);

} // namespace knapweed::gangs
