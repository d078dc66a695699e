// Extension of leases while the store does not answer: questions to the other entries and their answers.

#include "base/logging.h"
#include "cell/entryrecord.h"
#include "cellentrytask.h"

#include <algorithm>

namespace knapweed
{

namespace
{

constexpr Milliseconds questionInterval {300}; ///< of a new scheduler, until a majority of the entries has acknowledged its term
constexpr Seconds entryRecordInterval {1}; ///< at least, between two records of the entries: they come and go by the dozen in a rolling update

} // namespace

cell::EntryIncarnations CellEntryTask::knownEntries()
{
    const BootTime now = BootClock::now();
    for (const wire::RosterEntry &peer : otherEntries()) {
        entryHistory_.seen(peer.address, peer.incarnation, peers_->isDraining(peer.address), now);
    }
    for (const Address &seed : settings_.seeds) {
        if (toString(seed) != self_) {
            entryHistory_.configured(toString(seed), now);
        }
    }
    return entryHistory_.entries(now);
}

void CellEntryTask::beginLeaseConfirmation()
{
    leaseConfirmation_ = cell::LeaseConfirmation(self_);
    earlierExtensions_ = cell::EarlierExtensions(BootClock::now(), confirmedTermAt_ + cell::leaseConfirmationLifetime, self_);
    if (isChallenging_) {
        earlierExtensions_.confirmedByStore(BootClock::now() + confirmationLifetime);
    }
    recordedEntries_.clear();
    areLeasesExtended_ = true;
}

/// Without a readable record, the entries that this process knows are counted alone.
void CellEntryTask::loadEntryRecord()
{
    earlierExtensions_.addEntries(knownEntries());
    const auto record = loadedRecords_.find(cell::entryRecordKey);
    if (record == loadedRecords_.end()) {
        return;
    }
    const Result<cell::EntryIncarnations, cell::EntryRecordError> entries = cell::decodeEntries(record->second);
    if (!isOk(entries)) {
        logEvent(LogLevel::Error, "entries.unreadable", {{"detail", error(entries).detail}});
        return;
    }
    leaseConfirmation_.recordLoaded(value(entries));
    earlierExtensions_.recordLoaded(value(entries));
}

/// Records a change of the counted entries. The record of the earlier schedulers is kept for as long as one of them may extend leases, because the next
/// scheduler has to wait for them as well.
void CellEntryTask::recordEntries(const cell::EntryIncarnations &others)
{
    const BootTime now = BootClock::now();
    if (now >= termConfirmedUntil_ || now < earlierExtensions_.end() || now - entriesRecordedAt_ < entryRecordInterval) {
        return;
    }
    cell::EntryIncarnations entries = others;
    entries[self_] = incarnation_;
    if (entries == recordedEntries_) {
        return;
    }
    leaseConfirmation_.recordWritten(entries, schedulerCore_->recordEntries(entries));
    logEvent(LogLevel::Info, "entries.recorded", {{"generation", std::to_string(termGeneration_)}, {"entries", std::to_string(entries.size())}});
    recordedEntries_ = std::move(entries);
    entriesRecordedAt_ = now;
    flush();
}

/// The history of the other entries is kept by each process, because it may become the scheduler.
void CellEntryTask::maintainLeaseConfirmation()
{
    const cell::EntryIncarnations others = knownEntries();
    if (schedulerCore_ == nullptr) {
        return;
    }
    leaseConfirmation_.addEntries(others);
    confirmLeases();
    if (!earlierExtensions_.hasMajority() && BootClock::now() < earlierExtensions_.end()) {
        earlierExtensions_.addEntries(others);
        updateEarlierExtensions();
        if (BootClock::now() - askedForLaterTermAt_ >= questionInterval) {
            askForLaterTerm();
        }
    }
    recordEntries(others);
}

/// An only entry extends leases without a bound: there is none that could begin a later term.
void CellEntryTask::confirmLeases()
{
    const BootTime now = BootClock::now();
    const BootTime byEntries = leaseConfirmation_.isRecorded() ? leaseConfirmation_.confirmedUntil() : BootTime();
    const BootTime confirmedUntil = entryHistory_.isEmpty(now) ? BootTime::max() : byEntries;
    schedulerCore_->confirmLeases(confirmedUntil);
    const bool areExtended = now < std::max(termConfirmedUntil_, confirmedUntil);
    if (areExtended != areLeasesExtended_) {
        areLeasesExtended_ = areExtended;
        logEvent(areExtended ? LogLevel::Info : LogLevel::Warning,
            areExtended ? "leases.resumed" : "leases.suspended",
            {{"generation", std::to_string(termGeneration_)}});
    }
}

/// Asks the other entries whether they know of a later term. The answers confirm this one for as long as the store doesn't, and end the earlier ones.
void CellEntryTask::askForLaterTerm()
{
    if (schedulerCore_ == nullptr) {
        return;
    }
    askedForLaterTermAt_ = BootClock::now();
    wire::SchedulerNotice question;
    question.generation = termGeneration_;
    question.address = self_;
    question.askedAtMs = askedForLaterTermAt_.time_since_epoch().count();
    for (const wire::RosterEntry &peer : otherEntries()) {
        if (peers_->isConnected(peer.address)) {
            peers_->send(peer.address, question);
        }
    }
}

/// An entry that is about to begin a later term doesn't confirm this one. One that shuts down doesn't either, because new schedulers no longer count it.
void CellEntryTask::answerLeaseQuestion(const std::string &peer, const wire::SchedulerNotice &question)
{
    if (isDraining_ || termGeneration_ > question.generation || scheduler_ != question.address) {
        return;
    }
    const BootTime now = BootClock::now();
    if (question.generation != confirmedTerm_) {
        confirmedTerm_ = question.generation;
        earlierTermConfirmedAt_ = confirmedTermAt_;
    }
    confirmedTermAt_ = now;
    wire::SchedulerNotice answer = question;
    answer.__set_unconfirmedForMs(std::chrono::duration_cast<Milliseconds>(now - earlierTermConfirmedAt_).count());
    peers_->send(peer, answer);
}

void CellEntryTask::handleLeaseAnswer(const std::string &peer, const wire::SchedulerNotice &answer)
{
    if (schedulerCore_ == nullptr || answer.generation != termGeneration_) {
        return;
    }
    const cell::EntryIncarnations others = knownEntries();
    const auto entry = others.find(peer);
    if (entry == others.end()) {
        return;
    }
    leaseConfirmation_.answered(peer, entry->second, BootTime(Milliseconds(answer.askedAtMs)));
    confirmLeases();
    if (!earlierExtensions_.hasMajority()) {
        const Milliseconds unconfirmedFor(std::max<std::int64_t>(answer.unconfirmedForMs, 0)); // 0 if not stated: an older version
        earlierExtensions_.acknowledged(peer, BootClock::now() - unconfirmedFor + cell::leaseConfirmationLifetime);
        updateEarlierExtensions();
    }
}

void CellEntryTask::updateEarlierExtensions()
{
    earlierExtensions_.removeDeparted(entryHistory_.departed(BootClock::now()));
    schedulerCore_->setEarlierExtensionsEnd(earlierExtensions_.end());
    if (earlierExtensions_.hasMajority()) {
        logEvent(LogLevel::Info, "term.acknowledged", {{"generation", std::to_string(termGeneration_)}});
    }
}

} // namespace knapweed
