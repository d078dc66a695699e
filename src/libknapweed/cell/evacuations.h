// Which failure domains the operators have asked to evacuate, as far as a process knows. Every process holds such a state, and two states are merged so that
// neither goes backwards. Pure functions over plain structs.
#pragma once

#include "peers/gen/peers_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::cell
{

struct Evacuations
{
    std::int64_t position = -1; ///< all records below this offset are reflected; -1: nothing is known
    std::map<std::string, std::int64_t> domains; ///< the evacuated failure domains, with the offset of the record; may be above the position

    bool operator==(const Evacuations &) const = default;
};

/// An operator's record about one failure domain.
struct EvacuationRecord
{
    std::string domain;
    std::int64_t offset = 0;
    bool isRequested = false; ///< otherwise the record revokes the request
};

/// What a start order states about the failure domain of the endpoint.
struct SchedulerView
{
    std::int64_t position = 0;
    bool isEvacuated = false;
};

/// A failure domain whose evacuation was requested or revoked between two states.
struct EvacuationChange
{
    std::string domain;
    std::int64_t offset = 0; ///< of the request
    bool isRequested = false;
};

bool isKnown(const Evacuations &evacuations);
bool isEvacuated(const Evacuations &evacuations, const std::string &domain);

/// The larger position counts. A domain that only one state holds is kept unless the other one reflects its record, and thus a later one that revokes it. For
/// a domain in both, the larger offset counts.
Evacuations merged(const Evacuations &left, const Evacuations &right);

/// Applies the operators' records that were read from the offsets @p from to @p next. The position advances if the state reflects all records below @p from.
void applyRecords(Evacuations &evacuations, const std::vector<EvacuationRecord> &records, std::int64_t from, std::int64_t next);

/// Differs between states that differ. Peers compare it for equality only.
std::int64_t versionOf(const Evacuations &evacuations);

/// Whether an agent with the state @p own may start work in @p domain. Its own state decides, unless the order was sent by a scheduler that knows of later
/// records, also than that of the request, and does not hold the domain evacuated.
bool mayStart(const Evacuations &own, const std::string &domain, const std::optional<SchedulerView> &order);

std::vector<EvacuationChange> changesBetween(const Evacuations &before, const Evacuations &after);

/// Logs evacuation.requested and evacuation.ended for the changes. @p source: where the later state came from.
void logChanges(const Evacuations &before, const Evacuations &after, const char *source);

wire::EvacuationState wireEvacuations(const Evacuations &evacuations);
Evacuations evacuationsOf(const wire::EvacuationState &state);

} // namespace knapweed::cell
