// Behaviour of the simulated processes. A lead runs one part, which starts on request if the job is repeatable, otherwise when its start record is valid.

#include "callers/jobsimulation.h"

#include <algorithm>
#include <random>

namespace jobsimulation
{

namespace
{

constexpr Milliseconds stepDuration {5};
constexpr Milliseconds faultInterval {100};
constexpr Milliseconds maxOutage {3000};
constexpr Milliseconds maxFreeze {9000};

const std::string plannerAddress = "planner";

Milliseconds randomDuration(pcg32 &random, Milliseconds limit)
{
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random));
}

} // namespace

Simulation::Simulation(std::uint64_t seed, const Faults &faults)
    : random_(seed)
    , faults_(faults)
    , now_(std::chrono::hours(1))
    , nextFaults_(now_)
{
    for (std::size_t index = 0; index < leads_.size(); ++index) {
        leads_.at(index).address = "lead" + std::to_string(index);
    }
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        entries_.at(index).address = "entry" + std::to_string(index);
        startEntry(entries_.at(index));
    }
    updateLiveEntries();
}

bool Simulation::occurs(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void Simulation::startEntry(Entry &entry)
{
    entry.nonce = nextNonce_++;
    entry.follower = Follower();
    JobRegistryOptions options;
    options.address = entry.address;
    options.nonce = entry.nonce;
    options.incarnationOf = [this](const std::string &agent) -> std::int64_t {
        for (const Lead &lead : leads_) {
            if (lead.address == agent) {
                return lead.incarnation;
            }
        }
        return 0;
    };
    entry.registry = std::make_unique<JobRegistry>(options, entry.follower.fold);
    entry.registry->setPlanner(now_, plannerAddress);
    entry.registry->setLogReachable(true);
}

void Simulation::updateLiveEntries()
{
    std::map<std::int64_t, std::string> live;
    for (const Entry &entry : entries_) {
        live.emplace(entry.nonce, entry.address);
    }
    for (Entry &entry : entries_) {
        entry.registry->setLiveEntries(live);
    }
}

std::string Simulation::submit(std::size_t index, const Submission &submission)
{
    Entry &entry = entries_.at(index);
    const Result<std::string, RequestError> accepted = entry.registry->submit(now_, submission);
    takeActions(entry);
    return isOk(accepted) ? value(accepted) : std::string();
}

int Simulation::starts(const std::string &job) const
{
    const auto found = starts_.find(job);
    return found == starts_.end() ? 0 : found->second;
}

std::optional<wire::Outcome::type> Simulation::recordedOutcome(const std::string &job) const
{
    const FoldedJob *folded = entries_.front().follower.fold.job(job);
    if (folded == nullptr || !folded->outcome) {
        return std::nullopt;
    }
    return folded->outcome->outcome;
}

void Simulation::stopFaults()
{
    faults_ = Faults();
}

void Simulation::run(Milliseconds duration)
{
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
        step();
    }
}

void Simulation::step()
{
    now_ += stepDuration;
    if (now_ >= nextFaults_) {
        nextFaults_ = now_ + faultInterval;
        injectFaults();
    }
    if (now_ >= logDownUntil_) {
        for (const Record &record : std::exchange(waitingAppends_, {})) {
            log_.push_back(record);
            if (occurs(faults_.repeatAppend)) {
                log_.push_back(record);
            }
        }
    }
    std::vector<Envelope> due;
    const auto firstDue = std::stable_partition(network_.begin(), network_.end(), [this](const Envelope &envelope) {
        return envelope.due > now_;
    });
    std::move(firstDue, network_.end(), std::back_inserter(due));
    network_.erase(firstDue, network_.end());
    std::shuffle(due.begin(), due.end(), random_);
    for (const Envelope &envelope : due) {
        deliver(envelope);
    }
    for (Entry &entry : entries_) {
        if (now_ < entry.frozenUntil) {
            continue;
        }
        follow(entry.follower, [this, &entry](const Record &record) {
            entry.registry->recordApplied(now_, record);
        });
        entry.registry->tick(now_);
        takeActions(entry);
    }
    for (Lead &lead : leads_) {
        if (now_ >= lead.frozenUntil) {
            advanceLead(lead);
        }
    }
}

void Simulation::injectFaults()
{
    if (occurs(faults_.logOutage)) {
        logDownUntil_ = now_ + randomDuration(random_, maxOutage);
    }
    for (Entry &entry : entries_) {
        if (occurs(faults_.killEntry)) {
            startEntry(entry);
            updateLiveEntries();
        }
        if (occurs(faults_.freezeEntry)) {
            entry.frozenUntil = now_ + randomDuration(random_, maxFreeze);
        }
    }
    for (Lead &lead : leads_) {
        if (occurs(faults_.killLead)) {
            lead.attempts.clear();
            lead.follower = Follower();
            ++lead.incarnation;
        }
        if (occurs(faults_.freezeLead)) {
            lead.frozenUntil = now_ + randomDuration(random_, maxFreeze);
        }
    }
}

void Simulation::takeActions(Entry &entry)
{
    for (JobRegistryAction &action : entry.registry->takeActions()) {
        if (SendPeer *send = std::get_if<SendPeer>(&action)) {
            post(entry.address, send->peer, std::move(send->message));
        } else if (const AppendRecord *record = std::get_if<AppendRecord>(&action)) {
            append(record->record);
        } else if (const JobChanged *change = std::get_if<JobChanged>(&action)) {
            if (change->hasFinished) {
                reportedOutcomes_[change->job].push_back(entry.registry->job(change->job)->outcome->outcome);
            }
        }
    }
}

void Simulation::append(const Record &record)
{
    waitingAppends_.push_back(record);
}

void Simulation::post(const std::string &from, const std::string &to, PeerMessage message)
{
    if (occurs(faults_.loseMessage)) {
        return;
    }
    if (occurs(faults_.repeatMessage)) {
        network_.push_back({now_ + randomDuration(random_, faults_.longestDelay), from, to, message});
    }
    network_.push_back({now_ + randomDuration(random_, faults_.longestDelay), from, to, std::move(message)});
}

void Simulation::follow(Follower &follower, const std::function<void(const Record &)> &applied)
{
    for (; follower.position < log_.size(); ++follower.position) {
        const Record record = log_.at(follower.position);
        follower.fold.apply(static_cast<std::int64_t>(follower.position), record);
        applied(record);
    }
}

void Simulation::deliver(const Envelope &envelope)
{
    if (const wire::PlacementRequest *request = std::get_if<wire::PlacementRequest>(&envelope.message)) {
        answerPlacementRequest(envelope, *request);
    }
    for (Entry &entry : entries_) {
        if (entry.address != envelope.to) {
            continue;
        }
        if (now_ < entry.frozenUntil) {
            network_.push_back({entry.frozenUntil, envelope.from, envelope.to, envelope.message});
            continue;
        }
        entry.registry->receive(now_, envelope.from, envelope.message);
        takeActions(entry);
    }
    for (Lead &lead : leads_) {
        if (lead.address != envelope.to) {
            continue;
        }
        if (now_ < lead.frozenUntil) {
            network_.push_back({lead.frozenUntil, envelope.from, envelope.to, envelope.message});
            continue;
        }
        deliverToLead(lead, envelope);
    }
}

void Simulation::answerPlacementRequest(const Envelope &envelope, const wire::PlacementRequest &request)
{
    wire::Placement placement;
    placement.job = request.job;
    wire::Member member;
    member.agent = leads_.at(std::uniform_int_distribution<std::size_t>(0, leads_.size() - 1)(random_)).address;
    member.worker = "worker-of-" + member.agent;
    member.accelerators = {0};
    placement.members.push_back(member);
    post(plannerAddress, envelope.from, std::move(placement));
}

void Simulation::deliverToLead(Lead &lead, const Envelope &envelope)
{
    const auto keyOf = [](const wire::AttemptId &attempt) {
        return std::make_pair(attempt.job, std::make_pair(attempt.owner, int(attempt.number)));
    };
    if (const wire::GangRequest *request = std::get_if<wire::GangRequest>(&envelope.message)) {
        const bool isKnown = lead.attempts.count(keyOf(request->attempt)) != 0;
        LeadAttempt &attempt = lead.attempts[keyOf(request->attempt)];
        if (!isKnown) {
            attempt.request = *request;
            const bool isStaleIncarnation = request->leadIncarnation != lead.incarnation;
            if (isStaleIncarnation) {
                endLeadAttempt(lead, attempt, wire::Outcome::Unknown, wire::Reason::LeaseLapsed);
            } else if (occurs(faults_.refuseGang)) {
                endLeadAttempt(lead, attempt, wire::Outcome::NotRun, wire::Reason::Busy);
            }
        }
        wire::GangAck ack;
        ack.attempt = request->attempt;
        post(lead.address, envelope.from, std::move(ack));
    } else if (const wire::OutcomeAck *ack = std::get_if<wire::OutcomeAck>(&envelope.message)) {
        const auto found = lead.attempts.find(keyOf(ack->attempt));
        if (found != lead.attempts.end()) {
            found->second.nextReport = MonotonicTime::max();
        }
    } else if (const wire::AttemptQuery *query = std::get_if<wire::AttemptQuery>(&envelope.message)) {
        const auto found = lead.attempts.find(keyOf(query->attempt));
        if (found == lead.attempts.end()) {
            return;
        }
        found->second.request.home = query->home;
        if (found->second.report) {
            found->second.nextReport = now_;
        }
        wire::GangAck alive;
        alive.attempt = query->attempt;
        post(lead.address, query->home, std::move(alive));
    }
}

void Simulation::endLeadAttempt(Lead &lead, LeadAttempt &attempt, wire::Outcome::type outcome, wire::Reason::type reason)
{
    wire::OutcomeReport report;
    report.attempt = attempt.request.attempt;
    report.lead = lead.address;
    report.outcome = outcome;
    report.reason = reason;
    if (outcome == wire::Outcome::Completed) {
        wire::PartResult part;
        part.worker = "w";
        part.output = "done:" + report.attempt.job;
        part.length = static_cast<std::int64_t>(part.output.size());
        part.digest = digestOf(part.output);
        report.parts.push_back(part);
    }
    attempt.report = report;
    attempt.nextReport = now_;
}

void Simulation::advanceLead(Lead &lead)
{
    follow(lead.follower, [](const Record &) {});
    for (auto &[key, attempt] : lead.attempts) {
        if (attempt.report) {
            if (now_ >= attempt.nextReport) {
                attempt.nextReport = now_ + Milliseconds(300);
                post(lead.address, attempt.request.home, *attempt.report);
            }
            continue;
        }
        if (attempt.endsAt) {
            if (now_ >= *attempt.endsAt) {
                endLeadAttempt(lead, attempt, wire::Outcome::Completed, wire::Reason::None);
            }
            continue;
        }
        if (attempt.request.spec.repeatable) {
            ++starts_[key.first];
            attempt.endsAt = now_ + randomDuration(random_, Milliseconds(200));
            continue;
        }
        if (!attempt.isStartAppended) {
            attempt.isStartAppended = true;
            attempt.startNonce = nextNonce_++;
            append(StartRecord {attempt.request.attempt, lead.address, attempt.startNonce});
            continue;
        }
        const StartRecord start {attempt.request.attempt, lead.address, attempt.startNonce};
        const FoldedJob *folded = lead.follower.fold.job(key.first);
        if (lead.follower.fold.isValidStart(start)) {
            ++starts_[key.first];
            attempt.endsAt = now_ + randomDuration(random_, Milliseconds(200));
        } else if (lead.follower.fold.isAbandoned(start.attempt)) {
            endLeadAttempt(lead, attempt, wire::Outcome::NotRun, wire::Reason::Abandoned);
        } else if (folded != nullptr && (folded->outcome || folded->submit.ownerNonce != start.attempt.owner || folded->start)) {
            endLeadAttempt(lead, attempt, wire::Outcome::NotRun, wire::Reason::NotFirst);
        }
    }
}

} // namespace jobsimulation
