// Callers of the simulation, and the checks of what they are told.

#include "cell/simulation.h"

#include "cell/builders.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds longestDelay {4000}; ///< of orders that are carried out: later ones are refused

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

/// Callers repeat each submission until it is accepted, and then ask for the state of the job.
void Simulation::callForSubmittedJobs()
{
    for (const auto &[job, spec] : submitted_) {
        wire::JobCall call = callOf(accepted_.count(job) != 0 ? wire::CallKind::Query : wire::CallKind::Submit, job);
        call.call = ++lastCall_;
        call.queue = spec.queue;
        call.spec = encodeSpec(spec);
        calls_[call.call] = {call.kind, job};
        deliver("caller", schedulers_.back()->name, call);
    }
}

void Simulation::receiveAnswer(const wire::JobAnswer &answer)
{
    const auto &[kind, job] = calls_[answer.call];
    // The answers of an earlier scheduler may arrive after those of its successor.
    const bool mayOvertake = options_.pausesSchedulers || (options_.delaysMessages && options_.changesSchedulers);
    if (kind == wire::CallKind::Submit && answer.outcome == wire::CallOutcome::Ok) {
        accepted_.insert(job);
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

} // namespace knapweed::cell
