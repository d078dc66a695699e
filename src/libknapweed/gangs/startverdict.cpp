// The order of the log decides whether a start is valid.

#include "gangs/startverdict.h"

namespace knapweed::gangs
{

std::optional<StartVerdict> startVerdict(const JobFold &fold, const StartRecord &record)
{
    if (!fold.isComplete()) {
        return std::nullopt;
    }
    if (fold.isValidStart(record)) {
        return StartVerdict::Valid;
    }
    if (fold.isAbandoned(record.attempt)) {
        return StartVerdict::Abandoned;
    }
    const FoldedJob *job = fold.job(record.attempt.job);
    if (job && job->start) {
        return job->start->attempt == record.attempt ? StartVerdict::OtherIncarnation : StartVerdict::OtherAttempt;
    }
    if (job && job->outcome) {
        return StartVerdict::OtherAttempt;
    }
    return std::nullopt;
}

} // namespace knapweed::gangs
