// Evacuations of the simulation: the operators' records, how they spread between the processes, and the check of the starts.

#include "cell/simulation.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds evacuationTime {5000}; ///< from the store's answer until nothing may start in the failure domain
constexpr Milliseconds undisturbedTime {4000}; ///< the rule holds for agents that have been undisturbed for so long
constexpr Milliseconds exchangeInterval {500}; ///< between heartbeats
constexpr int longestRead = 1200; ///< ms from a record to an undisturbed entry that has read it
constexpr int longestSchedulerRead = 9000; ///< the same for schedulers, so that many orders come from one with an older view

} // namespace

void Simulation::recordEvacuation(const std::string &domain, bool isRequested)
{
    evacuationLog_.push_back({domain, static_cast<std::int64_t>(evacuationLog_.size()), isRequested});
    if (!isRequested) {
        evacuatedSince_.erase(domain);
    } else {
        evacuatedSince_.try_emplace(domain, now_);
    }
}

/// An operator's next record. The store may delete the older ones.
void Simulation::changeEvacuation()
{
    if (now_ < storeDownUntil_) {
        return;
    }
    const std::string domain = independentChance() < 0.5 ? "west-a" : "west-b";
    const auto since = evacuatedSince_.find(domain);
    if (since != evacuatedSince_.end() && now_ - since->second < 2 * evacuationTime && independentChance() < 0.85) {
        return; // most evacuations last for longer than the time until they are in force
    }
    recordEvacuation(domain, since == evacuatedSince_.end());
    if (independentChance() < 0.3) {
        deletedEvacuationRecords_ = evacuationLog_.size();
    }
}

void Simulation::endEvacuations()
{
    while (!evacuatedSince_.empty()) {
        recordEvacuation(std::string(evacuatedSince_.begin()->first), false);
    }
}

/// Reads what follows the position, or the list of the newest records if the state is unknown or records are gone.
void Simulation::readEvacuations(Evacuations &state)
{
    const std::int64_t end = static_cast<std::int64_t>(evacuationLog_.size());
    if (isKnown(state) && state.position >= static_cast<std::int64_t>(deletedEvacuationRecords_)) {
        const std::int64_t from = state.position;
        applyRecords(state, {evacuationLog_.begin() + from, evacuationLog_.end()}, from, end);
        return;
    }
    Evacuations listed;
    listed.position = 0;
    applyRecords(listed, evacuationLog_, 0, end);
    listed.position = static_cast<std::int64_t>(deletedEvacuationRecords_); // what has been stored since may be missing in a list
    state = merged(state, listed);
}

void Simulation::stepEvacuations()
{
    if (now_ < storeDownUntil_) {
        storeDisturbedAt_ = now_;
    }
    if (now_ >= storeDownUntil_ && now_ >= nextEntryRead_) {
        nextEntryRead_ = now_ + independentBetween(50, longestRead);
        readEvacuations(entryEvacuations_);
    }
    const std::shared_ptr<SchedulerNode> newest = schedulers_.back();
    if (!newest->isGone && !isCutOff(*newest) && !isPaused(newest->name) && now_ >= newest->nextRecordRead) {
        const bool isFirst = newest->nextRecordRead == BootTime();
        newest->nextRecordRead = now_ + independentBetween(50, isFirst ? longestRead : longestSchedulerRead);
        if (!isFirst) {
            readEvacuations(newest->evacuations);
            newest->scheduler->applyEvacuations(newest->evacuations, now_);
        }
    }
    for (auto &[name, node] : agents_) {
        if (isDown(name) || isPaused(name) || isDisconnected(name)) {
            node.disturbedAt = now_;
            continue;
        }
        if (now_ < node.nextEvacuationExchange) {
            continue;
        }
        node.nextEvacuationExchange = now_ + exchangeInterval;
        const Evacuations &known = node.agent->evacuations();
        node.agent->evacuationsSeen(plainEntry, versionOf(entryEvacuations_));
        if (isKnown(entryEvacuations_) && !(entryEvacuations_ == known)) {
            deliver(plainEntry, name, wireEvacuations(entryEvacuations_));
        }
    }
}

void Simulation::checkEvacuation(const AgentNode &node, const RunId &run)
{
    const auto since = evacuatedSince_.find(node.failureDomain);
    const bool isInTouch = now_ - node.disturbedAt >= undisturbedTime && now_ - storeDisturbedAt_ >= undisturbedTime;
    if (since != evacuatedSince_.end() && now_ - since->second > evacuationTime && isInTouch) {
        shared_.violations.push_back("started in an evacuated failure domain: " + run.task.job + " run " + std::to_string(run.run) + " beside " + node.name);
    }
}

std::size_t Simulation::startsRefusedByEvacuation() const
{
    return startsRefusedByEvacuation_;
}

} // namespace knapweed::cell
