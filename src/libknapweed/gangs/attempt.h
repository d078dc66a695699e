// Keys of attempts and their parts, and the id of a part at its worker and endpoint.
#pragma once

#include "peers/gen/peers_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace knapweed::gangs
{

/// Identifies one attempt to run a job. Usable as a map key.
struct AttemptKey
{
    std::string job;
    std::int64_t owner = 0;
    std::int32_t number = 0;

    bool operator==(const AttemptKey &other) const = default;
    bool operator<(const AttemptKey &other) const
    {
        return std::tie(job, owner, number) < std::tie(other.job, other.owner, other.number);
    }
};

/// Identifies the part of an attempt that one member runs. Usable as a map key.
struct PartKey
{
    AttemptKey attempt;
    std::int32_t member = 0;

    bool operator==(const PartKey &other) const = default;
    bool operator<(const PartKey &other) const
    {
        return std::tie(attempt, member) < std::tie(other.attempt, other.member);
    }
};

AttemptKey attemptKey(const wire::AttemptId &attempt);
wire::AttemptId attemptId(const AttemptKey &key);

/// "{job}.{owner}.{number}.{member}": the name of the part at its endpoint and of its lease at its worker.
std::string partId(const PartKey &key);

/// Parses a string returned by partId().
std::optional<PartKey> parsePartId(const std::string &id);

} // namespace knapweed::gangs
