// Settings of a cell process, read from one JSON file and validated completely.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/jsonreader.h"
#include "base/logging.h"
#include "base/result.h"
#include "base/settings.h"
#include "cell/loadpolicy.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweed::cell
{

struct CellSettings
{
    ProcessRole role = ProcessRole::Entry;
    std::string name; ///< name of this process in log lines
    std::string region;
    std::string failureDomain;
    Address peers; ///< address that other cell processes connect to
    Address peerListen; ///< listen address for them; equals peers unless connections are forwarded
    std::vector<Address> seeds; ///< the first peers to contact; some may be down or gone
    std::uint16_t metricsPort = 0;
    Address store;
    Milliseconds lease {0}; ///< runs end when their agent has had no contact with the scheduler for this long
    Milliseconds grace {0}; ///< from SIGTERM to SIGKILL
    double processorShare = 1; ///< cores that the process may use; entries with the largest share are preferred as scheduler
    std::int64_t memoryMib = 0; ///< memory of the machine that the process may use; 0 if it is not known
    std::int64_t maximumDescriptors = 0; ///< descriptors that the process may have open; 0 if it is not known
    LogLevel logLevel = LogLevel::Info;
    std::optional<Milliseconds> evacuationApplyTime; ///< an evacuation that the store has acknowledged is in force after this time; unset: they are not served
    Milliseconds configurationApplyTime {0}; ///< entry only: a change that the store has acknowledged has to be in force after this time
    LoadPolicyOptions loadPolicy; ///< entry only: what is delayed when capacity is short, with the times that it depends on
    Address callers; ///< entry only: listen address for callers
    Address advice; ///< entry only: the placement adviser; port 0 if there is none
    Address readiness; ///< entry only: listen address for readiness checks
    Address endpointReports; ///< agent only: listen address for the endpoint's reports
    Address endpoint; ///< agent only: address at which the endpoint accepts orders
    std::string service; ///< agent only: the service that the endpoint runs; empty if it is not known

    bool operator==(const CellSettings &) const = default;
};

Result<CellSettings, SettingsError> parseCellSettings(const std::string &json);
Result<CellSettings, SettingsError> readCellSettings(const std::string &fileName);

/// Every key with its allowed values and default, for the reference page docs/cell-settings.md.
std::vector<FieldDescription> describeCellSettings();

} // namespace knapweed::cell
