// Seeded workloads shaped as those of the users: small jobs in bursts, large gangs in bursts, wrong declarations, waves of cancellations and faults.
#pragma once

#include "planning/planner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::bench
{

/// A job with what only the driver knows of it.
struct SimulatedJob
{
    planning::WaitingJob waiting;
    Milliseconds arrival {0};
    Milliseconds run {0}; ///< true run time
    bool isLarge = false;
    bool canNeverRun = false;
};

struct CancellationWave
{
    Milliseconds at {0};
    double share = 0; ///< of the jobs that wait then
};

struct WorkerFault
{
    Milliseconds from {0};
    Milliseconds until {0};
    std::string worker;
    bool isLost = false; ///< gone; otherwise it fails every task that it starts
};

struct Workload
{
    std::string name;
    std::uint64_t seed = 0;
    Milliseconds horizon {0}; ///< no job arrives later
    planning::Policy policy;
    std::vector<planning::Worker> workers;
    std::vector<SimulatedJob> jobs; ///< in order of arrival
    std::vector<CancellationWave> waves;
    std::vector<WorkerFault> faults;
};

enum class Annex { Kothari, Recovery };

struct WorkloadOptions
{
    std::uint64_t seed = 1;
    Milliseconds horizon {3600000};
    double load = 0.8; ///< offered share of the fleet's accelerators
};

Workload makeWorkload(Annex annex, const WorkloadOptions &options);

} // namespace knapweed::bench
