// Names of phases, outcomes and reasons in responses to callers.

#include "callers/job.h"

#include <array>

namespace knapweed
{

bool isTerminal(const Job &job)
{
    return job.phase == JobPhase::Finished;
}

const char *phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::AwaitingLog:
        return "accepting";
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Starting:
    case JobPhase::Abandoning:
    case JobPhase::Recording:
        return "running";
    case JobPhase::Remote:
        return "elsewhere";
    case JobPhase::Finished:
        return "finished";
    }
    return "finished";
}

const char *outcomeName(wire::Outcome::type outcome)
{
    switch (outcome) {
    case wire::Outcome::Completed:
        return "completed";
    case wire::Outcome::Failed:
        return "failed";
    case wire::Outcome::Cancelled:
        return "cancelled";
    case wire::Outcome::NotRun:
        return "not_run";
    case wire::Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *reasonName(wire::Reason::type reason)
{
    static constexpr std::array<const char *, 17> names = {"none",
        "busy",
        "endpoint_leaving",
        "reserved",
        "stale_fence",
        "lease_lapsed",
        "worker_failed",
        "endpoint_failed",
        "abandoned",
        "preempted",
        "cancelled",
        "member_lost",
        "not_first",
        "expired",
        "draining",
        "unreachable",
        "log_unavailable"};
    const std::size_t index = static_cast<std::size_t>(reason);
    return index < names.size() ? names.at(index) : "none";
}

} // namespace knapweed
