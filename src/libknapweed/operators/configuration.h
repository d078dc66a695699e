// The configuration that operators publish: client accounts, defaults and exceptions. Plain data; reading, checking and folding stand apart.
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

/// A shape of accelerators that an account can always get.
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
    std::string token; ///< bearer token of its callers
    double weight = 1;
    std::vector<GuaranteedShape> guarantee;
    int queuedLimit = 1000; ///< jobs that may wait
    double requestsPerSecond = 500;
    int burst = 1000; ///< requests
};

struct Defaults
{
    Milliseconds hold {2000};
    Milliseconds gangLease {3000};
    Milliseconds preemptionGrace {2000};
    Milliseconds requestDeadline {600000}; ///< how long a job may wait for its start when the request names no deadline
    int attemptLimit = 5;
    double completionWeight = 0.6;
    double fragmentationWeight = 0.4;
};

/// A setting of one account or worker that differs from the rule, with its written reason.
struct ConfigurationException
{
    std::string id;
    std::string subject; ///< "account:NAME" or "worker:ID"
    std::string setting; ///< for accounts a field of ClientAccount, for workers "excluded"
    std::string value; ///< JSON text
    std::string reason; ///< never empty
    std::string author;
    std::optional<WallTime> addedAt; ///< for people only
    std::optional<WallTime> expiresAt;
};

struct Configuration
{
    std::map<std::string, ClientAccount> accounts;
    Defaults defaults;
    std::vector<ConfigurationException> exceptions;
};

/// One line for each fault: the path of the field, what was found and what is allowed.
struct ConfigurationError
{
    std::vector<std::string> lines;
};

Result<Configuration, ConfigurationError> parseConfiguration(const std::string &json);
/// The canonical text: equal configurations have equal texts, and parsing it gives the configuration back.
std::string formatConfiguration(const Configuration &configuration);

/// "none", "worker" or "rack".
std::string nameOf(wire::Adjacency::type adjacency);

bool isInForce(const ConfigurationException &exception, WallTime now);

/// When the next exception that is in force at @p now expires; WallTime::max() when none will.
WallTime nextExpiry(const Configuration &configuration, WallTime now);

/// The configuration with the exceptions that are in force at @p now applied to accounts; it holds only these exceptions.
Configuration effectiveConfiguration(const Configuration &configuration, WallTime now);

/// The ids of the workers that an exception in force at @p now excludes from new work.
std::vector<std::string> excludedWorkers(const Configuration &configuration, WallTime now);

/// Every key with what it allows and its default, for the reference page docs/interfaces/operators.md.
std::vector<FieldDescription> describeConfiguration();

} // namespace knapweed
