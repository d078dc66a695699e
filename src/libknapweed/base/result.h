// Results that are either a value or a layer's own typed error.
#pragma once

#include <variant>

namespace knapweed
{

/// The value of a call that succeeded, or the error of the layer that failed. The two types must differ.
template<typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// For calls that return nothing when they succeed.
struct Done
{
};

template<typename Value, typename Error>
bool isOk(const Result<Value, Error> &result)
{
    return result.index() == 0;
}

/// Contract: isOk(result).
template<typename Value, typename Error>
const Value &value(const Result<Value, Error> &result)
{
    return std::get<0>(result);
}

template<typename Value, typename Error>
Value &value(Result<Value, Error> &result)
{
    return std::get<0>(result);
}

/// Contract: !isOk(result).
template<typename Value, typename Error>
const Error &error(const Result<Value, Error> &result)
{
    return std::get<1>(result);
}

} // namespace knapweed
