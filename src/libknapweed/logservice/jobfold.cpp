// Validity rules for job records, which depend on their order in the log, and the reading and writing of snapshots.

#include "logservice/jobfold.h"

#include "logservice/recordjson.h"

#include <algorithm>
#include <cassert>
#include <exception>

namespace knapweed
{

namespace
{

using nlohmann::json;

using AttemptKey = std::pair<std::int64_t, std::int32_t>;

AttemptKey attemptKey(const wire::AttemptId &attempt)
{
    return {attempt.owner, attempt.number};
}

json jobToJson(const FoldedJob &job)
{
    json value = {{"submit", recordjson::toJson(job.submit)}};
    if (job.outcome) {
        // A finished job is never run again. Its digest suffices to distinguish a retry from a different request.
        value["submit"]["spec"]["input"] = "";
    }
    if (job.start) {
        value["start"] = recordjson::toJson(*job.start);
    }
    for (const AttemptKey &attempt : job.abandoned) {
        value["abandoned"].push_back({attempt.first, attempt.second});
    }
    if (job.outcome) {
        value["outcome"] = recordjson::toJson(*job.outcome);
        value["outcome_offset"] = job.outcomeOffset;
    }
    return value;
}

FoldedJob readJob(const json &value)
{
    FoldedJob job;
    job.submit = recordjson::readSubmit(value.at("submit"));
    if (value.contains("start")) {
        job.start = recordjson::readStart(value.at("start"));
    }
    if (value.contains("abandoned")) {
        for (const json &attempt : value.at("abandoned")) {
            job.abandoned.emplace(attempt.at(0).get<std::int64_t>(), attempt.at(1).get<std::int32_t>());
        }
    }
    if (value.contains("outcome")) {
        job.outcome = recordjson::readOutcome(value.at("outcome"));
        value.at("outcome_offset").get_to(job.outcomeOffset);
    }
    return job;
}

/// Empty if the text is not a valid snapshot, because a malformed record from another process must not make this one fail.
std::optional<std::map<std::string, FoldedJob>> readJobs(const std::string &text)
{
    try {
        std::map<std::string, FoldedJob> jobs;
        const json value = json::parse(text);
        for (const json &entry : value.at("jobs")) {
            FoldedJob job = readJob(entry);
            const std::string id = job.submit.job;
            jobs.insert_or_assign(id, std::move(job));
        }
        return jobs;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

void JobFold::apply(std::int64_t offset, const Record &record)
{
    if (offset < nextOffset_) {
        return;
    }
    if (offset > nextOffset_) {
        isComplete_ = false;
        recordsSinceGap_.clear();
        partialSnapshots_.clear();
    }
    nextOffset_ = offset + 1;
    if (const SnapshotRecord *snapshot = std::get_if<SnapshotRecord>(&record)) {
        applySnapshot(*snapshot);
        return;
    }
    if (std::holds_alternative<ConfigurationRecord>(record)) {
        return;
    }
    if (!isComplete_) {
        recordsSinceGap_.emplace_back(offset, record);
    }
    applyJobRecord(offset, record);
}

bool JobFold::isComplete() const
{
    return isComplete_;
}

void JobFold::setCaughtUp()
{
    isComplete_ = true;
    recordsSinceGap_.clear();
    partialSnapshots_.clear();
}

std::int64_t JobFold::nextOffset() const
{
    return nextOffset_;
}

void JobFold::applyJobRecord(std::int64_t offset, const Record &record)
{
    if (const SubmitRecord *submit = std::get_if<SubmitRecord>(&record)) {
        applySubmit(*submit);
    } else if (const ClaimRecord *claim = std::get_if<ClaimRecord>(&record)) {
        applyClaim(*claim);
    } else if (const StartRecord *start = std::get_if<StartRecord>(&record)) {
        applyStart(*start);
    } else if (const AbandonRecord *abandon = std::get_if<AbandonRecord>(&record)) {
        applyAbandon(*abandon);
    } else if (const OutcomeRecord *outcome = std::get_if<OutcomeRecord>(&record)) {
        applyOutcome(offset, *outcome);
    }
}

void JobFold::applySubmit(const SubmitRecord &record)
{
    jobs_.try_emplace(record.job, FoldedJob {record, std::nullopt, {}, std::nullopt, 0});
}

void JobFold::applyClaim(const ClaimRecord &record)
{
    const auto found = jobs_.find(record.job);
    if (found == jobs_.end() || found->second.submit.ownerNonce != record.previousNonce) {
        return;
    }
    found->second.submit.owner = record.owner;
    found->second.submit.ownerNonce = record.ownerNonce;
}

void JobFold::applyStart(const StartRecord &record)
{
    const auto found = jobs_.find(record.attempt.job);
    if (found == jobs_.end()) {
        return;
    }
    FoldedJob &job = found->second;
    if (job.start || job.outcome || record.attempt.owner != job.submit.ownerNonce || job.abandoned.count(attemptKey(record.attempt)) != 0) {
        return;
    }
    job.start = record;
    checkInvariants(job);
}

void JobFold::applyAbandon(const AbandonRecord &record)
{
    const auto found = jobs_.find(record.attempt.job);
    if (found == jobs_.end()) {
        return;
    }
    FoldedJob &job = found->second;
    if (job.start && attemptKey(job.start->attempt) == attemptKey(record.attempt)) {
        return;
    }
    job.abandoned.insert(attemptKey(record.attempt));
    checkInvariants(job);
}

void JobFold::applyOutcome(std::int64_t offset, const OutcomeRecord &record)
{
    const auto found = jobs_.find(record.job);
    if (found == jobs_.end() || found->second.outcome || found->second.submit.ownerNonce != record.ownerNonce) {
        return;
    }
    found->second.outcome = record;
    found->second.outcomeOffset = offset;
    finished_.emplace(offset, record.job);
}

void JobFold::applySnapshot(const SnapshotRecord &record)
{
    std::optional<std::map<std::string, FoldedJob>> jobs = readJobs(record.jobs);
    if (!jobs || record.part < 0 || record.part >= record.parts) {
        return;
    }
    if (isComplete_) {
        addMissingJobs(*jobs);
        return;
    }
    std::map<std::int32_t, std::map<std::string, FoldedJob>> &parts = partialSnapshots_[record.snapshotId];
    parts.insert_or_assign(record.part, std::move(*jobs));
    if (parts.size() < static_cast<std::size_t>(record.parts)) {
        return;
    }
    std::map<std::string, FoldedJob> allJobs;
    for (auto &[part, partJobs] : parts) {
        allJobs.merge(partJobs);
    }
    restore(allJobs, record.throughOffset);
}

void JobFold::restore(const std::map<std::string, FoldedJob> &jobs, std::int64_t throughOffset)
{
    const std::vector<OffsetRecord> newer = std::move(recordsSinceGap_);
    jobs_.clear();
    finished_.clear();
    setCaughtUp();
    addMissingJobs(jobs);
    for (const auto &[offset, record] : newer) {
        if (offset >= throughOffset) {
            applyJobRecord(offset, record);
        }
    }
}

void JobFold::addMissingJobs(const std::map<std::string, FoldedJob> &jobs)
{
    for (const auto &[id, job] : jobs) {
        checkInvariants(job);
        if (jobs_.emplace(id, job).second && job.outcome) {
            finished_.emplace(job.outcomeOffset, id);
        }
    }
}

void JobFold::checkInvariants(const FoldedJob &job) const
{
    assert(!job.start || job.abandoned.count(attemptKey(job.start->attempt)) == 0);
}

const FoldedJob *JobFold::job(const std::string &id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const std::map<std::string, FoldedJob> &JobFold::jobs() const
{
    return jobs_;
}

bool JobFold::isValidStart(const StartRecord &start) const
{
    const FoldedJob *known = job(start.attempt.job);
    if (known == nullptr || !known->start) {
        return false;
    }
    const StartRecord &valid = *known->start;
    return valid.attempt == start.attempt && valid.lead == start.lead && valid.leadNonce == start.leadNonce;
}

bool JobFold::isAbandoned(const wire::AttemptId &attempt) const
{
    const FoldedJob *known = job(attempt.job);
    return known != nullptr && known->abandoned.count(attemptKey(attempt)) != 0;
}

void JobFold::evictFinished(std::size_t keepNewest)
{
    while (finished_.size() > keepNewest) {
        jobs_.erase(finished_.begin()->second);
        finished_.erase(finished_.begin());
    }
}

std::string JobFold::snapshot() const
{
    return snapshotParts(std::string().max_size()).front();
}

std::vector<std::string> JobFold::snapshotParts(std::size_t partBytes) const
{
    const std::string head = R"({"jobs":[)";
    const std::string tail = "]}";
    std::vector<std::string> parts;
    std::string part = head;
    for (const auto &[id, job] : jobs_) {
        const std::string text = recordjson::dump(jobToJson(job));
        const bool isFirst = part.size() == head.size();
        if (!isFirst && part.size() + text.size() + tail.size() > partBytes) {
            parts.push_back(part + tail);
            part = head;
        } else if (!isFirst) {
            part += ',';
        }
        part += text;
    }
    parts.push_back(part + tail);
    return parts;
}

} // namespace knapweed
