// Callers of the simulation, and the checks of what they are told.

#include "cell/simulation.h"

#include "cell/builders.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds longestDelay {4000}; ///< of orders that are carried out: later ones are refused
constexpr Milliseconds cancelTime {3000}; ///< the platform's time from the acknowledgement of a cancel until no task of the job may start
constexpr Milliseconds cancelRepeat {500};

} // namespace

void Simulation::submit(const JobSpec &spec)
{
    shared_.jobs[spec.id] = spec;
    submitted_[spec.id] = spec;
}

void Simulation::cancel(const std::string &job)
{
    wire::JobCall call = callOf(wire::CallKind::Cancel, job);
    call.call = ++lastCall_;
    calls_[call.call] = {call.kind, job};
    deliver("caller", schedulers_.back()->name, call);
}

void Simulation::submitSlowly(const JobSpec &spec, Milliseconds delay)
{
    submissionDelays_[spec.id] = delay;
    submit(spec);
}

void Simulation::giveUp(const std::string &job, Milliseconds delay)
{
    after(delay, [this, job]() {
        givenUp_.insert(job);
        if (cancelsAcknowledgedAt_.count(job) == 0) {
            call(wire::CallKind::Cancel, job, Milliseconds(0));
            giveUp(job, cancelRepeat);
        }
    });
}

/// Sends a call to the scheduler that is known after @p delay.
void Simulation::call(wire::CallKind::type kind, const std::string &job, Milliseconds delay)
{
    const JobSpec &spec = submitted_.at(job);
    wire::JobCall call = callOf(kind, job);
    call.call = ++lastCall_;
    call.queue = spec.queue;
    call.spec = encodeSpec(spec);
    calls_[call.call] = {kind, job};
    if (delay == Milliseconds(0)) {
        deliver("caller", schedulerOfCaller(), call);
        return;
    }
    after(delay, [this, call]() {
        lateSubmissions_ += call.kind == wire::CallKind::Submit && cancelsAcknowledgedAt_.count(call.job) != 0 ? 1 : 0;
        deliver("caller", schedulerOfCaller(), call);
    });
}

/// Callers repeat each submission until it is accepted or given up, and ask for the states of accepted jobs.
void Simulation::callForSubmittedJobs()
{
    for (const auto &[job, spec] : submitted_) {
        if (accepted_.count(job) != 0) {
            call(wire::CallKind::Query, job, Milliseconds(0));
        } else if (givenUp_.count(job) == 0) {
            const auto delay = submissionDelays_.find(job);
            call(wire::CallKind::Submit, job, delay == submissionDelays_.end() ? Milliseconds(0) : delay->second);
        }
    }
}

/// The state of a job goes from pending to running and then to one final state.
void Simulation::checkState(const std::string &job, const wire::JobAnswer &answer)
{
    const auto rankOf = [](const std::string &state) {
        return state == "pending" ? 0 : state == "running" ? 1 : 2;
    };
    const auto [found, isFirst] = toldStates_.try_emplace(job, ToldState {answer.state, lastCall_});
    ToldState &told = found->second;
    if (isFirst || answer.state == told.state) {
        return;
    }
    if (rankOf(answer.state) > rankOf(told.state)) {
        told = {answer.state, lastCall_};
    } else if (answer.call > told.lastCall || rankOf(answer.state) == rankOf(told.state)) {
        shared_.violations.push_back("a job that was shown as " + told.state + " is " + answer.state + ": " + job);
    }
}

/// To be called when an endpoint has started a task of the job.
void Simulation::checkStart(const std::string &job)
{
    const auto acknowledged = cancelsAcknowledgedAt_.find(job);
    if (acknowledged != cancelsAcknowledgedAt_.end() && now_ - acknowledged->second > cancelTime) {
        shared_.violations.push_back("started " + std::to_string((now_ - acknowledged->second).count()) + " ms after its cancel was acknowledged: " + job);
    }
}

void Simulation::receiveAnswer(const wire::JobAnswer &answer)
{
    const auto &[kind, job] = calls_[answer.call];
    const bool isAcknowledged = answer.outcome == wire::CallOutcome::Ok || answer.outcome == wire::CallOutcome::Missing;
    if (kind == wire::CallKind::Cancel && isAcknowledged && givenUp_.count(job) != 0) {
        cancelsAcknowledgedAt_.try_emplace(job, now_);
    }
    formerAnswers_ += answer.generation != 0 && answer.generation < epoch_ ? 1 : 0;
    if (options_.hasMemberships && kind == wire::CallKind::Query && answer.outcome == wire::CallOutcome::Ok) {
        checkState(job, answer);
    }
    const auto accepted = lastCallBeforeAcceptance_.find(job);
    const bool isSentLater = accepted != lastCallBeforeAcceptance_.end() && answer.call > accepted->second;
    if (options_.hasMemberships && kind == wire::CallKind::Cancel && answer.outcome == wire::CallOutcome::Missing && isSentLater) {
        shared_.violations.push_back("an accepted job was missing when it was cancelled: " + job);
    }
    // The answers of an earlier scheduler may arrive after those of its successor.
    const bool mayOvertake = options_.pausesSchedulers || options_.hasMemberships || (options_.delaysMessages && options_.changesSchedulers);
    if (kind == wire::CallKind::Submit && answer.outcome == wire::CallOutcome::Ok) {
        accepted_.insert(job);
        lastCallBeforeAcceptance_.try_emplace(job, lastCall_);
    } else if (kind == wire::CallKind::Cancel && answer.outcome == wire::CallOutcome::Ok && reportedSucceeded_.count(job) == 0) {
        // Until then, orders that were sent before the cancel may still be carried out.
        after(longestDelay, [this, job = job]() {
            cancelled_.insert(job);
        });
    } else if (kind == wire::CallKind::Query) {
        if (answer.outcome == wire::CallOutcome::Missing && accepted_.count(job) != 0) {
            shared_.violations.push_back("an accepted job is missing: " + job);
        }
        const bool isEarlier = mayOvertake && lastCallBeforeSuccess_.count(job) != 0 && answer.call <= lastCallBeforeSuccess_[job];
        if (!isEarlier && reportedSucceeded_.count(job) != 0 && answer.outcome == wire::CallOutcome::Ok && answer.state != "succeeded") {
            shared_.violations.push_back("a job that was reported as succeeded is " + answer.state + ": " + job);
        }
        if (answer.state == "succeeded") {
            reportedSucceeded_.insert(job);
            lastCallBeforeSuccess_.insert({job, lastCall_});
        }
    }
}

bool Simulation::isAccepted(const std::string &job) const
{
    return accepted_.count(job) != 0;
}

std::size_t Simulation::formerAnswers() const
{
    return formerAnswers_;
}

std::size_t Simulation::lateSubmissions() const
{
    return lateSubmissions_;
}

} // namespace knapweed::cell
