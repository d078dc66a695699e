// Extension of leases while the store does not answer: questions to the other entries and their answers.

#include "cellentrytask.h"

#include <algorithm>

namespace knapweed
{

namespace
{

constexpr Milliseconds questionInterval {300}; ///< of a new scheduler, until a majority of the entries has acknowledged its term

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

/// The history of the other entries is kept by each process, because it may become the scheduler.
void CellEntryTask::maintainLeaseConfirmation()
{
    const cell::EntryIncarnations others = knownEntries();
    if (schedulerCore_ == nullptr) {
        return;
    }
    leaseConfirmation_.addEntries(others);
    schedulerCore_->confirmLeases(leaseConfirmation_.confirmedUntil());
    if (!earlierExtensions_.hasMajority() && BootClock::now() < earlierExtensions_.end()) {
        earlierExtensions_.addEntries(others);
        updateEarlierExtensions();
        if (BootClock::now() - askedForLaterTermAt_ >= questionInterval) {
            askForLaterTerm();
        }
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
    schedulerCore_->confirmLeases(leaseConfirmation_.confirmedUntil());
    if (!earlierExtensions_.hasMajority()) {
        const Milliseconds unconfirmedFor(std::max<std::int64_t>(answer.unconfirmedForMs, 0)); // 0 if not stated: an older version
        earlierExtensions_.acknowledged(peer, BootClock::now() - unconfirmedFor + cell::leaseConfirmationLifetime);
        updateEarlierExtensions();
    }
}

void CellEntryTask::updateEarlierExtensions()
{
    schedulerCore_->setEarlierExtensionsEnd(earlierExtensions_.end());
    if (earlierExtensions_.hasMajority()) {
        logEvent(LogLevel::Info, "term.acknowledged", {{"generation", std::to_string(termGeneration_)}});
    }
}

} // namespace knapweed
