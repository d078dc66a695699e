// Leader election: how an entry becomes the scheduler of the cell and stops being it. The store's group assigns its partition to one entry, which then
// begins a term; an append that fences all earlier generations confirms the leadership.

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
constexpr const char *leadershipTopic = "turn"; ///< the owner of its partition 0 is the leader; the topic has no records
constexpr Milliseconds membershipLifetime {1200}; ///< a leader that does not renew its membership in time loses leadership; the platform's minimum is 1 s
constexpr Milliseconds joinInterval {300}; ///< allows three renewals, or three queries of the owner, within a membership lifetime
constexpr Milliseconds discoveryQueryInterval {100}; ///< between queries of the owner while the leadership is free and the entries discover each other
constexpr Milliseconds lossCheckInterval {60}; ///< until the next join of a leader whose last join found that it does not hold the partition
constexpr int handOverBackoff = 4; ///< each hand-over multiplies the next delay, because leadership that returns was not acquired by another entry
constexpr Milliseconds joinTimeout {600}; ///< half a membership lifetime; a slow store answers within 300 ms
constexpr Milliseconds loadTimeout {2000}; ///< for one page of records
constexpr Milliseconds planDelay {8}; ///< changes within this time share one planning round

} // namespace

void CellEntryTask::scheduleLeadershipCheck(Milliseconds delay)
{
    loop_.cancelTimer(leadershipTimer_);
    leadershipTimer_ = loop_.callAfter(delay, [this]() {
        maintainLeadership();
    });
}

/// The leader renews its membership of the group. The other entries only query the owner of the partition and do not join the group, because each member that
/// joins or leaves causes a rebalance.
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
    store_.owner(group, joinTimeout, [this, queriedAt = std::chrono::steady_clock::now()](const Result<platform::GroupOwner, platform::StoreError> &result) {
        isGroupCallPending_ = false;
        if (!isDraining_) {
            handleOwner(result, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - queriedAt));
        }
    });
}

/// Free leadership is acquired only if it is still free after all earlier candidates in the election order have had time to acquire it.
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
    const bool isChallenged = isOk(result) && leaderMonitor_.isChallengeDue(now);
    isLeadershipFree_ = isOk(result) && (value(result).member.empty() || isChallenged);
    const std::vector<cell::LeaderCandidate> others = otherCandidates();
    const Milliseconds discoveryTime = cell::discoveryDelay(std::chrono::duration_cast<Milliseconds>(now - startedAt_), otherEntries().size(), others.size());
    if (isLeadershipFree_ && discoveryTime.count() > 0) {
        isLeadershipFree_ = false; // this query does not count, because the election order is not known yet
        scheduleLeadershipCheck(std::min(discoveryTime, discoveryQueryInterval));
        return;
    }
    const Milliseconds delay = cell::electionDelay({self_, processorPermille()}, others, queryLatency);
    if (isOwn || (isLeadershipFree_ && (wasFree || delay.count() == 0))) {
        if (isChallenged) {
            logEvent(LogLevel::Warning, "leadership.challenged", {{"owner", value(result).member}, {"scheduler", scheduler_}});
        }
        isLeadershipFree_ = false;
        isChallenging_ = isChallenged;
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

/// All entries of the roster except this one, whether connected or not.
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
    const bool isStable = schedulerCore_ != nullptr && !schedulerCore_->isRecovering() && std::chrono::steady_clock::now() - termStartedAt_ > handOverDelay_;
    return isStable && cell::hasBetterCandidate({self_, processorPermille()}, otherCandidates());
}

/// Resigns leadership in favour of an entry with a larger processor share, and then queries the owner like all other entries.
void CellEntryTask::handOver()
{
    logEvent(LogLevel::Info,
        "leadership.handed_over",
        {{"generation", std::to_string(termGeneration_)}, {"processor_permille", std::to_string(processorPermille())}});
    handOverDelay_ *= handOverBackoff;
    resignLeadership("an entry with a larger processor share is connected");
    scheduleLeadershipCheck(joinInterval);
}

bool CellEntryTask::isSchedulerConnected() const
{
    return !scheduler_.empty() && peers_->isConnected(scheduler_);
}

void CellEntryTask::join()
{
    isGroupCallPending_ = true;
    store_.join(group,
        member_,
        leadershipTopic,
        groupGeneration_,
        membershipLifetime,
        joinTimeout,
        [this, renewedAt = BootClock::now()](const Result<platform::Membership, platform::StoreError> &result) {
            isGroupCallPending_ = false;
            if (!isDraining_) {
                handleMembership(result, renewedAt);
                const bool isLossSuspected = isOk(result) && !value(result).holdsPartition && termGeneration_ != 0;
                scheduleLeadershipCheck(isLossSuspected ? lossCheckInterval : joinInterval);
            }
        });
}

void CellEntryTask::handleMembership(const Result<platform::Membership, platform::StoreError> &result, BootTime renewedAt)
{
    if (!isOk(result)) {
        logEvent(LogLevel::Warning, "store.join", {{"reason", error(result).detail}});
        askForLaterTerm();
        return;
    }
    const platform::Membership &membership = value(result);
    groupGeneration_ = membership.generation;
    if (membership.holdsPartition && termGeneration_ == 0) {
        beginTerm(membership.generation);
    } else if (termGeneration_ != 0 && lossDetector_.isLost(membership.holdsPartition)) {
        endTerm("the store assigned the partition to another entry");
    }
    holdsPartition_ = membership.holdsPartition;
    if (termGeneration_ != 0) {
        confirmTerm(membership.generation, renewedAt);
    }
    if (!membership.holdsPartition && termGeneration_ == 0) {
        store_.leave(group, member_, joinTimeout, [](const Result<Done, platform::StoreError> &) {}); // if this fails, the membership expires by itself
    }
}

/// The store has answered a renewal that was sent at @p renewedAt. If other entries have joined since the last one, one of them may have begun a term and
/// resigned, which the journal shows. A renewal that doesn't include the partition revokes the confirmation: another entry may get it at any time.
void CellEntryTask::confirmTerm(std::int64_t groupGeneration, BootTime renewedAt)
{
    if (holdsPartition_ && groupGeneration != confirmedGroupGeneration_) {
        journal_->confirm([this, groupGeneration, renewedAt]() {
            confirmedGroupGeneration_ = groupGeneration;
            confirmTerm(groupGeneration, renewedAt);
        });
        return;
    }
    termConfirmedUntil_ = holdsPartition_ ? std::max(termConfirmedUntil_, renewedAt + confirmationLifetime) : BootTime();
    if (holdsPartition_) {
        leaseConfirmation_.termConfirmed(knownEntries(), renewedAt);
    }
    if (schedulerCore_ != nullptr) {
        schedulerCore_->confirmTerm(termConfirmedUntil_, BootClock::now(), std::chrono::system_clock::now());
        flush();
    }
}

void CellEntryTask::beginTerm(std::int64_t generation)
{
    if (generation <= generation_) {
        return; // the answer predates a term that is already known; the next join returns the current generation
    }
    termGeneration_ = generation;
    confirmedGroupGeneration_ = generation;
    termConfirmedUntil_ = BootTime();
    beginLeaseConfirmation();
    lossDetector_ = cell::LeadershipLossDetector();
    termStartedAt_ = std::chrono::steady_clock::now();
    logEvent(LogLevel::Info, "term.started", {{"generation", std::to_string(generation)}});
    JournalEvents events;
    events.stored = [this](std::uint64_t write) {
        if (schedulerCore_ != nullptr) {
            leaseConfirmation_.recordStored(write);
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
        // Posted, because endTerm() destroys the journal that is making this call.
        loop_.post([this]() {
            endTerm("a later generation has fenced the journal");
        });
    };
    journal_ = std::make_unique<JournalWriter>(loop_, store_, generation, std::move(events));
    loadedRecords_.clear();
    journal_->open([this]() {
        loadJobs("");
    });
}

/// When the store becomes unreachable, refuses the submissions that are confirmed not stored, so that their callers need not wait until it recovers.
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
    const std::int64_t generation = termGeneration_;
    store_.newest(jobTopic, afterKey, loadTimeout, [this, generation, afterKey](Result<platform::NewestPage, platform::StoreError> result) {
        if (termGeneration_ != generation || generation == 0) {
            return;
        }
        if (!isOk(result)) {
            logEvent(LogLevel::Warning, "store.load", {{"reason", error(result).detail}});
            loop_.callAfter(joinInterval, [this, generation, afterKey]() {
                if (termGeneration_ == generation) {
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
    schedulerCore_ = std::make_unique<cell::Scheduler>(
        cell::SchedulerOptions {termGeneration_, settings_.lease, settings_.evacuationApplyTime.has_value(), settings_.loadPolicy});
    schedulerCore_->load(loadedRecords_, now, std::chrono::system_clock::now());
    schedulerCore_->setConfiguration(feed_.configuration());
    schedulerCore_->applyEvacuations(feed_.evacuations(), now);
    loadEntryRecord();
    loadedRecords_.clear();
    schedulerCore_->confirmTerm(termConfirmedUntil_, now, std::chrono::system_clock::now());
    schedulerCore_->beginRecovery(now);
    updateEarlierExtensions();
    updateScheduler(termGeneration_, self_, "term");
    for (const wire::RosterEntry &peer : peers_->roster()) {
        if (peer.address != self_) {
            announceScheduler(peer.address);
        }
    }
    maintainLeaseConfirmation();
    relay_.schedulerChanged(generation_, std::chrono::steady_clock::now());
    flush();
}

void CellEntryTask::endTerm(const char *reason)
{
    if (termGeneration_ == 0) {
        return;
    }
    logEvent(LogLevel::Warning, "term.ended", {{"generation", std::to_string(termGeneration_)}, {"reason", reason}});
    confirmedTerm_ = termGeneration_;
    confirmedTermAt_ = BootClock::now();
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
        for (const cell::AdviceRequest &request : output.adviceRequests) {
            requestAdvice(request);
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

void CellEntryTask::requestAdvice(const cell::AdviceRequest &request)
{
    if (settings_.advice.port == 0) {
        logEvent(LogLevel::Error, "advice.unconfigured", {{"job", std::get<0>(request.step)}});
        schedulerCore_->handleAdvice(request.number, cell::AdviceFailure::Refused, BootClock::now());
        return;
    }
    platform::requestAdvice(http_, settings_.advice, request, [this, number = request.number, generation = termGeneration_](const cell::AdviceResult &result) {
        if (schedulerCore_ != nullptr && termGeneration_ == generation) {
            schedulerCore_->handleAdvice(number, result, BootClock::now());
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
