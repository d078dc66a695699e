// Runs the task of a role from its start to the end of its drain; the same for every role.
#pragma once

#include "base/settings.h"
#include "termination.h"

#include <cstdio>
#include <memory>

namespace knapweed
{

/// Serves until a signal has drained the task. Returns the exit status. The signals must be blocked in every thread.
template<typename Task>
int runTask(const Settings &settings)
{
    // The signal task keeps a reference to the loop for as long as the process lives.
    static std::unique_ptr<Task> task;
    task = std::make_unique<Task>(settings);
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
