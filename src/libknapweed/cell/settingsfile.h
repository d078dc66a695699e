// Follows the settings file of a running process, which the platform rewrites, also without a signal, when other processes come and go.
#pragma once

#include "cell/settings.h"

#include <optional>
#include <string>

namespace knapweed::cell
{

struct SettingsFile
{
    std::string name;
    CellSettings settings; ///< in force: as last read, except for those that need a restart
    std::string rejectedText; ///< content that was last rejected as invalid; logged once
};

/// Reads the file again. Returns the settings now in force if they have changed. Only the seeds can change while the process runs; a change of another setting
/// is logged. An unreadable or invalid file changes nothing.
std::optional<CellSettings> rereadSettings(SettingsFile &file);

} // namespace knapweed::cell
