// Rendezvous hashing: all processes with the same view of the set choose the same member, and a change of the set moves as few keys as possible.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweed
{

/// The address with the highest rank for @p key; empty if there are no processes. @p processes maps nonces to addresses.
std::string rendezvousChoice(const std::string &key, const std::map<std::int64_t, std::string> &processes);

} // namespace knapweed
