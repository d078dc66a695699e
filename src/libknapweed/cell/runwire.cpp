// Conversion of runs and their outcomes.

#include "cell/runwire.h"

namespace knapweed::cell
{

RunId runIdOf(const wire::RunRef &ref)
{
    return {{ref.job, ref.occurrence, ref.step, ref.index}, ref.run};
}

wire::RunRef wireRef(const RunId &run)
{
    wire::RunRef ref;
    ref.job = run.task.job;
    ref.occurrence = run.task.occurrence;
    ref.step = run.task.step;
    ref.index = run.task.index;
    ref.run = run.run;
    return ref;
}

RunOutcome runOutcomeOf(wire::RunEnding::type outcome)
{
    switch (outcome) {
    case wire::RunEnding::Done:
        return RunOutcome::Done;
    case wire::RunEnding::Failed:
        return RunOutcome::Failed;
    case wire::RunEnding::Stopped:
        return RunOutcome::Stopped;
    case wire::RunEnding::Lapsed:
        return RunOutcome::LeaseExpired;
    case wire::RunEnding::Broken:
        return RunOutcome::GangMemberLost;
    case wire::RunEnding::Alone:
        return RunOutcome::GangIncomplete;
    }
    return RunOutcome::LeaseExpired;
}

wire::RunEnding::type wireOutcome(RunOutcome outcome)
{
    return static_cast<wire::RunEnding::type>(static_cast<int>(outcome) + 1);
}

const char *nameOf(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseExpired:
        return "lapsed";
    case RunOutcome::GangMemberLost:
        return "broken";
    case RunOutcome::GangIncomplete:
        return "alone";
    }
    return "lapsed";
}

std::string nameOf(const TaskId &task)
{
    return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

Resources countedNeeds(const Step &step)
{
    Resources needs = step.needs;
    if (step.isFiller) {
        needs.milliCores = 0;
    }
    return needs;
}

} // namespace knapweed::cell
