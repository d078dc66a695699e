// Runs an AgentTask until a signal stops it.

#include "agent.h"

#include "agenttask.h"
#include "runtask.h"

namespace knapweed
{

int runAgent(const Settings &settings)
{
    return runTask<AgentTask>(settings);
}

} // namespace knapweed
