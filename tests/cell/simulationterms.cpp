// Memberships at the store: when the terms of the simulated schedulers begin, and for how long they are confirmed.

#include "cell/simulation.h"

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds confirmationLifetime {1000}; ///< counted from when the renewal was sent
constexpr Milliseconds renewalInterval {300};
constexpr int longestStoreCall = 300; ///< ms, in each direction

} // namespace

bool Simulation::isCutOff(const SchedulerNode &node) const
{
    return now_ < storeDownUntil_ || now_ < node.cutOffUntil;
}

void Simulation::renewMembership(const std::shared_ptr<SchedulerNode> &node)
{
    if (now_ < node->nextRenewal) {
        return;
    }
    node->nextRenewal = now_ + renewalInterval;
    after(independentBetween(1, longestStoreCall), [this, node, sentAt = now_]() {
        if (isCutOff(*node) || node->generation != epoch_) {
            return;
        }
        membershipUntil_ = now_ + membershipLifetime;
        after(independentBetween(1, longestStoreCall), [this, node, sentAt]() {
            whenAwake(node->name, [this, node, sentAt]() {
                if (!node->isGone) {
                    node->scheduler->confirmTerm(sentAt + confirmationLifetime, now_, WallTime(now_.time_since_epoch()));
                    flush(*node);
                }
            });
        });
    });
}

/// While the store is down, it gives the leadership to nobody.
void Simulation::checkMembership()
{
    if (options_.hasMemberships && now_ >= storeDownUntil_ && now_ >= membershipUntil_) {
        newScheduler();
    }
}

/// The scheduler ends its term before its membership, so that a successor can begin at once.
void Simulation::resign()
{
    SchedulerNode &node = *schedulers_.back();
    if (!isPaused(node.name) && !isCutOff(node)) {
        node.isGone = true;
        newScheduler();
    }
}

/// The entry of a caller may not have learned of the newest scheduler yet.
std::string Simulation::schedulerOfCaller()
{
    if (options_.hasMemberships && schedulers_.size() > 1 && independentChance() < 0.3) {
        return schedulers_[schedulers_.size() - 2]->name;
    }
    return schedulers_.back()->name;
}

} // namespace knapweed::cell
