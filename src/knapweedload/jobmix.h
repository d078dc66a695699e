// The jobs that the load tool submits: a weighted mix of kinds, and one unique job after another from it.
#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace knapweed
{

struct JobKind
{
    std::string name;
    int weight = 1;
    int tasks = 1;
    int acceleratorsPerTask = 1;
    Milliseconds run {0};
};

struct JobMixError
{
    std::string detail;
};

/// Parses "KIND=WEIGHT[:TASKSxACCELERATORS[:RUN_MS]]", several separated by commas.
Result<std::vector<JobKind>, JobMixError> parseJobMix(const std::string &text);

/// One job as it is submitted.
struct LoadJob
{
    std::uint64_t number = 0;
    JobKind kind;
    std::string key; ///< of idempotency, unique for the seed
    std::string input; ///< unique; a stand-in endpoint answers "done:" and this
    std::string body; ///< of the request
};

struct JobOptions
{
    Milliseconds deadline {60000};
    int notRepeatablePercent = 0;
    std::uint64_t seed = 1;
};

/// Draws the job with this number; the same mix, seed and number give the same job.
LoadJob makeJob(const std::vector<JobKind> &mix, const JobOptions &options, std::uint64_t number);

} // namespace knapweed
