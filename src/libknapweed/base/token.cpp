// Reading and comparing bearer tokens.

#include "base/token.h"

#include <cstddef>

namespace knapweed
{

std::string bearerToken(const HttpRequest &request)
{
    static const std::string scheme = "Bearer ";
    const HttpHeaders::const_iterator header = request.headers.find("authorization");
    if (header == request.headers.end() || header->second.compare(0, scheme.size(), scheme) != 0) {
        return {};
    }
    return header->second.substr(scheme.size());
}

bool isSameToken(const std::string &given, const std::string &expected)
{
    if (given.empty() || expected.empty()) {
        return false;
    }
    unsigned difference = given.size() == expected.size() ? 0 : 1;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const unsigned char left = given[i];
        const unsigned char right = expected[i % expected.size()];
        difference |= static_cast<unsigned>(left ^ right);
    }
    return difference == 0;
}

} // namespace knapweed
