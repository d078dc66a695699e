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

RunEnd runOutcomeOf(wire::RunEnding::type outcome)
{
    switch (outcome) {
    case wire::RunEnding::Done:
        return RunEnd::Done;
    case wire::RunEnding::Failed:
        return RunEnd::Failed;
    case wire::RunEnding::Stopped:
        return RunEnd::Stopped;
    case wire::RunEnding::Lapsed:
        return RunEnd::Lapsed;
    case wire::RunEnding::Broken:
        return RunEnd::Broken;
    case wire::RunEnding::Alone:
        return RunEnd::Alone;
    }
    return RunEnd::Lapsed;
}

wire::RunEnding::type wireOutcome(RunEnd outcome)
{
    return static_cast<wire::RunEnding::type>(static_cast<int>(outcome) + 1);
}

const char *nameOf(RunEnd outcome)
{
    switch (outcome) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
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
