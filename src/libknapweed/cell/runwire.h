// Conversion of runs and their outcomes between the job model and the messages of the cell's processes.
#pragma once

#include "jobs/job.h"
#include "peers/gen/peers_types.h"

namespace knapweed::cell
{

RunId runIdOf(const wire::RunRef &ref);
wire::RunRef wireRef(const RunId &run);

RunOutcome runOutcomeOf(wire::RunEnding::type outcome);
wire::RunEnding::type wireOutcome(RunOutcome outcome);

/// The name of @p outcome in log lines.
const char *nameOf(RunOutcome outcome);
/// OCCURRENCE.STEP.INDEX, for log lines.
std::string nameOf(const TaskId &task);

/// The capacity that a task of the step takes on an endpoint. The processors of a filler step are not counted.
Resources countedNeeds(const Step &step);

} // namespace knapweed::cell
