// The blocks of the reservation map on the workers of the inventory, and which jobs are entitled to them.
#pragma once

#include "planning/inventory.h"
#include "planning/jobqueue.h"
#include "planning/reservationmap.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed::planning
{

/// Accelerators that are reserved for one guaranteed shape of an account.
struct Block
{
    AccountIndex account = noIndex;
    Shape shape;
    std::vector<PlannedPart> parts;
};

/// Converts the map to blocks and marks their accelerators as reserved on the workers.
std::vector<Block> applyReservations(Inventory &inventory, const ReservationMap &map, const std::map<std::string, AccountIndex> &accounts);

/// Whether a job of @p shape fills the block: it fits inside and needs more than half of its accelerators. The guarantee is meant for such jobs; smaller
/// jobs of the same account may use the block until a job that fills it needs it.
bool fills(const Block &block, const Shape &shape);

/// Whether a gang that fills the block is running or planned on it.
bool isInUse(const Inventory &inventory, const Block &block);

/// Whether the gang uses accelerators that are reserved for another account, or a block of its own account without filling it.
bool isBorrowing(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang);

} // namespace knapweed::planning
