// Parses the announcements that an endpoint sends to its co-located agent.
#pragma once

#include "base/result.h"
#include "gangs/actions.h"

#include <string>

namespace knapweed
{

struct AnnouncementError
{
    std::string field;
    std::string detail; ///< one line with the allowed values
};

/// Parses the JSON text of an announcement. Never throws.
Result<gangs::EndpointAnnouncement, AnnouncementError> parseAnnouncement(const std::string &body);

} // namespace knapweed
