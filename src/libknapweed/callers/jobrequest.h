// Parsing and validation of a caller's request to run a job.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "peers/gen/peers_types.h"

#include <optional>
#include <string>

namespace knapweed
{

struct JobRequest
{
    wire::JobSpec spec; ///< parseJobRequest() leaves the account empty; the HTTP interface sets it
    std::optional<Milliseconds> deadline; ///< maximum waiting time until the start of the job
};

/// Why a request was refused. No part of a refused request has run or will run.
struct RequestError
{
    int status = 400; ///< HTTP status
    std::string code; ///< stable and machine-readable
    std::string field; ///< the invalid field; empty when the error concerns no single field
    std::string detail; ///< one line: what was found and what is allowed
};

constexpr int maximumGangTasks = 64;
constexpr int maximumAcceleratorsPerTask = 64;
constexpr Milliseconds maximumDeadline = std::chrono::hours(24);

Result<JobRequest, RequestError> parseJobRequest(const std::string &body);

} // namespace knapweed
