// Follows the settings file of a running process, which the platform rewrites, also without a signal, when other processes come and go.
#pragma once

#include "cell/settings.h"

#include <string>

namespace knapweed::cell
{

constexpr Milliseconds settingsFileInterval {1000}; ///< between two readings, because the file may change without a signal

struct SettingsFile
{
    std::string name;
    CellSettings settings; ///< in force: as last read, except for those that need a restart
    std::string rejectedText; ///< content that was last rejected as invalid; logged once
};

/// Reads the file again. Returns whether the settings in force have changed. Only the seeds can change while the process runs; a change of another setting is
/// logged. An unreadable or invalid file changes nothing.
bool rereadSettings(SettingsFile &file);

} // namespace knapweed::cell
