// The address of a process: an IP number and a TCP port.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace knapweed
{

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;

    bool operator<(const Address &other) const
    {
        return std::tie(ip, port) < std::tie(other.ip, other.port);
    }
};

/// "127.0.0.1:8080".
std::string toString(const Address &address);

/// Parses what toString() prints. Returns an address with port 0 when @p text is not one.
Address parseAddress(const std::string &text);

} // namespace knapweed
