// Runs the task of a role from its start to the end of its drain; the same for every role.
#pragma once

#include "base/settings.h"
#include "termination.h"

#include <cstdio>
#include <memory>

namespace knapweed
{

/// Serves until a signal has drained the task. Returns the exit status. The signals must be blocked in every thread.
template<typename Task, typename TaskSettings>
int runTask(const TaskSettings &settings)
{
    // The signal task keeps a reference to the loop for as long as the process lives.
    static std::unique_ptr<Task> task;
    task = std::make_unique<Task>(settings);
    if (!task->isListening()) {
        std::fprintf(stderr, "listen: can't listen on %s\n", toString(task->configuredAddress()).c_str());
        return 1;
    }
    const auto drain = []() {
        task->drain();
    };
    const auto reload = []() {
        task->reload();
    };
    watchTermination(task->loop(), drain, reload);
    std::printf("listening %s\n", toString(task->address()).c_str());
    std::fflush(stdout);
    task->run();
    return 0;
}

} // namespace knapweed
