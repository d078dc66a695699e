// Reads from the folded log what became of a start record.
#pragma once

#include "gangs/actions.h"
#include "logservice/jobfold.h"

#include <optional>

namespace knapweed::gangs
{

/// Nothing while the log has not decided yet, or while the fold does not know enough to tell. A verdict never changes afterwards.
std::optional<StartVerdict> startVerdict(const JobFold &fold, const StartRecord &record);

} // namespace knapweed::gangs
