// What an endpoint that crashed is known to have run. An order that was sent shows nothing: it may be carried out by the next incarnation or never, and a run
// may have ended before the crash without its end being read.

#include "cell/agent.h"

#include "base/logging.h"
#include "cell/fleet.h"
#include "cell/runwire.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Seconds lostRunsRetention {60}; ///< several changes of scheduler
constexpr Milliseconds shownRunValidity = 3 * longPollTimeout; ///< covers one answered long poll, the next one until the crash, and the time between them

} // namespace

/// A crash closes all connections at once, and new ones are refused until the next incarnation answers. Whatever else keeps an answer away may hide the end of
/// a run.
void Agent::noteFailedRenewal(std::uint64_t number, const EndpointError &failure)
{
    if (number < incarnation_->appliedRenewal || incarnation_->isReplaced) {
        return;
    }
    using Kind = EndpointError::Kind;
    const bool isFirst = !incarnation_->firstFailureAt || number <= incarnation_->renewalAtFirstFailure;
    const bool isClosed = failure.kind == Kind::Unanswered && !failure.isTimeout;
    const bool isCrash = failure.kind == Kind::ConnectionFailed || failure.kind == Kind::DifferentIncarnation || (isClosed && isFirst);
    incarnation_->mayHaveMissedEnds = incarnation_->mayHaveMissedEnds || !isCrash;
    incarnation_->isReplaced = failure.kind == Kind::DifferentIncarnation;
    if (!incarnation_->firstFailureAt) {
        incarnation_->firstFailureAt = hooks_.now();
        incarnation_->renewalAtFirstFailure = renewalNumber_;
    }
}

/// Whether the endpoint has shown the run so shortly before it crashed that an end in between would have been read. A run that was being stopped may have ended
/// at any moment; one that was ordered to stop since may not.
bool Agent::wasRunningUntilCrash(const RunId &run, const OrderedRun &ordered) const
{
    const BootTime crashedBy = incarnation_->firstFailureAt.value_or(hooks_.now());
    const bool isShown = ordered.shownAt != BootTime() && crashedBy - ordered.shownAt <= shownRunValidity;
    const auto stop = stopOrders_.find(run);
    const bool wasStopping = stop != stopOrders_.end() && stop->second <= crashedBy;
    return isShown && !incarnation_->mayHaveMissedEnds && !wasStopping;
}

/// Records the runs that end with the current incarnation, for the reports of the next one. None if it was leaving: its end is no crash. @p lists: the first
/// ones of the next incarnation, read by the renewal @p verification.
void Agent::recordLostRuns(std::uint64_t verification, const RenewalResult &lists)
{
    const bool hasLeftInOrder = !incarnation_ || incarnation_->status.isDraining || incarnation_->isGone;
    if (hasLeftInOrder || areLostRunsKnown_) {
        lostRuns_.clear(); // else this incarnation crashed before its lists could tell what it had carried out of the starts sent to the one before
    }
    areLostRunsKnown_ = true;
    lostRunsExpireAt_ = hooks_.now() + lostRunsRetention;
    if (hasLeftInOrder) {
        return;
    }
    for (const auto &[run, ordered] : incarnation_->ordered) {
        const auto listed = incarnation_->running.find(run);
        LostRun lost {run, ordered};
        lost.isSettled = listed != incarnation_->running.end() && hasSettled(true, listed->second.percent, hooks_.now() - ordered.since);
        lost.wasRunning = wasRunningUntilCrash(run, ordered);
        const bool isAnswered = ordered.shownAt != BootTime();
        if (!isAnswered && hooks_.now() - ordered.since >= lateOrderWindow) {
            continue;
        }
        areLostRunsKnown_ = areLostRunsKnown_ && (ordered.isListed || (isAnswered && ordered.renewalAtAnswer < verification));
        lostRuns_.push_back(std::move(lost));
    }
    removeCarriedOutStarts(lists);
    logLostRuns();
}

void Agent::logLostRuns() const
{
    for (const LostRun &lost : lostRuns_) {
        const bool isAnswered = lost.ordered.shownAt != BootTime();
        const char *shown = lost.ordered.isListed ? "listed" : isAnswered ? "answered" : "no";
        logEvent(LogLevel::Info,
            "run.lost",
            {{"job", lost.run.task.job},
                {"task", nameOf(lost.run.task)},
                {"run", std::to_string(lost.run.run)},
                {"endpoint", incarnation_->status.id},
                {"shown", shown},
                {"settled", lost.isSettled ? "yes" : "no"},
                {"was_running", lost.wasRunning ? "yes" : "no"}});
    }
}

/// A start that was sent to the former incarnation may have been carried out by this one, which then lists the run or its end.
void Agent::removeCarriedOutStarts(const RenewalResult &lists)
{
    std::erase_if(lostRuns_, [&lists](const LostRun &lost) {
        const auto isOfRun = [&lost](const auto &row) {
            return row.run == lost.run;
        };
        return std::any_of(lists.running.begin(), lists.running.end(), isOfRun) || std::any_of(lists.ended.begin(), lists.ended.end(), isOfRun);
    });
}

} // namespace knapweed::cell
