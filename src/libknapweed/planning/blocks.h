// The blocks of the reservation map on the inventory, and which jobs have a right to them.
#pragma once

#include "planning/inventory.h"
#include "planning/jobqueue.h"
#include "planning/reservationmap.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed::planning
{

struct Block
{
    AccountIndex account = noIndex;
    Shape shape;
    std::vector<PlannedPart> parts;
};

/// Turns the map into blocks and marks their ground on the workers.
std::vector<Block> applyReservations(Inventory &inventory, const ReservationMap &map, const std::map<std::string, AccountIndex> &accounts);

/// Whether a job of @p shape takes up the block: it can be laid inside and is larger than half of it. Such jobs are what the guarantee is for; smaller
/// ones of the same account may use the block until one asks for it.
bool fills(const Block &block, const Shape &shape);

/// Whether a job that fills the block runs on it.
bool isInUse(const Inventory &inventory, const Block &block);

/// The gang runs on accelerators that are reserved for others, or on its account's own block without filling it.
bool isBorrowing(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang);

} // namespace knapweed::planning
