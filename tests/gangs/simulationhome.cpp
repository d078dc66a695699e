// The home entry of the simulation, and the checks of the guarantees.

#include "gangs/simulation.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace knapweed::gangs::test
{

namespace
{

const std::string homeAddress = "home:1";
constexpr Milliseconds homeInterval {250};
constexpr int acceleratorsPerWorker = 8;

std::string describe(const AttemptKey &key)
{
    return partId({key, 0});
}

} // namespace

AttemptKey Simulation::submit(int members, int accelerators, bool repeatable, const std::string &input, Milliseconds lease)
{
    std::vector<int> chosen;
    std::vector<std::vector<std::int32_t>> taken;
    for (int member = 0; member < members; ++member) {
        int agent = static_cast<int>(random(static_cast<std::uint32_t>(agents_.size())));
        for (std::size_t tries = 0; !isAlive(agent) && tries < agents_.size(); ++tries) {
            agent = (agent + 1) % static_cast<int>(agents_.size());
        }
        chosen.push_back(agent);
        std::vector<std::int32_t> all(acceleratorsPerWorker);
        std::iota(all.begin(), all.end(), 0);
        std::shuffle(all.begin(), all.end(), random_);
        all.resize(accelerators);
        taken.push_back(all);
    }
    wire::JobSpec spec;
    spec.account = "kothari-fit";
    spec.tasks = members;
    spec.acceleratorsPerTask = accelerators;
    spec.repeatable = repeatable;
    spec.checkpointable = random(2) == 0;
    spec.input = input;
    return submitOn(chosen, taken, spec, lease);
}

AttemptKey Simulation::submitOn(
    const std::vector<int> &agents, const std::vector<std::vector<std::int32_t>> &accelerators, wire::JobSpec spec, Milliseconds lease, bool borrowed)
{
    HomeAttempt attempt;
    wire::GangRequest &request = attempt.request;
    request.attempt.job = "j" + std::to_string(++jobs_);
    request.attempt.owner = 7;
    request.attempt.number = 1;
    request.spec = std::move(spec);
    request.home = homeAddress;
    request.startWithinMs = 20000;
    request.leaseMs = lease.count();
    request.borrowed = borrowed;
    for (std::size_t member = 0; member < agents.size(); ++member) {
        wire::Member placement;
        placement.agent = agents_[agents[member]]->address;
        placement.worker = "w" + std::to_string(agents[member]);
        placement.accelerators = accelerators[member];
        request.members.push_back(placement);
    }
    request.leadIncarnation = agents_[agents.front()]->incarnation;
    if (!request.spec.repeatable) {
        SubmitRecord submit;
        submit.job = request.attempt.job;
        submit.ownerNonce = request.attempt.owner;
        submit.spec = request.spec;
        appendAtHome(submit);
    }
    AttemptKey key = attemptKey(request.attempt);
    placements_[key] = {agents, accelerators};
    attempts_[key] = attempt;
    // The home entry places a job that is not repeatable only after it has read the submit record back.
    at(request.spec.repeatable ? now_ : appendedUntil_, [this, request]() {
        send(homeAddress, request.members.front().agent, request);
    });
    return key;
}

AttemptKey Simulation::retry(const AttemptKey &attempt)
{
    HomeAttempt next;
    next.request = attempts_.at(attempt).request;
    Placement expected = placements_.at(attempt);
    next.request.attempt.number = static_cast<std::int32_t>(attempts_.size()) + 100;
    std::rotate(next.request.members.begin(), next.request.members.begin() + 1, next.request.members.end());
    std::rotate(expected.agents.begin(), expected.agents.begin() + 1, expected.agents.end());
    std::rotate(expected.accelerators.begin(), expected.accelerators.begin() + 1, expected.accelerators.end());
    next.request.leadIncarnation = agents_[expected.agents.front()]->incarnation;
    AttemptKey key = attemptKey(next.request.attempt);
    placements_[key] = expected;
    attempts_[key] = next;
    send(homeAddress, next.request.members.front().agent, next.request);
    return key;
}

void Simulation::endAttempt(const AttemptKey &key, wire::StopReason::type reason, Milliseconds grace)
{
    const HomeAttempt &attempt = attempts_.at(key);
    wire::EndAttempt end;
    end.attempt = attempt.request.attempt;
    end.reason = reason;
    end.graceMs = grace.count();
    end.replyTo = homeAddress;
    end.leadIncarnation = attempt.request.leadIncarnation;
    send(homeAddress, attempt.request.members.front().agent, end);
}

void Simulation::query(const AttemptKey &key)
{
    const HomeAttempt &attempt = attempts_.at(key);
    wire::AttemptQuery query;
    query.attempt = attempt.request.attempt;
    query.home = homeAddress;
    query.leadIncarnation = attempt.request.leadIncarnation;
    send(homeAddress, attempt.request.members.front().agent, query);
}

void Simulation::abandon(const AttemptKey &key)
{
    attempts_.at(key).abandonSent = true;
    AbandonRecord record;
    record.attempt = attempts_.at(key).request.attempt;
    record.by = homeAddress;
    appendAtHome(record);
}

/// Repeats unacknowledged gang requests and queries unfinished attempts.
void Simulation::homeTick()
{
    for (auto &[key, attempt] : attempts_) {
        const bool isAccepted = attempt.request.spec.repeatable || homeFold_.job(attempt.request.attempt.job);
        if (!attempt.acknowledged && !attempt.ended && isAccepted) {
            send(homeAddress, attempt.request.members.front().agent, attempt.request);
        } else if (!attempt.ended) {
            query(key);
        }
    }
    after(homeInterval, [this]() {
        homeTick();
    });
}

void Simulation::receiveAtHome(const PeerMessage &message)
{
    if (const wire::GangAck *ack = std::get_if<wire::GangAck>(&message)) {
        attempts_.at(attemptKey(ack->attempt)).acknowledged = true;
    } else if (const wire::OutcomeReport *report = std::get_if<wire::OutcomeReport>(&message)) {
        HomeAttempt &attempt = attempts_.at(attemptKey(report->attempt));
        attempt.ended = true;
        attempt.outcomes.push_back(*report);
        wire::OutcomeAck ack;
        ack.attempt = report->attempt;
        send(homeAddress, report->lead, ack);
    } else if (const wire::EndAttemptReply *reply = std::get_if<wire::EndAttemptReply>(&message)) {
        HomeAttempt &attempt = attempts_.at(attemptKey(reply->attempt));
        attempt.reportedNeverStarted = attempt.reportedNeverStarted || reply->neverStarted;
        attempt.ended = attempt.ended || reply->finished;
    }
}

const HomeAttempt &Simulation::attempt(const AttemptKey &key) const
{
    return attempts_.at(key);
}

const Run *Simulation::partRun(const AttemptKey &key, int member) const
{
    const FakeEndpoint &endpoint = agents_[placements_.at(key).agents.at(member)]->endpoint;
    const auto run = endpoint.runs.find(partId({key, member}));
    return run == endpoint.runs.end() ? nullptr : &run->second;
}

void Simulation::violation(const std::string &text)
{
    violations_.push_back(text);
}

/// Called when an endpoint starts a part for the first time.
void Simulation::checkStart(int index, const std::string &part)
{
    const PartKey key = *parsePartId(part);
    const std::vector<std::int32_t> &wanted = placements_.at(key.attempt).accelerators.at(key.member);
    for (const auto &[other, run] : agents_[index]->endpoint.runs) {
        if (other == part || !agents_[index]->endpoint.isRunning(other)) {
            continue;
        }
        const PartKey otherKey = *parsePartId(other);
        const std::vector<std::int32_t> &taken = placements_.at(otherKey.attempt).accelerators.at(otherKey.member);
        if (std::find_first_of(wanted.begin(), wanted.end(), taken.begin(), taken.end()) != wanted.end()) {
            std::string text = "accelerator in two started parts: ";
            text.append(part).append(" and ").append(other);
            violation(text);
        }
    }
    const wire::GangRequest &request = attempts_.at(key.attempt).request;
    startedAttempts_[key.attempt.job].insert(key.attempt);
    if (!request.spec.repeatable && startedAttempts_.at(key.attempt.job).size() > 1) {
        violation("a job that is not repeatable started in two attempts: " + part);
    }
    if (!request.spec.repeatable && homeFold_.isAbandoned(request.attempt)) {
        violation("an abandoned attempt started: " + part);
    }
}

void Simulation::checkOutcomeReports()
{
    for (const auto &[key, attempt] : attempts_) {
        bool ran = false;
        bool completed = true;
        for (int member = 0; member < static_cast<int>(attempt.request.members.size()); ++member) {
            const Run *run = partRun(key, member);
            ran = ran || run;
            completed = completed && run && run->completed;
        }
        for (const wire::OutcomeReport &outcome : attempt.outcomes) {
            if (outcome.outcome == wire::Outcome::NotRun && ran) {
                violation("NotRun was reported for an attempt that ran: " + describe(key));
            }
            if (outcome.outcome != wire::Outcome::Completed) {
                continue;
            }
            bool whole = completed && outcome.parts.size() == attempt.request.members.size();
            for (std::size_t member = 0; whole && member < outcome.parts.size(); ++member) {
                whole = outcome.parts[member].output == expectedOutput(partId({key, static_cast<std::int32_t>(member)}));
            }
            if (!whole) {
                violation("Completed was reported for " + describe(key) + " without its complete output");
            }
        }
        if (attempt.reportedNeverStarted && ran) {
            violation("neverStarted was reported for an attempt that ran: " + describe(key));
        }
    }
}

Milliseconds Simulation::incompleteRunLimit(Milliseconds lease)
{
    const CoreOptions options;
    return lease + lease / contactDivisor + options.callTimeout + Milliseconds(100);
}

void Simulation::checkIncompleteRuns()
{
    for (const auto &[key, attempt] : attempts_) {
        const int members = static_cast<int>(attempt.request.members.size());
        const Milliseconds bound = incompleteRunLimit(Milliseconds(attempt.request.leaseMs));
        for (int member = 0; member < members * members; ++member) {
            const Run *run = partRun(key, member / members);
            const Run *other = partRun(key, member % members);
            if (!run || (other && other->completed)) {
                continue;
            }
            const MonotonicTime end = std::min(run->end, now_);
            const MonotonicTime before = std::min(end, other ? other->begin : end);
            const MonotonicTime since = std::max(run->begin, other ? other->end : run->begin);
            const MonotonicTime::duration incomplete = std::max(before - run->begin, other && since < end ? end - since : MonotonicTime::duration());
            if (incomplete > bound) {
                std::ostringstream text;
                text << "part " << partId({key, member / members}) << " ran " << std::chrono::duration_cast<Milliseconds>(incomplete).count()
                     << " ms without part " << member % members;
                violation(text.str());
            }
        }
    }
}

Milliseconds Simulation::longestIncompleteRun() const
{
    MonotonicTime::duration longest {0};
    for (const auto &[key, attempt] : attempts_) {
        const int members = static_cast<int>(attempt.request.members.size());
        for (int member = 0; member < members * members; ++member) {
            const Run *run = partRun(key, member / members);
            const Run *other = partRun(key, member % members);
            if (!run || (other && other->completed)) {
                continue;
            }
            const MonotonicTime end = std::min(run->end, now_);
            const MonotonicTime since = std::max(run->begin, other ? other->end : run->begin);
            longest = std::max({longest, std::min(end, other ? other->begin : end) - run->begin, other ? end - since : MonotonicTime::duration(0)});
        }
    }
    return std::chrono::duration_cast<Milliseconds>(longest);
}

std::size_t Simulation::startedParts() const
{
    std::size_t parts = 0;
    for (const std::unique_ptr<Agent> &agent : agents_) {
        parts += agent->endpoint.runs.size();
    }
    return parts;
}

std::size_t Simulation::outcomes(wire::Outcome::type outcome) const
{
    return std::count_if(attempts_.begin(), attempts_.end(), [outcome](const std::pair<const AttemptKey, HomeAttempt> &attempt) {
        return !attempt.second.outcomes.empty() && attempt.second.outcomes.front().outcome == outcome;
    });
}

const std::vector<std::string> &Simulation::violations()
{
    checkOutcomeReports();
    checkIncompleteRuns();
    return violations_;
}

} // namespace knapweed::gangs::test
