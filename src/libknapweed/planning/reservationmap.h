// Lays each guaranteed shape on particular accelerators. The layout follows from the guarantees and the known workers alone; given a layout of before, it
// keeps every block that still stands, so that membership changes move little.
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
    int number = 0; ///< place in the account's list of guarantees
    Shape shape;
    std::vector<MapPart> parts; ///< empty when there is no place; invariant: disjoint from all other blocks
};

using ReservationMap = std::vector<MapBlock>;

/// Both maps hold the blocks in order of account and number.
struct ReservationLayout
{
    ReservationMap home; ///< on the known workers, usable or not
    ReservationMap current; ///< on usable workers; equal to home but for the blocks that had to move
};

ReservationLayout layOutReservations(const Policy &policy, const std::vector<MapWorker> &workers, const ReservationMap &homeBefore);

/// Empty when all guarantees of @p policy fit the fleet together; otherwise one line that names the first that does not.
std::string unplaceableGuarantee(const Policy &policy, const std::vector<Worker> &workers);

/// Blocks whose parts differ between the two maps.
int movedBlocks(const ReservationMap &before, const ReservationMap &after);

} // namespace knapweed::planning
