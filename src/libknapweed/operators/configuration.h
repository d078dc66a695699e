// The configuration that operators publish: client accounts, defaults and exceptions. Plain data with its JSON form; configurationfold.h applies changes.
#pragma once

#include "base/clock.h"
#include "base/jsonreader.h"
#include "base/result.h"
#include "peers/gen/peers_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed
{

/// A number of tasks, with accelerators and adjacency, that an account is guaranteed.
struct GuaranteedShape
{
    int tasks = 1;
    int acceleratorsPerTask = 1;
    wire::Adjacency::type adjacency = wire::Adjacency::None;

    bool operator==(const GuaranteedShape &) const = default;
};

struct ClientAccount
{
    std::string name;
    std::string token; ///< bearer token that the account's callers send
    double weight = 1;
    std::vector<GuaranteedShape> guarantee;
    int queuedLimit = 1000; ///< maximum number of waiting jobs
    double requestsPerSecond = 500;
    int burst = 1000; ///< largest burst of the rate limit, in requests
};

struct Defaults
{
    Milliseconds hold {2000};
    Milliseconds gangLease {3000};
    Milliseconds preemptionGrace {2000};
    Milliseconds requestDeadline {600000}; ///< maximum wait for a job's start when the request has no deadline
    int attemptLimit = 5;
    double completionWeight = 0.6;
    double fragmentationWeight = 0.4;
};

/// An override of one setting of an account or worker, with the operator's reason.
struct ConfigurationException
{
    std::string id;
    std::string subject; ///< "account:NAME" or "worker:ID"
    std::string setting; ///< for accounts the JSON key of a ClientAccount field, for workers "excluded"
    std::string value; ///< JSON text
    std::string reason; ///< never empty
    std::string author;
    std::optional<WallTime> addedAt; ///< informational, has no effect
    std::optional<WallTime> expiresAt;
};

struct Configuration
{
    std::map<std::string, ClientAccount> accounts;
    Defaults defaults;
    std::vector<ConfigurationException> exceptions;
};

/// Validation errors, one line each: the path of the field, the value found and the values allowed.
struct ConfigurationError
{
    std::vector<std::string> lines;
};

Result<Configuration, ConfigurationError> parseConfiguration(const std::string &json);
/// Returns the canonical JSON text: equal configurations have equal texts, and parseConfiguration() restores the configuration.
std::string formatConfiguration(const Configuration &configuration);

/// "none", "worker" or "rack".
std::string nameOf(wire::Adjacency::type adjacency);

bool isInForce(const ConfigurationException &exception, WallTime now);

/// Returns the earliest expiry of the exceptions in force at @p now, or WallTime::max() when none of them expires.
WallTime nextExpiry(const Configuration &configuration, WallTime now);

/// Returns the configuration with the exceptions in force at @p now applied to its accounts. Expired exceptions are removed from it.
Configuration effectiveConfiguration(const Configuration &configuration, WallTime now);

/// Returns the ids of the workers that an exception in force at @p now excludes from new work.
std::vector<std::string> excludedWorkers(const Configuration &configuration, WallTime now);

/// Returns every key with its allowed values and default, for the reference page docs/interfaces/operators.md.
std::vector<FieldDescription> describeConfiguration();

} // namespace knapweed
