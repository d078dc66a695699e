// Which accelerators of a worker are held or reserved, and for whom.

#include "planning/inventory.h"

namespace knapweed::planning
{

AcceleratorSet claimedAgainst(const WorkerState &state, const std::string &job)
{
    AcceleratorSet claimed = 0;
    for (const HeldGround &ground : state.held) {
        if (ground.isClaim && ground.job != job) {
            claimed |= ground.accelerators;
        }
    }
    return claimed;
}

AcceleratorSet heldAgainst(const WorkerState &state, const std::string &job, MonotonicTime end)
{
    AcceleratorSet held = 0;
    for (const HeldGround &ground : state.held) {
        if (ground.job != job && (ground.isClaim || end > ground.until)) {
            held |= ground.accelerators;
        }
    }
    return held;
}

AcceleratorSet reservedFor(const WorkerState &state, AccountIndex account)
{
    AcceleratorSet own = 0;
    for (const ReservedGround &ground : state.reserved) {
        if (ground.account == account) {
            own |= ground.accelerators;
        }
    }
    return own;
}

AcceleratorSet reservedForOthers(const WorkerState &state, AccountIndex account)
{
    return state.reservedSet & ~reservedFor(state, account);
}

} // namespace knapweed::planning
