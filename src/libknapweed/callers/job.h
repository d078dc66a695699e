// State of a job in the entry that owns it.
#pragma once

#include "base/clock.h"
#include "peers/gen/peers_types.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweed
{

enum class JobPhase {
    AwaitingLog, ///< the submit record has been appended but not read back yet
    Queued, ///< waiting for a placement
    Starting, ///< a gang request has been sent to a lead; the parts may be running
    Abandoning, ///< the lead is unreachable; the abandon record has not been read back yet
    Remote, ///< owned by another entry; the outcome is read from the log
    Recording, ///< the outcome is known; its record has not been read back yet
    Finished,
};

/// Final result of a job.
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
    bool isDurable = false; ///< a submit record has been or will be appended to the log
    bool isRecoverable = false; ///< the caller received 202, so another entry runs the job if this entry fails
    bool isCancelRequested = false;
    bool mayHaveRun = false; ///< an attempt ended without proof that it never started; invariant: the outcome is then never NotRun

    wire::AttemptId attempt; ///< the current or most recent attempt
    std::string lead; ///< agent that leads the current attempt
    std::int64_t leadIncarnation = 0; ///< of the lead when the attempt was made; a restarted lead cannot confirm what its predecessor did
    std::vector<wire::Member> members;
    bool isBorrowed = false;
    bool isAcknowledged = false; ///< the lead has acknowledged the current attempt
    bool isEndRequested = false; ///< the lead has been asked to end the current attempt
    int attemptsMade = 0;
    int failedAttempts = 0; ///< attempts that count against the attempt limit
    std::vector<std::string> avoidWorkers;

    MonotonicTime submittedAt;
    MonotonicTime startDeadline; ///< a job that has not started by then finishes as NotRun, or as Unknown if an attempt may have run
    MonotonicTime lastLeadMessageAt; ///< last message from the lead of the current attempt; initially the time of placement
    MonotonicTime nextDue; ///< when tick() next advances the job; zero when nothing is scheduled
    MonotonicTime notBefore; ///< retry backoff: no placement request is sent earlier
    MonotonicTime placedAt;
    MonotonicTime finishedAt;

    std::optional<JobOutcome> outcome; ///< invariant: set at most once
};

bool isTerminal(const Job &job);

const char *phaseName(JobPhase phase);
const char *outcomeName(wire::Outcome::type outcome);
const char *reasonName(wire::Reason::type reason);

} // namespace knapweed
