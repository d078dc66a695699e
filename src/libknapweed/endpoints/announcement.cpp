// Validates each field of an endpoint's announcement.

#include "endpoints/announcement.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <optional>

namespace knapweed
{

namespace
{

using Json = nlohmann::json;

constexpr int slotLimit = 4096;
constexpr int portLimit = 65535;

bool isIpv4Address(const std::string &text)
{
    in_addr address {};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

std::optional<int> integerField(const Json &body, const char *name, int lowest, int highest)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_integer() || *found < lowest || *found > highest) {
        return std::nullopt;
    }
    return found->get<int>();
}

std::string textField(const Json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

Result<gangs::EndpointAnnouncement, AnnouncementError> parseAnnouncement(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return AnnouncementError {"", "the body must be a JSON object"};
    }
    const std::string ip = textField(json, "ip");
    if (!isIpv4Address(ip)) {
        return AnnouncementError {"ip", "ip must be an IP number such as 127.0.0.1"};
    }
    const std::optional<int> port = integerField(json, "port", 1, portLimit);
    if (!port) {
        return AnnouncementError {"port", "port must be from 1 to " + std::to_string(portLimit)};
    }
    const std::optional<int> slots = integerField(json, "slots", 0, slotLimit);
    if (!slots) {
        return AnnouncementError {"slots", "slots must be from 0 to " + std::to_string(slotLimit)};
    }
    const std::string state = textField(json, "state");
    if (state != "ready" && state != "leaving") {
        return AnnouncementError {"state", "state must be ready or leaving"};
    }
    gangs::EndpointAnnouncement announcement;
    announcement.address = {ip, static_cast<std::uint16_t>(*port)};
    announcement.slots = *slots;
    announcement.ready = state == "ready";
    return announcement;
}

} // namespace knapweed
