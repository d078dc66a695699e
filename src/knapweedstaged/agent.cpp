// Starts the agent's task and stops it on a signal.

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
