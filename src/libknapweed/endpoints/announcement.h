// Reads what an endpoint announces of itself to the agent beside it.
#pragma once

#include "base/result.h"
#include "gangs/actions.h"

#include <string>

namespace knapweed
{

struct AnnouncementError
{
    std::string field;
    std::string detail; ///< one line that names the allowed range
};

/// Never throws.
Result<gangs::EndpointAnnouncement, AnnouncementError> parseAnnouncement(const std::string &body);

} // namespace knapweed
