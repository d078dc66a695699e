// The order of the log decides whether a start is valid.

#include "gangs/startverdict.h"

namespace knapweed::gangs
{

std::optional<StartVerdict> startVerdict(const JobFold &fold, const UndecidedStart &start)
{
    const StartRecord &record = start.record;
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
    // The record was read back and is not valid: another entry has claimed the job, or the job already had an outcome.
    return start.folded ? std::optional(StartVerdict::NotOwner) : std::nullopt;
}

void markFolded(std::vector<UndecidedStart> &starts, const Record &record)
{
    const StartRecord *folded = std::get_if<StartRecord>(&record);
    if (!folded) {
        return;
    }
    for (UndecidedStart &start : starts) {
        start.folded = start.folded || (start.record.leadNonce == folded->leadNonce && start.record.attempt == folded->attempt);
    }
}

std::vector<StartDecision> takeDecisions(const JobFold &fold, std::vector<UndecidedStart> &starts)
{
    std::vector<StartDecision> decisions;
    std::erase_if(starts, [&fold, &decisions](const UndecidedStart &start) {
        const std::optional<StartVerdict> verdict = startVerdict(fold, start);
        if (verdict) {
            decisions.push_back({start.record.attempt, start.record.leadNonce, *verdict});
        }
        return verdict.has_value();
    });
    return decisions;
}

} // namespace knapweed::gangs
