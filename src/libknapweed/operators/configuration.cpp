// Parses, validates and formats configurations.

#include "operators/configuration.h"

#include "base/jsonreader.h"
#include "operators/timestamp.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace knapweed
{

namespace
{

constexpr std::size_t maxAccounts = 10000;
constexpr std::size_t maxShapesPerAccount = 64;
constexpr std::size_t maxExceptions = 1000;
constexpr int maxTasksPerShape = 64;
constexpr int maxAcceleratorsPerTask = 64; // a task runs on one worker

const Choices adjacencies {
    {"none", wire::Adjacency::None},
    {"worker", wire::Adjacency::Worker},
    {"rack", wire::Adjacency::Rack},
};

// The readers below parse the account fields that an exception may override. Accounts and exceptions share them, so both have the same limits.
double readWeight(JsonObjectReader &reader, const std::string &key, std::optional<double> fallback)
{
    return reader.number(key, {0.01, 1000, fallback});
}

int readQueuedLimit(JsonObjectReader &reader, const std::string &key, std::optional<std::int64_t> fallback)
{
    return static_cast<int>(reader.integer(key, {0, 1000000, fallback}));
}

double readRequestsPerSecond(JsonObjectReader &reader, const std::string &key, std::optional<double> fallback)
{
    return reader.number(key, {0, 1000000, fallback});
}

int readBurst(JsonObjectReader &reader, const std::string &key, std::optional<std::int64_t> fallback)
{
    return static_cast<int>(reader.integer(key, {1, 1000000, fallback}));
}

/// Reads @p key of @p reader as the account field @p setting and stores it in @p account. Returns false when exceptions can't override that field.
bool readAccountSetting(JsonObjectReader &reader, const std::string &key, const std::string &setting, ClientAccount &account)
{
    if (setting == "weight") {
        account.weight = readWeight(reader, key, std::nullopt);
    } else if (setting == "queued_limit") {
        account.queuedLimit = readQueuedLimit(reader, key, std::nullopt);
    } else if (setting == "requests_per_second") {
        account.requestsPerSecond = readRequestsPerSecond(reader, key, std::nullopt);
    } else if (setting == "burst") {
        account.burst = readBurst(reader, key, std::nullopt);
    } else {
        return false;
    }
    return true;
}

GuaranteedShape readShape(JsonObjectReader reader)
{
    GuaranteedShape shape;
    shape.tasks = static_cast<int>(reader.integer("tasks", {1, maxTasksPerShape, std::nullopt}));
    shape.acceleratorsPerTask = static_cast<int>(reader.integer("accelerators_per_task", {1, maxAcceleratorsPerTask, std::nullopt}));
    shape.adjacency = static_cast<wire::Adjacency::type>(reader.choice("adjacency", adjacencies, "none"));
    reader.finish();
    return shape;
}

ClientAccount readAccount(const std::string &name, JsonObjectReader reader)
{
    ClientAccount account;
    account.name = name;
    account.token = reader.text("token", {TextRule::Form::Secret, 8, 256, std::nullopt});
    account.weight = readWeight(reader, "weight", account.weight);
    for (const JsonObjectReader &shape : reader.objects("guarantee", 0, maxShapesPerAccount)) {
        account.guarantee.push_back(readShape(shape));
    }
    if (!reader.isPresent()) {
        readShape(reader.elementDescription("guarantee"));
    }
    account.queuedLimit = readQueuedLimit(reader, "queued_limit", account.queuedLimit);
    account.requestsPerSecond = readRequestsPerSecond(reader, "requests_per_second", account.requestsPerSecond);
    account.burst = readBurst(reader, "burst", account.burst);
    reader.finish();
    return account;
}

Defaults readDefaults(JsonObjectReader reader)
{
    Defaults defaults;
    defaults.hold = reader.duration("hold_ms", {Milliseconds(100), Milliseconds(60000), defaults.hold});
    defaults.gangLease = reader.duration("gang_lease_ms", {Milliseconds(300), Milliseconds(60000), defaults.gangLease});
    defaults.preemptionGrace = reader.duration("preemption_grace_ms", {Milliseconds(0), Milliseconds(600000), defaults.preemptionGrace});
    defaults.requestDeadline = reader.duration("request_deadline_ms", {Milliseconds(100), Milliseconds(86400000), defaults.requestDeadline});
    defaults.attemptLimit = static_cast<int>(reader.integer("attempt_limit", {1, 100, defaults.attemptLimit}));
    defaults.completionWeight = reader.number("completion_weight", {0, 1, defaults.completionWeight});
    defaults.fragmentationWeight = reader.number("fragmentation_weight", {0, 1, defaults.fragmentationWeight});
    if (reader.isPresent() && defaults.completionWeight + defaults.fragmentationWeight <= 0) {
        reader.fault("completion_weight", "zero for it and for fragmentation_weight", "at least one of the two weights above zero");
    }
    reader.finish();
    return defaults;
}

void checkSubject(JsonObjectReader &reader, const ConfigurationException &exception, const Configuration &configuration)
{
    static const std::string accountPrefix = "account:";
    static const std::string workerPrefix = "worker:";
    if (exception.subject.compare(0, accountPrefix.size(), accountPrefix) == 0) {
        if (configuration.accounts.count(exception.subject.substr(accountPrefix.size())) == 0) {
            reader.fault("subject", nlohmann::json(exception.subject).dump(), "\"account:NAME\" of an account in this configuration");
        }
        ClientAccount unusedAccount;
        if (!readAccountSetting(reader, "value", exception.setting, unusedAccount)) {
            const std::string allowed = "one of burst queued_limit requests_per_second weight for an account";
            reader.fault("setting", nlohmann::json(exception.setting).dump(), allowed);
        }
        return;
    }
    if (exception.subject.compare(0, workerPrefix.size(), workerPrefix) != 0 || !isIdentifier(exception.subject.substr(workerPrefix.size()))) {
        reader.fault("subject", nlohmann::json(exception.subject).dump(), "\"account:NAME\" or \"worker:ID\"");
        return;
    }
    if (exception.setting != "excluded") {
        reader.fault("setting", nlohmann::json(exception.setting).dump(), "excluded for a worker");
    }
    const nlohmann::json *value = reader.member("value");
    if (value != nullptr && !value->is_boolean()) {
        reader.fault("value", describeFound(*value), "true or false");
    }
}

std::optional<WallTime> readTime(JsonObjectReader &reader, const std::string &key)
{
    const std::string text = reader.text(key, {TextRule::Form::Line, 0, 20, std::string()});
    if (text.empty()) {
        return std::nullopt;
    }
    const std::optional<WallTime> time = parseTimestamp(text);
    if (!time) {
        reader.fault(key, nlohmann::json(text).dump(), "a time in UTC such as 2026-12-31T00:00:00Z");
    }
    return time;
}

ConfigurationException readException(JsonObjectReader reader, const Configuration &configuration)
{
    ConfigurationException exception;
    exception.id = reader.text("id", {TextRule::Form::Identifier, 1, 64, std::nullopt});
    exception.subject = reader.text("subject", {TextRule::Form::Line, 1, 80, std::nullopt});
    exception.setting = reader.text("setting", {TextRule::Form::Identifier, 1, 64, std::nullopt});
    exception.reason = reader.text("reason", {TextRule::Form::Line, 1, 1000, std::nullopt});
    exception.author = reader.text("author", {TextRule::Form::Line, 1, 100, std::nullopt});
    const nlohmann::json *value = reader.member("value");
    if (value != nullptr) {
        exception.value = value->dump();
    } else if (reader.isPresent()) {
        reader.fault("value", "nothing", "the value of the setting");
    }
    exception.addedAt = readTime(reader, "added_at");
    exception.expiresAt = readTime(reader, "expires_at");
    if (!exception.subject.empty() && !exception.setting.empty() && value != nullptr) {
        checkSubject(reader, exception, configuration);
    }
    reader.finish();
    return exception;
}

void checkDuplicateExceptions(const Configuration &configuration, JsonReport &report)
{
    std::map<std::string, std::size_t> ids;
    std::map<std::pair<std::string, std::string>, std::size_t> firstUses;
    for (std::size_t i = 0; i < configuration.exceptions.size(); ++i) {
        const ConfigurationException &exception = configuration.exceptions[i];
        const std::string path = "exceptions[" + std::to_string(i) + ']';
        if (!exception.id.empty() && !ids.emplace(exception.id, i).second) {
            report.faults.push_back(faultLine(path + ".id", nlohmann::json(exception.id).dump() + " twice", "an id of its own for each exception"));
        }
        const auto &[firstUse, isNew] = firstUses.emplace(std::pair(exception.subject, exception.setting), i);
        if (!isNew && !exception.subject.empty()) {
            const std::string found = exception.subject + ' ' + exception.setting + " as in exceptions[" + std::to_string(firstUse->second) + ']';
            report.faults.push_back(faultLine(path, found, "one exception for a subject and setting"));
        }
    }
}

void checkTokens(const Configuration &configuration, JsonReport &report)
{
    std::map<std::string, std::string> owners;
    for (const auto &[name, account] : configuration.accounts) {
        const auto &[owner, isNew] = owners.emplace(account.token, name);
        if (!isNew && !account.token.empty()) {
            report.faults.push_back(faultLine("accounts." + name + ".token", "the token of account " + owner->second, "a token of its own for each account"));
        }
    }
}

Configuration readRoot(JsonObjectReader &root, JsonReport &report)
{
    Configuration configuration;
    for (const auto &[name, reader] : root.namedObjects("accounts", maxAccounts)) {
        configuration.accounts.emplace(name, readAccount(name, reader));
    }
    configuration.defaults = readDefaults(root.object("defaults", false));
    for (const JsonObjectReader &reader : root.objects("exceptions", 0, maxExceptions)) {
        configuration.exceptions.push_back(readException(reader, configuration));
    }
    root.finish();
    checkTokens(configuration, report);
    checkDuplicateExceptions(configuration, report);
    return configuration;
}

nlohmann::json accountJson(const ClientAccount &account)
{
    nlohmann::json guarantee = nlohmann::json::array();
    for (const GuaranteedShape &shape : account.guarantee) {
        guarantee.push_back({
            {"tasks", shape.tasks},
            {"accelerators_per_task", shape.acceleratorsPerTask},
            {"adjacency", nameOf(shape.adjacency)},
        });
    }
    return {
        {"token", account.token},
        {"weight", account.weight},
        {"guarantee", guarantee},
        {"queued_limit", account.queuedLimit},
        {"requests_per_second", account.requestsPerSecond},
        {"burst", account.burst},
    };
}

nlohmann::json defaultsJson(const Defaults &defaults)
{
    return {
        {"hold_ms", defaults.hold.count()},
        {"gang_lease_ms", defaults.gangLease.count()},
        {"preemption_grace_ms", defaults.preemptionGrace.count()},
        {"request_deadline_ms", defaults.requestDeadline.count()},
        {"attempt_limit", defaults.attemptLimit},
        {"completion_weight", defaults.completionWeight},
        {"fragmentation_weight", defaults.fragmentationWeight},
    };
}

nlohmann::json exceptionJson(const ConfigurationException &exception)
{
    nlohmann::json json = {
        {"id", exception.id},
        {"subject", exception.subject},
        {"setting", exception.setting},
        {"value", nlohmann::json::parse(exception.value)},
        {"reason", exception.reason},
        {"author", exception.author},
    };
    if (exception.addedAt) {
        json["added_at"] = formatTimestamp(*exception.addedAt);
    }
    if (exception.expiresAt) {
        json["expires_at"] = formatTimestamp(*exception.expiresAt);
    }
    return json;
}

void applyException(const ConfigurationException &exception, Configuration &configuration)
{
    const std::string name = exception.subject.substr(exception.subject.find(':') + 1);
    const std::map<std::string, ClientAccount>::iterator account = configuration.accounts.find(name);
    if (exception.subject.compare(0, 8, "account:") != 0 || account == configuration.accounts.end()) {
        return;
    }
    JsonReport report;
    const nlohmann::json document = {{"value", nlohmann::json::parse(exception.value)}};
    JsonObjectReader reader(&document, "", report);
    readAccountSetting(reader, "value", exception.setting, account->second);
}

} // namespace

std::string nameOf(wire::Adjacency::type adjacency)
{
    for (const auto &[name, number] : adjacencies) {
        if (number == adjacency) {
            return name;
        }
    }
    return "none";
}

Result<Configuration, ConfigurationError> parseConfiguration(const std::string &json)
{
    JsonReport report;
    const nlohmann::json document = parseJson(json, report);
    if (!report.faults.empty()) {
        return ConfigurationError {report.faults};
    }
    JsonObjectReader root(&document, "", report);
    Configuration configuration = readRoot(root, report);
    if (!report.faults.empty()) {
        return ConfigurationError {report.faults};
    }
    return configuration;
}

std::string formatConfiguration(const Configuration &configuration)
{
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto &[name, account] : configuration.accounts) {
        accounts[name] = accountJson(account);
    }
    nlohmann::json exceptions = nlohmann::json::array();
    for (const ConfigurationException &exception : configuration.exceptions) {
        exceptions.push_back(exceptionJson(exception));
    }
    const nlohmann::json document = {
        {"accounts", accounts},
        {"defaults", defaultsJson(configuration.defaults)},
        {"exceptions", exceptions},
    };
    return document.dump();
}

bool isInForce(const ConfigurationException &exception, WallTime now)
{
    return !exception.expiresAt || now < *exception.expiresAt;
}

WallTime nextExpiry(const Configuration &configuration, WallTime now)
{
    WallTime next = WallTime::max();
    for (const ConfigurationException &exception : configuration.exceptions) {
        if (exception.expiresAt && isInForce(exception, now)) {
            next = std::min(next, *exception.expiresAt);
        }
    }
    return next;
}

Configuration effectiveConfiguration(const Configuration &configuration, WallTime now)
{
    Configuration effective = configuration;
    std::erase_if(effective.exceptions, [now](const ConfigurationException &exception) {
        return !isInForce(exception, now);
    });
    for (const ConfigurationException &exception : effective.exceptions) {
        applyException(exception, effective);
    }
    return effective;
}

std::vector<std::string> excludedWorkers(const Configuration &configuration, WallTime now)
{
    std::vector<std::string> workers;
    for (const ConfigurationException &exception : configuration.exceptions) {
        if (exception.setting == "excluded" && exception.value == "true" && isInForce(exception, now)) {
            workers.push_back(exception.subject.substr(exception.subject.find(':') + 1));
        }
    }
    return workers;
}

std::vector<FieldDescription> describeConfiguration()
{
    JsonReport report;
    JsonObjectReader root(nullptr, "", report);
    readRoot(root, report);
    readAccount("NAME", JsonObjectReader(nullptr, "accounts.NAME", report));
    readException(root.elementDescription("exceptions"), {});
    return report.fields;
}

} // namespace knapweed
