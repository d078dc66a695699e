// Invariants that stay asserted in release builds: a process that finds its own state broken stops instead of going on with it.
#pragma once

#include <cstdio>
#include <cstdlib>

namespace knapweed
{

/// Ends the process with one line on standard error when @p holds is false. Only for this process's own state, never for what others send.
inline void assertInvariant(bool holds, const char *invariant)
{
    if (!holds) {
        std::fprintf(stderr, "invariant broken: %s\n", invariant);
        std::abort();
    }
}

} // namespace knapweed
