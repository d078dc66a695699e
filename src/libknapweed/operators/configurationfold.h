// The configuration in force, from the log's records in order and from what peers pass on. Versions only rise.
#pragma once

#include "logservice/records.h"
#include "operators/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed
{

struct ConfigurationVersion
{
    std::int64_t version = 0; ///< 0 is the empty configuration that every process starts with
    std::string changeId;
    std::string author;
    std::string document;
};

class ConfigurationFold
{
public:
    enum class Verdict { Accepted, Stale, Invalid, Ignored };

    /// Applies the next record of the log. Accepted when it is based on the version at that place of the log and is well formed.
    Verdict apply(std::int64_t offset, const Record &record);

    /// Takes a configuration that a peer offers; does so only when it is newer than the one in force.
    bool adopt(std::int64_t version, const std::string &document);

    /// Invariant: the version never falls.
    std::int64_t version() const;
    const ConfigurationVersion &current() const;
    const Configuration &configuration() const;

    /// The newest versions folded from the log, oldest first, at most 100.
    const std::vector<ConfigurationVersion> &history() const;

private:
    ConfigurationVersion current_;
    Configuration configuration_;
    std::int64_t logVersion_ = 0; ///< the version at the place of the log that has been folded; invariant: at most version()
    std::vector<ConfigurationVersion> history_;
};

} // namespace knapweed
