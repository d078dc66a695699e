// How an entry becomes the scheduler, and stops being it: the group's partition says whose turn it is, and only the fenced append proves it.

#include "advicecall.h"
#include "base/logging.h"
#include "cell/election.h"
#include "cellentrytask.h"

#include <algorithm>

namespace knapweed
{

namespace
{

constexpr const char *group = "scheduler";
constexpr const char *turnTopic = "turn"; ///< its partition 0 is the scheduler's place; it has no records
constexpr Milliseconds membershipLifetime {1200}; ///< an entry that is silent for so long loses the place; the platform allows no less than 1 s
constexpr Milliseconds joinInterval {300}; ///< three joins, or looks at the place, within a lifetime
constexpr Milliseconds learningLook {100}; ///< between looks at a free place while the entries hear of each other
constexpr Milliseconds doubtInterval {60}; ///< until the next join of a scheduler that was told that it doesn't hold the place
constexpr int handOverBackoff = 4; ///< a place that comes back after a hand-over was not wanted; the next try can wait
constexpr Milliseconds joinTimeout {600}; ///< half a lifetime; a slow store answers in 300 ms
constexpr Milliseconds loadTimeout {2000}; ///< of one page of records
constexpr Milliseconds adviceTimeout {3000}; ///< the adviser takes calls one after the other
constexpr Milliseconds planDelay {8}; ///< what arrives together is planned together

} // namespace

void CellEntryTask::scheduleLeadershipCheck(Milliseconds delay)
{
    loop_.cancelTimer(leadershipTimer_);
    leadershipTimer_ = loop_.callAfter(delay, [this]() {
        maintainLeadership();
    });
}

/// The scheduler renews its place. The other entries are no members of the group, because each member that comes or goes has the place dealt anew; they
/// look whether it is free.
void CellEntryTask::maintainLeadership()
{
    if (isDraining_ || isGroupCallPending_) {
        return;
    }
    if (termGeneration_ != 0 && isHandOverDue()) {
        handOver();
        return;
    }
    if (termGeneration_ != 0) {
        join();
        return;
    }
    isGroupCallPending_ = true;
    store_.owner(group, joinTimeout, [this, began = std::chrono::steady_clock::now()](const Result<platform::GroupOwner, platform::StoreError> &result) {
        isGroupCallPending_ = false;
        if (!isDraining_) {
            handleOwner(result, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - began));
        }
    });
}

/// A free place is taken only when it is still free after the entries before this one had their turn.
void CellEntryTask::handleOwner(const Result<platform::GroupOwner, platform::StoreError> &result, Milliseconds queryLatency)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (isOk(result)) {
        leaderMonitor_.leaderObserved(value(result).member, isSchedulerConnected(), now);
    } else {
        leaderMonitor_.leaderUnknown(now);
    }
    const bool wasFree = isLeadershipFree_;
    const bool isOwn = isOk(result) && value(result).member == member_;
    const bool isDoubted = isOk(result) && leaderMonitor_.isChallengeDue(now);
    isLeadershipFree_ = isOk(result) && (value(result).member.empty() || isDoubted);
    const std::vector<cell::LeaderCandidate> others = otherCandidates();
    const Milliseconds learning = cell::discoveryDelay(std::chrono::duration_cast<Milliseconds>(now - startedAt_), otherEntries().size(), others.size());
    if (isLeadershipFree_ && learning.count() > 0) {
        isLeadershipFree_ = false; // this look doesn't count: the order among the entries isn't known yet
        scheduleLeadershipCheck(std::min(learning, learningLook));
        return;
    }
    const Milliseconds delay = cell::electionDelay({self_, processorPermille()}, others, queryLatency);
    if (isOwn || (isLeadershipFree_ && (wasFree || delay.count() == 0))) {
        if (isDoubted) {
            logEvent(LogLevel::Warning, "tenure.challenged", {{"owner", value(result).member}, {"scheduler", scheduler_}});
        }
        isLeadershipFree_ = false;
        join();
    } else {
        scheduleLeadershipCheck(isLeadershipFree_ ? delay : joinInterval);
    }
}

std::vector<cell::LeaderCandidate> CellEntryTask::otherCandidates() const
{
    std::vector<cell::LeaderCandidate> others;
    for (const wire::RosterEntry &peer : otherEntries()) {
        if (peers_->isConnected(peer.address)) {
            others.push_back({peer.address, peer.processorPermille});
        }
    }
    return others;
}

/// The entries that this process knows of, connected or not, but itself.
std::vector<wire::RosterEntry> CellEntryTask::otherEntries() const
{
    std::vector<wire::RosterEntry> entries = peers_->roster();
    std::erase_if(entries, [this](const wire::RosterEntry &peer) {
        return peer.role != wire::Role::Entry || peer.address == self_;
    });
    return entries;
}

bool CellEntryTask::isHandOverDue() const
{
    const bool isSettled = schedulerCore_ != nullptr && !schedulerCore_->isRecovering() && std::chrono::steady_clock::now() - termStartedAt_ > handOverDelay_;
    return isSettled && cell::hasBetterCandidate({self_, processorPermille()}, otherCandidates());
}

/// Leaves the place to an entry with more of a core; this one looks at it again like all others.
void CellEntryTask::handOver()
{
    logEvent(
        LogLevel::Info, "tenure.handedover", {{"generation", std::to_string(termGeneration_)}, {"processor_permille", std::to_string(processorPermille())}});
    handOverDelay_ *= handOverBackoff;
    resignLeadership("an entry with more of a core is connected");
    scheduleLeadershipCheck(joinInterval);
}

bool CellEntryTask::isSchedulerConnected() const
{
    return !scheduler_.empty() && peers_->isConnected(scheduler_);
}

void CellEntryTask::join()
{
    isGroupCallPending_ = true;
    store_.join(
        group, member_, turnTopic, groupGeneration_, membershipLifetime, joinTimeout, [this](const Result<platform::Membership, platform::StoreError> &result) {
            isGroupCallPending_ = false;
            if (!isDraining_) {
                handleMembership(result);
                const bool isDoubtful = isOk(result) && !value(result).holdsPartition && termGeneration_ != 0;
                scheduleLeadershipCheck(isDoubtful ? doubtInterval : joinInterval);
            }
        });
}

void CellEntryTask::handleMembership(const Result<platform::Membership, platform::StoreError> &result)
{
    if (!isOk(result)) {
        logEvent(LogLevel::Warning, "store.join", {{"reason", error(result).detail}});
        return;
    }
    const platform::Membership &membership = value(result);
    groupGeneration_ = membership.generation;
    if (membership.holdsPartition && termGeneration_ == 0) {
        beginTerm(membership.generation);
    } else if (termGeneration_ != 0 && lossDetector_.isLost(membership.holdsPartition)) {
        endTerm("the place was given to another entry");
    }
    if (!membership.holdsPartition && termGeneration_ == 0) {
        store_.leave(group, member_, joinTimeout, [](const Result<Done, platform::StoreError> &) {}); // else its membership lapses by itself
    }
}

void CellEntryTask::beginTerm(std::int64_t generation)
{
    if (generation <= generation_) {
        return; // an answer from before a tenure that is known; the next join tells
    }
    termGeneration_ = generation;
    lossDetector_ = cell::LeadershipLossDetector();
    termStartedAt_ = std::chrono::steady_clock::now();
    logEvent(LogLevel::Info, "tenure.begun", {{"generation", std::to_string(generation)}});
    JournalEvents events;
    events.stored = [this](std::uint64_t write) {
        if (schedulerCore_ != nullptr) {
            schedulerCore_->stored(write, BootClock::now());
            flush();
        }
    };
    events.reachable = [this](bool isReachable) {
        if (schedulerCore_ != nullptr) {
            schedulerCore_->setStoreReachable(isReachable);
            refusePendingSubmissions(isReachable);
        }
    };
    events.fenced = [this]() {
        // Not inside the journal's own call.
        loop_.post([this]() {
            endTerm("a later generation has written");
        });
    };
    journal_ = std::make_unique<JournalWriter>(loop_, store_, generation, std::move(events));
    loadedRecords_.clear();
    journal_->open([this]() {
        loadJobs("");
    });
}

/// Callers whose submission surely isn't stored needn't wait for the store's return.
void CellEntryTask::refusePendingSubmissions(bool isStoreReachable)
{
    if (isStoreReachable) {
        return;
    }
    for (const std::string &job : schedulerCore_->pendingSubmissions()) {
        if (journal_->retract(cell::jobRecordKey(job))) {
            schedulerCore_->retractSubmission(job);
        }
    }
    loop_.post([this]() {
        flush();
    });
}

void CellEntryTask::loadJobs(const std::string &afterKey)
{
    const std::int64_t tenure = termGeneration_;
    store_.newest(jobTopic, afterKey, loadTimeout, [this, tenure, afterKey](Result<platform::NewestPage, platform::StoreError> result) {
        if (termGeneration_ != tenure || tenure == 0) {
            return;
        }
        if (!isOk(result)) {
            logEvent(LogLevel::Warning, "store.load", {{"reason", error(result).detail}});
            loop_.callAfter(joinInterval, [this, tenure, afterKey]() {
                if (termGeneration_ == tenure) {
                    loadJobs(afterKey);
                }
            });
            return;
        }
        const platform::NewestPage &page = value(result);
        for (const platform::KeyedRecord &record : page.records) {
            loadedRecords_[record.key] = record.value;
        }
        if (page.isTruncated && !page.records.empty()) {
            loadJobs(page.records.back().key);
        } else {
            jobsLoaded();
        }
    });
}

void CellEntryTask::jobsLoaded()
{
    const BootTime now = BootClock::now();
    schedulerCore_ = std::make_unique<cell::Scheduler>(cell::SchedulerOptions {termGeneration_, settings_.lease});
    schedulerCore_->load(loadedRecords_, now, std::chrono::system_clock::now());
    schedulerCore_->setConfiguration(feed_.configuration());
    loadedRecords_.clear();
    schedulerCore_->beginRecovery(now);
    updateScheduler(termGeneration_, self_, "tenure");
    for (const wire::RosterEntry &peer : peers_->roster()) {
        if (peer.address != self_) {
            announceScheduler(peer.address);
        }
    }
    relay_.schedulerChanged(std::chrono::steady_clock::now());
    flush();
}

void CellEntryTask::endTerm(const char *reason)
{
    if (termGeneration_ == 0) {
        return;
    }
    logEvent(LogLevel::Warning, "tenure.ended", {{"generation", std::to_string(termGeneration_)}, {"reason", reason}});
    termGeneration_ = 0;
    schedulerCore_.reset();
    journal_.reset();
    if (scheduler_ == self_) {
        scheduler_.clear();
    }
}

void CellEntryTask::resignLeadership(const char *reason)
{
    loop_.cancelTimer(leadershipTimer_);
    endTerm(reason);
    store_.leave(group, member_, settings_.grace, [this](const Result<Done, platform::StoreError> &) {
        wire::SchedulerNotice notice;
        notice.generation = generation_;
        notice.address = self_;
        notice.isLeaving = true;
        for (const wire::RosterEntry &peer : otherEntries()) {
            peers_->send(peer.address, notice);
        }
    });
}

void CellEntryTask::flush()
{
    while (schedulerCore_ != nullptr) {
        cell::SchedulerOutput output = schedulerCore_->takeOutput();
        if (output.messages.empty() && output.writes.empty() && output.adviceRequests.empty()) {
            break;
        }
        for (const cell::AdviceRequest &question : output.adviceRequests) {
            requestAdvice(question);
        }
        if (!output.writes.empty()) {
            journal_->write(std::move(output.writes), output.lastWrite);
        }
        for (const auto &[peer, message] : output.messages) {
            if (peer != self_) {
                peers_->send(peer, message);
            } else if (const wire::JobAnswer *answer = std::get_if<wire::JobAnswer>(&message)) {
                relay_.handleAnswer(*answer);
            }
        }
    }
    schedulePlan();
}

void CellEntryTask::requestAdvice(const cell::AdviceRequest &question)
{
    if (settings_.advice.port == 0) {
        logEvent(LogLevel::Error, "advice.unconfigured", {{"job", std::get<0>(question.step)}});
        return;
    }
    platform::requestAdvice(http_,
        settings_.advice,
        question,
        adviceTimeout,
        [this, step = question.step, tenure = termGeneration_](const std::optional<cell::AdviceReply> &answer) {
            if (schedulerCore_ != nullptr && termGeneration_ == tenure) {
                schedulerCore_->handleAdviceReply(step, answer);
                flush();
            }
        });
}

void CellEntryTask::schedulePlan()
{
    if (isPlanScheduled_ || schedulerCore_ == nullptr) {
        return;
    }
    if (!schedulerCore_->isPlanDue()) {
        return;
    }
    isPlanScheduled_ = true;
    loop_.callAfter(planDelay, [this]() {
        isPlanScheduled_ = false;
        if (schedulerCore_ != nullptr) {
            schedulerCore_->tick(BootClock::now(), std::chrono::system_clock::now());
            flush();
        }
    });
}

} // namespace knapweed
