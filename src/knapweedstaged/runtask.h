// Runs the main object of any role from its start to the end of its drain.
#pragma once

#include "base/settings.h"
#include "termination.h"

#include <cstdio>
#include <memory>

namespace knapweed
{

/// Runs until the task has drained after a signal. Returns the exit status. The signals must be blocked in every thread.
template<typename Task, typename TaskSettings>
int runTask(const TaskSettings &settings)
{
    // The signal thread refers to the event loop until the process ends, so the task is never destroyed before that.
    static std::unique_ptr<Task> task;
    task = std::make_unique<Task>(settings);
    if (!task->isListening()) {
        std::fprintf(stderr, "listen: cannot listen on %s\n", toString(task->configuredAddress()).c_str());
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
