// Assigns particular accelerators to each guaranteed shape. The layout depends only on the guarantees, the known workers and the previous layout, whose blocks
// are kept where possible so that membership changes move few of them.
#pragma once

#include "planning/acceleratorset.h"
#include "planning/planner.h"

#include <string>
#include <vector>

namespace knapweed::planning
{

struct MapWorker
{
    std::string id;
    std::string rack;
    AcceleratorSet accelerators = 0;
    bool isUsable = true;
};

struct MapPart
{
    std::string worker;
    AcceleratorSet accelerators = 0;

    bool operator==(const MapPart &) const = default;
};

/// One guaranteed shape of an account.
struct MapBlock
{
    std::string account;
    int number = 0; ///< index in the account's list of guarantees
    Shape shape;
    std::vector<MapPart> parts; ///< empty if the block does not fit; invariant: disjoint from all other blocks
};

using ReservationMap = std::vector<MapBlock>;

/// Both maps are ordered by account and number of the block.
struct ReservationLayout
{
    ReservationMap home; ///< on all known workers, usable or not
    ReservationMap current; ///< on usable workers; differs from home only in the blocks that had to move
};

ReservationLayout layOutReservations(const Policy &policy, const std::vector<MapWorker> &workers, const ReservationMap &homeBefore);

/// Empty if all guarantees of @p policy fit the fleet together; otherwise one line that names the first one that does not fit.
std::string unplaceableGuarantee(const Policy &policy, const std::vector<Worker> &workers);

/// The number of blocks whose parts differ between the two maps.
int movedBlocks(const ReservationMap &before, const ReservationMap &after);

} // namespace knapweed::planning
