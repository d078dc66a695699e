// A process's own settings, read from one JSON file at start and checked completely.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/jsonreader.h"
#include "base/logging.h"
#include "base/result.h"

#include <string>
#include <vector>

namespace knapweed
{

enum class ProcessRole { Entry, Agent };

/// The worker whose accelerators an agent has authority over.
struct WorkerSettings
{
    std::string id;
    Address address;
    std::string rack;
    int accelerators = 0;
    int processors = 0;
    std::int64_t memoryMib = 0;
};

struct Settings
{
    ProcessRole role = ProcessRole::Entry;
    Address listen; ///< both HTTP and peers; port 0 takes a free one
    std::string region;
    std::string failureDomain;
    std::vector<Address> seeds;
    Address logService;
    std::string logStream = "knapweedstage";
    std::string operatorToken; ///< entry only
    WorkerSettings worker; ///< agent only
    LogLevel logLevel = LogLevel::Info;
    std::size_t maximumBodyBytes = 1 << 20;
    Milliseconds endpointExpiry {3000}; ///< agent only: an announcement older than this has lapsed
    Milliseconds drainLimit {30000};
};

/// One line for each fault: the path of the field, what was found and what is allowed.
struct SettingsError
{
    std::vector<std::string> lines;
};

/// The text of a settings file.
Result<std::string, SettingsError> readSettingsText(const std::string &fileName);

Result<Settings, SettingsError> parseSettings(const std::string &json);
Result<Settings, SettingsError> readSettings(const std::string &fileName);

/// Every key with what it allows and its default, for the reference page docs/settings.md.
std::vector<FieldDescription> describeSettings();

} // namespace knapweed
