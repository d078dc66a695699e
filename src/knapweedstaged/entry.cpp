// Starts the entry's task and stops it on a signal.

#include "entry.h"

#include "entrytask.h"
#include "runtask.h"

namespace knapweed
{

int runEntry(const Settings &settings)
{
    return runTask<EntryTask>(settings);
}

} // namespace knapweed
