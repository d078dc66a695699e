// Settings of a process of the cell, read from one JSON file and checked completely.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/jsonreader.h"
#include "base/logging.h"
#include "base/result.h"
#include "base/settings.h"

#include <string>
#include <vector>

namespace knapweed::cell
{

struct CellSettings
{
    ProcessRole role = ProcessRole::Entry;
    std::string name; ///< of this process, in logs
    std::string region;
    std::string failureDomain;
    Address peers; ///< where this process listens for its peers
    std::vector<Address> seeds; ///< peers to begin with; may be down or gone
    std::uint16_t metricsPort = 0;
    Address store;
    Milliseconds lease {0}; ///< how long runs outlive the last contact of their agent
    Milliseconds grace {0}; ///< from SIGTERM to SIGKILL
    double processorShare = 1; ///< cores that the process may use; the scheduler's place goes to those that have most
    LogLevel logLevel = LogLevel::Info;
    Address callers; ///< entry only
    Address advice; ///< entry only; port 0 where there is no placement adviser
    Address readiness; ///< entry only
    Address endpointReports; ///< agent only: where the endpoint sends its reports
    Address endpoint; ///< agent only: where the endpoint takes orders
};

Result<CellSettings, SettingsError> parseCellSettings(const std::string &json);
Result<CellSettings, SettingsError> readCellSettings(const std::string &fileName);

/// Every key with what it allows and its default, for the reference page docs/cell-settings.md.
std::vector<FieldDescription> describeCellSettings();

} // namespace knapweed::cell
