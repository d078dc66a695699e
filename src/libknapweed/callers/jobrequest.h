// A caller's request to run a job: reading it from JSON and checking it completely.
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
    wire::JobSpec spec; ///< the account is filled in by whoever knows the caller
    std::optional<Milliseconds> deadline; ///< how long the job may wait for its start
};

/// Why a request was turned down; nothing of it ran or will run.
struct RequestError
{
    int status = 400; ///< HTTP status
    std::string code; ///< stable, for programs
    std::string field; ///< empty when no single field is at fault
    std::string detail; ///< one line: what was found and what is allowed
};

constexpr int maximumGangTasks = 64;
constexpr int maximumAcceleratorsPerTask = 64;
constexpr Milliseconds maximumDeadline = std::chrono::hours(24);

Result<JobRequest, RequestError> parseJobRequest(const std::string &body);

} // namespace knapweed
