// The endpoint's side of its protocol with the agent.

#include "cell/fakeendpoint.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds stopDuration {200};
constexpr Milliseconds timeToCrash {20};
constexpr Milliseconds unreadEndTime {300}; ///< a simulated renewal waits for half its maximum, also if a run ends meanwhile
constexpr Milliseconds resizeSlack {4500}; ///< the platform's time for a machine to be in touch again, and one report
constexpr Milliseconds gangStartTimeout {3000};
constexpr Milliseconds maxLease {6000};

std::string text(const RunId &run)
{
    return run.task.job + '.' + std::to_string(run.task.occurrence) + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + " run "
        + std::to_string(run.run);
}

} // namespace

FakeEndpoint::FakeEndpoint(SharedState &shared, std::string id, Resources capacity, double clockRate)
    : shared_(shared)
    , clockRate_(clockRate)
{
    status_.id = std::move(id);
    status_.incarnation = 1;
    status_.service = "svc";
    status_.capacity = capacity;
    status_.rack = "r1";
    status_.labels = {"kind", "r1"};
}

Milliseconds FakeEndpoint::clock() const
{
    return Milliseconds(static_cast<std::int64_t>(double((now_ - startedAt_).count()) * clockRate_));
}

EndpointStatus FakeEndpoint::status()
{
    ++status_.sequence;
    return status_;
}

const EndpointStatus &FakeEndpoint::lastStatus() const
{
    return status_;
}

std::size_t FakeEndpoint::runs() const
{
    return running_.size();
}

bool FakeEndpoint::isGang(const RunId &run) const
{
    return shared_.jobs.at(run.task.job).steps.at(run.task.step).isGang;
}

GangName FakeEndpoint::gangOf(const RunId &run) const
{
    return {run.task.job, run.task.occurrence, run.task.step, run.run};
}

void FakeEndpoint::finish(const RunId &run, RunOutcome outcome)
{
    running_.erase(run);
    endedAt_[run] = now_;
    --shared_.runCounts[run.task];
    shared_.runningMembers[gangOf(run)].erase(run.task.index);
    highestFinished_[run.task] = std::max(highestFinished_[run.task], run.run);
    ++lastEnd_;
    ended_[lastEnd_] = {lastEnd_, run, outcome, {}};
}

/// Whether a run whose gang has lost a member ends now.
bool FakeEndpoint::isBroken(Running &state, BootTime now) const
{
    if (!shared_.gangEndDelay) {
        return true;
    }
    if (!state.breaksAt) {
        state.breaksAt = now + shared_.gangEndDelay();
    }
    return now >= *state.breaksAt;
}

bool FakeEndpoint::hasCrashed() const
{
    return hasCrashed_;
}

void FakeEndpoint::crash()
{
    for (const auto &[run, state] : running_) {
        shared_.crashes[run.task] += shared_.jobs.at(run.task.job).input == crashingInput ? 1 : 0;
    }
    restart(status_.incarnation);
    hasCrashed_ = true;
}

void FakeEndpoint::advance(BootTime now)
{
    const double elapsed = double((now - now_).count());
    now_ = now;
    if (crashesAt_ && now >= *crashesAt_) {
        crash();
    }
    if (clock() >= leaseUntil_) {
        expiredUpTo_ = lastEnd_;
    }
    std::vector<std::pair<RunId, RunOutcome>> finishedRuns;
    for (auto &[run, state] : running_) {
        const bool isMember = isGang(run);
        const std::size_t members = isMember ? static_cast<std::size_t>(shared_.jobs.at(run.task.job).steps.at(run.task.step).tasks) : 1;
        const bool isTogether = !isMember || shared_.runningMembers[gangOf(run)].size() == members;
        state.workMs += isTogether ? elapsed : 0;
        if (clock() >= leaseUntil_) {
            finishedRuns.emplace_back(run, RunOutcome::LeaseExpired);
        } else if (state.isStopping && now >= state.stopsAt) {
            finishedRuns.emplace_back(run, RunOutcome::Stopped);
        } else if (state.workMs >= state.neededMs || (isMember && shared_.completedGangs.count(gangOf(run)) != 0)) {
            finishedRuns.emplace_back(run, RunOutcome::Done);
        } else if (isMember && !isTogether && state.workMs > 0 && isBroken(state, now)) {
            finishedRuns.emplace_back(run, RunOutcome::GangMemberLost);
        } else if (isMember && !isTogether && state.workMs <= 0 && now - state.startedAt > gangStartTimeout) {
            finishedRuns.emplace_back(run, RunOutcome::GangIncomplete);
        }
    }
    for (const auto &[run, outcome] : finishedRuns) {
        if (outcome == RunOutcome::Done && isGang(run)) {
            shared_.completedGangs.insert(gangOf(run));
        }
        finish(run, outcome);
    }
}

void FakeEndpoint::extendLease(Milliseconds until)
{
    leaseUntil_ = std::max(leaseUntil_, std::min(until, clock() + maxLease));
}

Result<RenewalResult, EndpointError> FakeEndpoint::renewLease(const RenewalRequest &request)
{
    if (hasCrashed_) {
        return EndpointError {EndpointError::Kind::ConnectionFailed, "crashed"};
    }
    if (request.endpoint != status_.id) {
        return EndpointError {EndpointError::Kind::DifferentIncarnation, "421"};
    }
    if (request.fence < fence_) {
        return EndpointError {EndpointError::Kind::Fenced, "fence"};
    }
    fence_ = request.fence;
    if (request.leaseUntil) {
        extendLease(*request.leaseUntil);
    }
    for (auto end = ended_.begin(); end != ended_.end() && end->first <= request.endsStored; end = ended_.erase(end)) {
        if (end->second.outcome == RunOutcome::Done && end->first > expiredUpTo_) {
            shared_.acknowledged.insert(end->second.run.task);
        }
    }
    RenewalResult answer;
    answer.clock = clock();
    answer.incarnation = status_.incarnation;
    for (const auto &[run, state] : running_) {
        answer.running.push_back({run, {}, static_cast<int>(100 * state.workMs / std::max(1.0, state.neededMs)), 0});
    }
    for (const auto &[number, end] : ended_) {
        answer.ended.push_back(end);
    }
    return answer;
}

Result<Milliseconds, EndpointError> FakeEndpoint::start(const StartRequest &request)
{
    if (hasCrashed_) {
        return EndpointError {EndpointError::Kind::ConnectionFailed, "crashed"};
    }
    if (request.endpoint != status_.id) {
        return EndpointError {EndpointError::Kind::DifferentIncarnation, "421"};
    }
    if (request.fence < fence_) {
        return EndpointError {EndpointError::Kind::Fenced, "fence"};
    }
    fence_ = request.fence;
    if (running_.count(request.run) != 0) {
        return clock();
    }
    if (request.run.run <= highestFinished_[request.run.task]) {
        return EndpointError {EndpointError::Kind::Refused, "old"};
    }
    if (request.leaseUntil <= clock()) {
        return EndpointError {EndpointError::Kind::Refused, "late"};
    }
    extendLease(request.leaseUntil);
    if (++shared_.runCounts[request.run.task] > 1) {
        shared_.violations.push_back("two runs of one task: " + text(request.run));
    }
    if (shared_.acknowledged.count(request.run.task) != 0) {
        shared_.violations.push_back("started after its end was acknowledged: " + text(request.run));
    }
    Running &state = running_[request.run];
    state.startedAt = now_;
    state.neededMs = double(shared_.jobs.at(request.run.task.job).steps.at(request.run.task.step).estimate.count());
    shared_.runningMembers[gangOf(request.run)].insert(request.run.task.index);
    if (shared_.jobs.at(request.run.task.job).input == crashingInput) {
        crashesAt_ = now_ + timeToCrash;
    }
    if (shared_.crashes[request.run.task] >= 3 && ++shared_.startsAfterCrashes[request.run.task] >= 3) {
        shared_.violations.push_back("started three times more after three endpoints had crashed under it: " + text(request.run));
    }
    checkCapacity();
    return clock();
}

Result<Milliseconds, EndpointError> FakeEndpoint::stop(const StopRequest &request)
{
    if (hasCrashed_) {
        return EndpointError {EndpointError::Kind::ConnectionFailed, "crashed"};
    }
    if (request.endpoint != status_.id) {
        return EndpointError {EndpointError::Kind::DifferentIncarnation, "421"};
    }
    if (request.fence < fence_) {
        return EndpointError {EndpointError::Kind::Fenced, "fence"};
    }
    fence_ = request.fence;
    highestFinished_[request.run.task] = std::max(highestFinished_[request.run.task], request.run.run);
    const auto found = running_.find(request.run);
    if (found != running_.end() && !found->second.isStopping) {
        found->second.isStopping = true;
        found->second.stopsAt = now_ + stopDuration;
    }
    return clock();
}

void FakeEndpoint::checkCapacity()
{
    Resources freeCapacity = status_.capacity;
    if (resizedAt_ != BootTime() && now_ - resizedAt_ < resizeSlack) {
        freeCapacity.accelerators = std::max(freeCapacity.accelerators, earlierCapacity_.accelerators);
    }
    for (const auto &[run, state] : running_) {
        freeCapacity -= shared_.jobs.at(run.task.job).steps.at(run.task.step).needs;
    }
    if (freeCapacity.milliCores < 0 || freeCapacity.memoryMib < 0 || freeCapacity.accelerators < 0) {
        shared_.violations.push_back("over capacity: " + status_.id);
    }
}

void FakeEndpoint::resize(Resources capacity)
{
    earlierCapacity_ = status_.capacity;
    resizedAt_ = now_;
    status_.capacity = capacity;
}

void FakeEndpoint::restart(std::int64_t incarnation)
{
    for (const auto &[run, state] : running_) {
        --shared_.runCounts[run.task];
        shared_.runningMembers[gangOf(run)].erase(run.task.index);
        shared_.crashedRuns[run.task].insert(run.run);
    }
    for (const auto &[run, endedAt] : endedAt_) {
        if (now_ - endedAt <= unreadEndTime) {
            shared_.crashedRuns[run.task].insert(run.run);
        }
    }
    endedAt_.clear();
    running_.clear();
    ended_.clear();
    highestFinished_.clear();
    lastEnd_ = 0;
    expiredUpTo_ = 0;
    fence_ = 0;
    leaseUntil_ = Milliseconds(0);
    startedAt_ = now_;
    crashesAt_.reset();
    hasCrashed_ = false;
    status_.incarnation = incarnation;
    status_.sequence = 0;
}

void FakeEndpoint::restart(std::int64_t incarnation, const std::string &id)
{
    restart(incarnation);
    status_.id = id;
}

} // namespace knapweed::cell
