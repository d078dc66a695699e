// Simulation of job registries with a simulated clock: one log, two entries and three leads, with injected faults.
#pragma once

#include "callers/jobid.h"
#include "callers/jobregistry.h"

#include <pcg_random.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jobsimulation
{

using namespace knapweed;

/// Probability of each fault; 0 disables it.
struct Faults
{
    double loseMessage = 0;
    double repeatMessage = 0;
    Milliseconds longestDelay {5};
    double repeatAppend = 0; ///< the acknowledgement is lost, so the record is appended twice
    double logOutage = 0; ///< per 100 ms
    double killEntry = 0; ///< per 100 ms
    double freezeEntry = 0;
    double killLead = 0;
    double freezeLead = 0;
    double refuseGang = 0; ///< a lead reports NotRun with reason Busy
};

/// The outcome last reported to a caller.
struct ReportedOutcome
{
    wire::Outcome::type outcome = wire::Outcome::Unknown;
};

struct Envelope
{
    MonotonicTime due;
    std::string from;
    std::string to;
    PeerMessage message;
};

struct LeadAttempt
{
    wire::GangRequest request;
    bool isStartAppended = false;
    std::int64_t startNonce = 0;
    std::optional<MonotonicTime> endsAt;
    std::optional<wire::OutcomeReport> report;
    bool isTombstone = false;
    MonotonicTime nextReport;
};

/// Position in the log and folded state of one process.
struct Follower
{
    JobFold fold;
    std::size_t position = 0;
};

struct Lead
{
    std::string address;
    std::int64_t incarnation = 1;
    std::map<std::pair<std::string, std::pair<std::int64_t, int>>, LeadAttempt> attempts;
    Follower follower;
    MonotonicTime frozenUntil;
};

struct Entry
{
    std::string address;
    std::int64_t nonce = 0;
    Follower follower;
    std::unique_ptr<JobRegistry> registry;
    MonotonicTime frozenUntil;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, const Faults &faults);

    /// Submits a job to entry @p index. Returns the job id, or an empty string if the job was rejected.
    std::string submit(std::size_t index, const Submission &submission);
    void run(Milliseconds duration);
    void stopFaults();

    MonotonicTime now() const
    {
        return now_;
    }
    int starts(const std::string &job) const;
    const std::map<std::string, std::vector<wire::Outcome::type>> &reportedOutcomes() const
    {
        return reportedOutcomes_;
    }
    JobRegistry &registry(std::size_t index)
    {
        return *entries_.at(index).registry;
    }
    /// The outcome of the job in the log, which any entry reports; empty without an outcome record.
    std::optional<wire::Outcome::type> recordedOutcome(const std::string &job) const;

private:
    bool occurs(double probability);
    void step();
    void injectFaults();
    void startEntry(Entry &entry);
    void takeActions(Entry &entry);
    void post(const std::string &from, const std::string &to, PeerMessage message);
    void append(const Record &record);
    void follow(Follower &follower, const std::function<void(const Record &)> &applied);
    void deliver(const Envelope &envelope);
    void answerPlacementRequest(const Envelope &envelope, const wire::PlacementRequest &request);
    void deliverToLead(Lead &lead, const Envelope &envelope);
    void advanceLead(Lead &lead);
    void endLeadAttempt(Lead &lead, LeadAttempt &attempt, wire::Outcome::type outcome, wire::Reason::type reason);
    void updateLiveEntries();

    pcg32 random_;
    Faults faults_;
    MonotonicTime now_;
    MonotonicTime nextFaults_;
    MonotonicTime logDownUntil_;
    std::int64_t nextNonce_ = 100;
    std::vector<Record> log_;
    std::vector<Record> waitingAppends_;
    std::array<Entry, 2> entries_;
    std::array<Lead, 3> leads_;
    std::vector<Envelope> network_;
    std::map<std::string, int> starts_;
    std::map<std::string, std::vector<wire::Outcome::type>> reportedOutcomes_;
};

} // namespace jobsimulation
