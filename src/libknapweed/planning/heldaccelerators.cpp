// Accelerators of a worker that are held for other jobs, or reserved for an account or for others.

#include "planning/inventory.h"

namespace knapweed::planning
{

AcceleratorSet reclaimedForOthers(const WorkerState &state, const std::string &job)
{
    AcceleratorSet reclaimed = 0;
    for (const HeldAccelerators &hold : state.held) {
        if (hold.isPendingReclaim && hold.job != job) {
            reclaimed |= hold.accelerators;
        }
    }
    return reclaimed;
}

AcceleratorSet heldForOthers(const WorkerState &state, const std::string &job, MonotonicTime end)
{
    AcceleratorSet held = 0;
    for (const HeldAccelerators &hold : state.held) {
        if (hold.job != job && (hold.isPendingReclaim || end > hold.until)) {
            held |= hold.accelerators;
        }
    }
    return held;
}

AcceleratorSet reservedFor(const WorkerState &state, AccountIndex account)
{
    AcceleratorSet own = 0;
    for (const ReservedAccelerators &blockPart : state.reserved) {
        if (blockPart.account == account) {
            own |= blockPart.accelerators;
        }
    }
    return own;
}

AcceleratorSet reservedForOthers(const WorkerState &state, AccountIndex account)
{
    return state.reservedSet & ~reservedFor(state, account);
}

} // namespace knapweed::planning
