// Runs and their ends between the job model and the messages of the cell's processes.
#pragma once

#include "jobs/job.h"
#include "peers/gen/peers_types.h"

namespace knapweed::cell
{

RunId runIdOf(const wire::RunRef &ref);
wire::RunRef wireRef(const RunId &run);

RunOutcome runOutcomeOf(wire::RunEnding::type outcome);
wire::RunEnding::type wireOutcome(RunOutcome outcome);

/// For logs.
const char *nameOf(RunOutcome outcome);
/// OCCURRENCE.STEP.INDEX, for logs.
std::string nameOf(const TaskId &task);

/// What a task of the step counts for on an endpoint: the processors of a filling step don't count.
Resources countedNeeds(const Step &step);

} // namespace knapweed::cell
