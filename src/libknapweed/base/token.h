// Bearer tokens of callers and operators. Tokens are never logged and never part of an error.
#pragma once

#include "base/http.h"

#include <string>

namespace knapweed
{

/// The token of "Authorization: Bearer TOKEN"; empty when the request has none.
std::string bearerToken(const HttpRequest &request);

/// Compares in a time that depends on the length of @p given only. An empty token equals none, not even another empty one.
bool isSameToken(const std::string &given, const std::string &expected);

} // namespace knapweed
