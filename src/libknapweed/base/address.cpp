// Text form of addresses.

#include "base/address.h"

#include <charconv>

namespace knapweed
{

std::string toString(const Address &address)
{
    return address.ip + ':' + std::to_string(address.port);
}

Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return {};
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return {};
    }
    return {text.substr(0, colon), port};
}

} // namespace knapweed
