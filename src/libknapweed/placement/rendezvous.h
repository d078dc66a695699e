// Rendezvous hashing: processes that know the same set choose the same one, and a change of the set moves only what it must.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweed
{

/// The address that ranks first for @p key; empty when there is none. @p processes maps nonces to addresses.
std::string rendezvousChoice(const std::string &key, const std::map<std::int64_t, std::string> &processes);

} // namespace knapweed
