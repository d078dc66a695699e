// Reading and checking of a process's settings. Each key stands here once, with its range and default.

#include "base/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace knapweed
{

namespace
{

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr std::size_t seedLimit = 64;

const TextRule nameRule {TextRule::Form::Identifier, 1, 64, std::nullopt};
const TextRule ipRule {TextRule::Form::IpAddress, 7, 15, std::nullopt};
const TextRule tokenRule {TextRule::Form::Secret, 8, 256, std::nullopt};
const IntegerRule portRule {1, 65535, std::nullopt};
const IntegerRule listenPortRule {0, 65535, 0};

const Choices roles {{"agent", static_cast<int>(ProcessRole::Agent)}, {"entry", static_cast<int>(ProcessRole::Entry)}};
const Choices logLevels {
    {"debug", static_cast<int>(LogLevel::Debug)},
    {"info", static_cast<int>(LogLevel::Info)},
    {"warning", static_cast<int>(LogLevel::Warning)},
    {"error", static_cast<int>(LogLevel::Error)},
};

Address readAddress(JsonObjectReader &reader, const IntegerRule &rule)
{
    Address address;
    address.ip = reader.text("ip", ipRule);
    address.port = static_cast<std::uint16_t>(reader.integer("port", rule));
    return address;
}

Address readAddressObject(JsonObjectReader reader, const IntegerRule &rule)
{
    Address address = readAddress(reader, rule);
    reader.finish();
    return address;
}

std::vector<Address> readSeeds(JsonObjectReader &root, std::optional<ProcessRole> role)
{
    const std::size_t minimum = role == ProcessRole::Agent && root.isPresent() ? 1 : 0;
    std::vector<Address> seeds;
    for (const JsonObjectReader &seed : root.objects("seeds", minimum, seedLimit)) {
        seeds.push_back(readAddressObject(seed, portRule));
    }
    if (!root.isPresent()) {
        readAddressObject(root.elementDescription("seeds"), portRule);
    }
    return seeds;
}

WorkerSettings readWorker(JsonObjectReader reader)
{
    WorkerSettings worker;
    worker.id = reader.text("id", nameRule);
    worker.address = readAddress(reader, portRule);
    worker.rack = reader.text("rack", nameRule);
    worker.accelerators = static_cast<int>(reader.integer("accelerators", {1, 64, std::nullopt}));
    worker.processors = static_cast<int>(reader.integer("processors", {1, 4096, std::nullopt}));
    worker.memoryMib = reader.integer("memory_mib", {1, 16 * mebibyte, std::nullopt});
    reader.finish();
    return worker;
}

/// Whether to read @p key, which only processes of @p role have; elsewhere it is a fault that names the role. With a role that can't be read, @p own is empty
/// and nothing is said of the key.
bool belongsTo(JsonObjectReader &root, const std::string &key, ProcessRole role, std::optional<ProcessRole> own)
{
    if (role == own || !root.isPresent()) {
        return true;
    }
    if (root.member(key) != nullptr && own) {
        const std::string name = role == ProcessRole::Entry ? "entry" : "agent";
        root.fault(key, "it in another role", "this key only with role " + name);
    }
    return false;
}

Settings readRoot(JsonObjectReader &root, const JsonReport &report)
{
    Settings settings;
    settings.role = static_cast<ProcessRole>(root.choice("role", roles));
    std::optional<ProcessRole> role;
    if (report.faults.empty()) {
        role = settings.role;
    }
    settings.listen = readAddressObject(root.object("listen", true), listenPortRule);
    settings.region = root.text("region", nameRule);
    settings.failureDomain = root.text("failure_domain", nameRule);
    settings.seeds = readSeeds(root, role);
    settings.logService = readAddressObject(root.object("log_service", true), portRule);
    settings.logStream = root.text("log_stream", {TextRule::Form::Identifier, 1, 64, settings.logStream});
    if (belongsTo(root, "operator_token", ProcessRole::Entry, role)) {
        settings.operatorToken = root.text("operator_token", tokenRule);
    }
    if (belongsTo(root, "worker", ProcessRole::Agent, role)) {
        settings.worker = readWorker(root.object("worker", true));
    }
    settings.logLevel = static_cast<LogLevel>(root.choice("log_level", logLevels, "info"));
    settings.maximumBodyBytes =
        static_cast<std::size_t>(root.integer("maximum_body_bytes", {kibibyte, 16 * mebibyte, static_cast<std::int64_t>(settings.maximumBodyBytes)}));
    if (belongsTo(root, "endpoint_expiry_ms", ProcessRole::Agent, role)) {
        settings.endpointExpiry = root.duration("endpoint_expiry_ms", {Milliseconds(200), Milliseconds(10000), settings.endpointExpiry});
    }
    settings.drainLimit = root.duration("drain_limit_ms", {Milliseconds(0), Milliseconds(600000), settings.drainLimit});
    root.finish();
    return settings;
}

void checkDistinct(const char *path, const Address &address, const char *otherPath, const Address &other, JsonReport &report)
{
    if (address.port != 0 && !address.ip.empty() && address == other) {
        report.faults.push_back(faultLine(path, toString(address), std::string("an address that differs from ") + otherPath));
    }
}

void checkClashes(const Settings &settings, JsonReport &report)
{
    checkDistinct("log_service", settings.logService, "listen", settings.listen, report);
    checkDistinct("worker", settings.worker.address, "listen", settings.listen, report);
    checkDistinct("worker", settings.worker.address, "log_service", settings.logService, report);
    for (std::size_t i = 0; i < settings.seeds.size(); ++i) {
        const std::string path = "seeds[" + std::to_string(i) + ']';
        checkDistinct(path.c_str(), settings.seeds[i], "log_service", settings.logService, report);
        for (std::size_t earlier = 0; earlier < i; ++earlier) {
            checkDistinct(path.c_str(), settings.seeds[i], "the other seeds", settings.seeds[earlier], report);
        }
    }
}

} // namespace

Result<Settings, SettingsError> parseSettings(const std::string &json)
{
    JsonReport report;
    const nlohmann::json document = parseJson(json, report);
    if (!report.faults.empty()) {
        return SettingsError {report.faults};
    }
    JsonObjectReader root(&document, "", report);
    Settings settings = readRoot(root, report);
    checkClashes(settings, report);
    if (!report.faults.empty()) {
        return SettingsError {report.faults};
    }
    return settings;
}

Result<std::string, SettingsError> readSettingsText(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return SettingsError {{faultLine(fileName, "no readable text", "the name of a settings file")}};
    }
    return text.str();
}

Result<Settings, SettingsError> readSettings(const std::string &fileName)
{
    const Result<std::string, SettingsError> text = readSettingsText(fileName);
    if (!isOk(text)) {
        return error(text);
    }
    return parseSettings(value(text));
}

std::vector<FieldDescription> describeSettings()
{
    JsonReport report;
    JsonObjectReader root(nullptr, "", report);
    readRoot(root, report);
    return report.fields;
}

} // namespace knapweed
