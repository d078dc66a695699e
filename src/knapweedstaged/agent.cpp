// Starts the agent's task and stops it on a signal.

#include "agent.h"

#include "agenttask.h"
#include "termination.h"

#include <cstdio>
#include <memory>

namespace knapweed
{

int runAgent(const Settings &settings)
{
    // The signal task keeps a reference to the loop for as long as the process lives.
    static std::unique_ptr<AgentTask> task;
    task = std::make_unique<AgentTask>(settings);
    if (!task->isListening()) {
        std::fprintf(stderr, "listen: can't listen on %s\n", toString(settings.listen).c_str());
        return 1;
    }
    watchTermination(task->loop(), []() {
        task->drain();
    });
    std::printf("listening %s\n", toString(task->address()).c_str());
    std::fflush(stdout);
    task->run();
    return 0;
}

} // namespace knapweed
