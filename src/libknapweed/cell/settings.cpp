// Reading and validation of a cell process's settings. Each key appears once, with its range and default.

#include "cell/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <optional>

namespace knapweed::cell
{

namespace
{

constexpr std::size_t maxSeeds = 64;
constexpr Milliseconds minLease {500}; ///< one report interval: a shorter lease would expire between two reports

constexpr std::int64_t minMemoryMib = 32; ///< an idle entry needs 9 MiB; the rest would leave no room for requests
constexpr std::int64_t maxMemoryMib = std::int64_t(1) << 20;
constexpr std::int64_t minDescriptors = 128; ///< half of them are for the connections to peers, the store and the endpoint
constexpr std::int64_t maxDescriptors = std::int64_t(1) << 20;

constexpr Milliseconds minApplyTime {500}; ///< the reads in it have 75 ms for an answer
constexpr Milliseconds defaultApplyTime {2000};
constexpr Milliseconds minEvacuationTime {1000}; ///< half of it is for reading the record, and the reads need minApplyTime

const TextRule nameRule {TextRule::Form::Identifier, 1, 128, std::nullopt};
const TextRule addressRule {TextRule::Form::Line, 9, 21, std::nullopt};
const Choices roles {{"agent", static_cast<int>(ProcessRole::Agent)}, {"entry", static_cast<int>(ProcessRole::Entry)}};
const Choices logLevels {
    {"debug", static_cast<int>(LogLevel::Debug)},
    {"info", static_cast<int>(LogLevel::Info)},
    {"warning", static_cast<int>(LogLevel::Warning)},
    {"error", static_cast<int>(LogLevel::Error)},
};

bool isUsable(const Address &address)
{
    in_addr number {};
    return address.port != 0 && inet_pton(AF_INET, address.ip.c_str(), &number) == 1;
}

Address readAddress(JsonObjectReader &root, const std::string &key)
{
    const std::string text = root.text(key, addressRule);
    Address address = parseAddress(text);
    if (root.isPresent() && !text.empty() && !isUsable(address)) {
        root.fault(key, text, "an IPv4 address and a port, such as 10.0.0.1:7000");
    }
    return address;
}

std::vector<Address> readSeeds(JsonObjectReader &root, std::uint16_t peerPort)
{
    std::vector<Address> seeds;
    const nlohmann::json *list = root.member("seeds");
    if (list == nullptr) {
        return seeds;
    }
    if (!list->is_array() || list->size() > maxSeeds) {
        root.fault("seeds", describeFound(*list), "a list of at most 64 addresses");
        return seeds;
    }
    for (const nlohmann::json &item : *list) {
        Address seed = parseAddress(item.is_string() ? item.get<std::string>() : std::string());
        if (!isUsable(seed)) {
            root.fault("seeds", describeFound(item), "an IPv4 address and a port, such as 10.0.0.1:7000");
            continue;
        }
        seed.port = peerPort; // the list gives the port of another service on the same instances
        if (std::find(seeds.begin(), seeds.end(), seed) == seeds.end()) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

/// A limit of the machine; 0 if it is absent or null.
std::int64_t readLimit(JsonObjectReader &root, const std::string &key, std::int64_t least, std::int64_t most)
{
    const nlohmann::json *limit = root.member(key);
    if (limit == nullptr || limit->is_null()) {
        return 0;
    }
    if (!limit->is_number() || limit->get<double>() < double(least) || limit->get<double>() > double(most)) {
        root.fault(key, describeFound(*limit), "a number from " + std::to_string(least) + " to " + std::to_string(most) + ", or null");
        return 0;
    }
    return static_cast<std::int64_t>(limit->get<double>());
}

/// The load policy and the times that it depends on, which the platform may leave open.
LoadPolicyOptions readLoadPolicy(JsonObjectReader &root)
{
    const nlohmann::json *name = root.member("load_policy");
    const std::optional<LoadPolicyOptions> policy = parseLoadPolicy(name == nullptr ? "off" : name->is_string() ? name->get<std::string>() : "");
    if (!policy) {
        root.fault("load_policy", describeFound(*name), "off or worth, the latter with names of mechanisms such as worth,-reserve");
        return {};
    }
    LoadPolicyOptions options = *policy;
    for (const auto &[key, time] : {std::pair("stop_ms", &options.stopTime), std::pair("reclaim_ms", &options.reclaimTime)}) {
        const nlohmann::json *bound = root.member(key);
        if (bound != nullptr && !bound->is_null()) {
            *time = root.duration(key, {Milliseconds(1), Seconds(600), *time});
        }
    }
    return options;
}

CellSettings readRoot(JsonObjectReader &root, const JsonReport &report)
{
    CellSettings settings;
    settings.role = static_cast<ProcessRole>(root.choice("role", roles));
    const bool isRoleKnown = report.faults.empty();
    settings.name = root.text("name", nameRule);
    settings.region = root.text("region", nameRule);
    settings.failureDomain = root.text("failure_domain", nameRule);
    settings.peers.ip = root.text("ip", {TextRule::Form::IpAddress, 7, 15, std::nullopt});
    settings.peers.port = static_cast<std::uint16_t>(root.integer("peer_port", {1, 65535, std::nullopt}));
    const nlohmann::json *peerListen = root.member("peer_listen");
    settings.peerListen = peerListen == nullptr || peerListen->is_null() ? settings.peers : readAddress(root, "peer_listen");
    settings.metricsPort = static_cast<std::uint16_t>(root.integer("metrics_port", {1, 65535, std::nullopt}));
    settings.seeds = readSeeds(root, settings.peers.port);
    settings.store = readAddress(root, "store");
    settings.lease = root.duration("lease_ms", {minLease, Seconds(600), std::nullopt});
    settings.grace = Milliseconds(static_cast<std::int64_t>(1000 * root.number("grace_s", {0, 3600, 6})));
    settings.processorShare = root.number("processor_share", {0.001, 1024, 1});
    settings.memoryMib = readLimit(root, "memory_mb", minMemoryMib, maxMemoryMib);
    settings.maximumDescriptors = readLimit(root, "max_descriptors", minDescriptors, maxDescriptors);
    settings.logLevel = static_cast<LogLevel>(root.choice("log_level", logLevels, "info"));
    const nlohmann::json *evacuation = root.member("evacuation_apply_ms");
    if (evacuation != nullptr && !evacuation->is_null()) {
        settings.evacuationApplyTime = root.duration("evacuation_apply_ms", {minEvacuationTime, Seconds(60), std::nullopt});
    }
    if (!root.isPresent() || (isRoleKnown && settings.role == ProcessRole::Entry)) {
        settings.configurationApplyTime = root.duration("configuration_apply_ms", {minApplyTime, Seconds(60), defaultApplyTime});
        settings.loadPolicy = readLoadPolicy(root);
        settings.callers = readAddress(root, "callers");
        settings.readiness = readAddress(root, "readiness");
        const nlohmann::json *advice = root.member("advice");
        if (advice != nullptr && !advice->is_null()) {
            settings.advice = readAddress(root, "advice");
        }
    }
    if (!root.isPresent() || (isRoleKnown && settings.role == ProcessRole::Agent)) {
        settings.endpointReports = readAddress(root, "endpoint_reports");
        settings.endpoint = readAddress(root, "endpoint");
        const nlohmann::json *service = root.member("service");
        if (service != nullptr && service->is_string()) {
            settings.service = service->get<std::string>();
        } else if (service != nullptr && !service->is_null()) {
            root.fault("service", describeFound(*service), "the name of a service, or null");
        }
    }
    root.finish();
    return settings;
}

} // namespace

Result<CellSettings, SettingsError> parseCellSettings(const std::string &json)
{
    JsonReport report;
    const nlohmann::json document = parseJson(json, report);
    if (!report.faults.empty()) {
        return SettingsError {report.faults};
    }
    JsonObjectReader root(&document, "", report);
    CellSettings settings = readRoot(root, report);
    if (!report.faults.empty()) {
        return SettingsError {report.faults};
    }
    return settings;
}

Result<CellSettings, SettingsError> readCellSettings(const std::string &fileName)
{
    const Result<std::string, SettingsError> text = readSettingsText(fileName);
    if (!isOk(text)) {
        return error(text);
    }
    return parseCellSettings(value(text));
}

std::vector<FieldDescription> describeCellSettings()
{
    JsonReport report;
    JsonObjectReader root(nullptr, "", report);
    readRoot(root, report);
    return report.fields;
}

} // namespace knapweed::cell
