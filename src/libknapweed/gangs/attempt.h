// Keys of attempts and of their parts, and the id that a part has at its worker and its endpoint.
#pragma once

#include "peers/gen/peers_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace knapweed::gangs
{

/// One try at running a job, as a key of maps.
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

/// The part of an attempt that one member runs.
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

/// Parses what partId() prints.
std::optional<PartKey> parsePartId(const std::string &id);

} // namespace knapweed::gangs
