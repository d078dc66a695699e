// A job as its home entry knows it.
#pragma once

#include "base/clock.h"
#include "peers/gen/peers_types.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweed
{

enum class JobPhase {
    AwaitingLog, ///< the submit record has been appended and not read back
    Queued, ///< waits for a placement
    Starting, ///< a gang request is with a lead; the parts may run
    Abandoning, ///< the lead is unreachable; an abandon record waits to be read back
    Remote, ///< owned by another entry; its outcome comes from the log
    Recording, ///< the outcome is known and its record waits to be read back
    Finished,
};

/// What became of a job.
struct JobOutcome
{
    wire::Outcome::type outcome = wire::Outcome::Unknown;
    wire::Reason::type reason = wire::Reason::None;
    std::string detail;
    std::vector<wire::PartResult> parts;
};

struct Job
{
    std::string id;
    std::string key;
    std::string requestDigest;
    wire::JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    bool isDurable = false; ///< has, or will have, a submit record
    bool isRecoverable = false; ///< the caller was told 202, so another entry runs it when this one is gone
    bool isCancelRequested = false;
    bool mayHaveRun = false; ///< some attempt ended without proof that it never started; invariant: then the outcome is never NotRun

    wire::AttemptId attempt; ///< the current or last one
    std::string lead; ///< agent that leads the current attempt
    std::int64_t leadIncarnation = 0; ///< of the lead when the attempt was made; a restarted lead can't vouch for it
    std::vector<wire::Member> members;
    bool isBorrowed = false;
    bool isAcknowledged = false; ///< the lead has the current attempt
    bool isEndRequested = false; ///< the lead has been asked to end the current attempt
    int attemptsMade = 0;
    int failedAttempts = 0; ///< those that count against the attempt limit
    std::vector<std::string> avoidWorkers;

    MonotonicTime submittedAt;
    MonotonicTime startDeadline; ///< a job that has not started by then ends as NotRun
    MonotonicTime lastLeadMessageAt; ///< last word from the lead of the current attempt
    MonotonicTime nextDue; ///< when the job next needs a look
    MonotonicTime notBefore; ///< retry backoff: no placement request before then
    MonotonicTime placedAt;
    MonotonicTime finishedAt;

    std::optional<JobOutcome> outcome; ///< set once; invariant: never changes afterwards
};

bool isTerminal(const Job &job);

const char *phaseName(JobPhase phase);
const char *outcomeName(wire::Outcome::type outcome);
const char *reasonName(wire::Reason::type reason);

} // namespace knapweed
