// Determines from the log fold whether a start record is valid.
#pragma once

#include "gangs/actions.h"
#include "logservice/jobfold.h"

#include <optional>
#include <vector>

namespace knapweed::gangs
{

/// A start record that this process has appended and whose verdict is not known yet.
struct UndecidedStart
{
    StartRecord record;
    bool folded = false; ///< the record has been read back from the log, so its position is known
};

/// Returns no value while the log has not decided the record, or while the fold is incomplete.
std::optional<StartVerdict> startVerdict(const JobFold &fold, const UndecidedStart &start);

/// Marks the start that @p record reads back. Must be called after each record is applied to the fold.
void markFolded(std::vector<UndecidedStart> &starts, const Record &record);

/// Removes the starts that @p fold decides from @p starts and returns their verdicts.
std::vector<StartDecision> takeDecisions(const JobFold &fold, std::vector<UndecidedStart> &starts);

} // namespace knapweed::gangs
