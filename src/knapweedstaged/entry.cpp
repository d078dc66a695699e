// Runs an EntryTask until a signal stops it.

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
