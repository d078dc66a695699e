// Runs one workload against one scheduler on a driven clock: a table of workers, the gangs on them, and what happens to each job.
#pragma once

#include "scheduler.h"
#include "workload.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed::bench
{

enum class JobEnd { Unfinished, Completed, Failed, Cancelled, Refused };

struct JobRecord
{
    std::string account;
    std::string kind;
    bool isLarge = false;
    bool isUrgent = false;
    JobEnd end = JobEnd::Unfinished;
    Milliseconds arrival {0};
    Milliseconds firstStart {-1};
    Milliseconds waited {0}; ///< in the queue, before each of its starts
    Milliseconds finished {-1};
    Milliseconds run {0};
    int accelerators = 0;
};

struct SimulationResult
{
    std::vector<JobRecord> jobs;
    std::vector<Milliseconds> reclaims; ///< from the time that a guaranteed shape was owed to its start
    std::vector<Microseconds> rounds; ///< computing time of each decision round
    double fragmentation = 0; ///< mean over time, of the free accelerators
    double utilisation = 0; ///< of the fleet's accelerator time within the horizon
    double lostSeconds = 0; ///< accelerator time of work thrown away by preemption
    int preemptions = 0; ///< gangs
    int doubleGrants = 0; ///< placements refused since an accelerator was in use; the baselines' and the planner's must be zero
    std::map<std::string, double> service; ///< accelerator seconds of each account within the horizon
};

SimulationResult simulate(const Workload &workload, SchedulerKind kind);

} // namespace knapweed::bench
