// Conversions between keys, wire forms and part ids.

#include "gangs/attempt.h"

#include <charconv>

namespace knapweed::gangs
{

namespace
{

/// Removes the last dot and the number after it from @p text and stores the number in @p number. Returns false if there is none.
template<typename Number>
bool removeTrailingNumber(std::string &text, Number &number)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string::npos) {
        return false;
    }
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + dot + 1, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return false;
    }
    text.resize(dot);
    return true;
}

} // namespace

AttemptKey attemptKey(const wire::AttemptId &attempt)
{
    return {attempt.job, attempt.owner, attempt.number};
}

wire::AttemptId attemptId(const AttemptKey &key)
{
    wire::AttemptId attempt;
    attempt.job = key.job;
    attempt.owner = key.owner;
    attempt.number = key.number;
    return attempt;
}

std::string partId(const PartKey &key)
{
    return key.attempt.job + '.' + std::to_string(key.attempt.owner) + '.' + std::to_string(key.attempt.number) + '.' + std::to_string(key.member);
}

std::optional<PartKey> parsePartId(const std::string &id)
{
    PartKey key;
    std::string rest = id;
    if (!removeTrailingNumber(rest, key.member) || !removeTrailingNumber(rest, key.attempt.number) || !removeTrailingNumber(rest, key.attempt.owner)
        || rest.empty()) {
        return std::nullopt;
    }
    key.attempt.job = rest;
    return key;
}

} // namespace knapweed::gangs
