// Validity rules for job records, which depend on their order in the log, and snapshots of the folded state.

#include "logservice/jobfold.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

wire::AttemptId attempt(int number, std::int64_t owner = 1, const std::string &job = "j")
{
    wire::AttemptId id;
    id.job = job;
    id.owner = owner;
    id.number = number;
    return id;
}

SubmitRecord submit(std::int64_t nonce = 1, const std::string &job = "j")
{
    SubmitRecord record;
    record.job = job;
    record.owner = "127.0.0.1:" + std::to_string(nonce);
    record.ownerNonce = nonce;
    return record;
}

StartRecord start(int number, std::int64_t leadNonce = 1, const std::string &job = "j")
{
    return {attempt(number, 1, job), "127.0.0.1:9", leadNonce};
}

AbandonRecord abandon(int number, const std::string &job = "j")
{
    return {attempt(number, 1, job), "127.0.0.1:8"};
}

OutcomeRecord outcome(wire::Outcome::type kind, const std::string &job = "j", std::int64_t nonce = 1)
{
    OutcomeRecord record;
    record.job = job;
    record.ownerNonce = nonce;
    record.outcome = kind;
    return record;
}

JobFold fold(const std::vector<Record> &records, std::int64_t first = 0)
{
    JobFold result;
    for (const Record &record : records) {
        result.apply(first++, record);
    }
    return result;
}

SnapshotRecord snapshotOf(const JobFold &source)
{
    SnapshotRecord record;
    record.snapshotId = "s";
    record.jobs = source.snapshot();
    record.throughOffset = source.nextOffset();
    return record;
}

/// Uses few jobs, attempts and nonces, so that generated records often refer to the same job and attempt.
rc::Gen<Record> anyRecord()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 3), rc::gen::inRange(1, 4), rc::gen::inRange(1, 4)),
        [](const std::tuple<int, int, int, int> &choice) -> Record {
            const auto &[kind, jobNumber, first, second] = choice;
            const std::string job = "j" + std::to_string(jobNumber);
            switch (kind) {
            case 0:
                return submit(first, job);
            case 1:
                return ClaimRecord {job, first, "127.0.0.1:7", second};
            case 2:
                return start(first, second, job);
            case 3:
                return abandon(first, job);
            default:
                return outcome(wire::Outcome::type(first), job, second);
            }
        });
}

} // namespace

TEST_GROUP(JobFold) {};

TEST(JobFold, firstSubmitWins)
{
    const JobFold jobs = fold({submit(1), submit(2)});
    LONGS_EQUAL(1, jobs.job("j")->submit.ownerNonce);
}

TEST(JobFold, claimIsACompareAndSetOnTheOwnerNonce)
{
    const JobFold jobs = fold({submit(1), ClaimRecord {"j", 1, "a", 2}, ClaimRecord {"j", 1, "b", 3}, ClaimRecord {"unknown", 1, "b", 3}});
    LONGS_EQUAL(2, jobs.job("j")->submit.ownerNonce);
    STRCMP_EQUAL("a", jobs.job("j")->submit.owner.c_str());
    POINTERS_EQUAL(nullptr, jobs.job("unknown"));
}

TEST(JobFold, decidesWhichStartIsValid)
{
    struct Case
    {
        const char *name;
        std::vector<Record> records;
        StartRecord queried;
        bool isValid;
    };
    const std::vector<Case> cases = {
        {"alone", {submit(), start(1)}, start(1), true},
        {"without a submit record", {start(1)}, start(1), false},
        {"repeated by a lost acknowledgement", {submit(), start(1), start(1)}, start(1), true},
        {"second lead of the same attempt", {submit(), start(1, 1), start(1, 2)}, start(1, 2), false},
        {"second attempt", {submit(), start(1), start(2)}, start(2), false},
        {"second attempt, the first abandoned too late", {submit(), start(1), abandon(1), start(2)}, start(2), false},
        {"abandoned before", {submit(), abandon(1), start(1)}, start(1), false},
        {"after an abandoned attempt", {submit(), abandon(1), start(1), start(2)}, start(2), true},
        {"abandoned after", {submit(), start(1), abandon(1)}, start(1), true},
        {"after the outcome", {submit(), outcome(wire::Outcome::NotRun), start(1)}, start(1), false},
        {"of the owner before a claim", {submit(), ClaimRecord {"j", 1, "a", 2}, start(1)}, start(1), false},
        {"before a claim", {submit(), start(1), ClaimRecord {"j", 1, "a", 2}}, start(1), true},
        {"before the outcome", {submit(), start(1), outcome(wire::Outcome::Completed)}, start(1), true},
    };
    for (const Case &testCase : cases) {
        CHECK_EQUAL_TEXT(testCase.isValid, fold(testCase.records).isValidStart(testCase.queried), testCase.name);
    }
}

TEST(JobFold, abandonAfterAValidStartIsNotValid)
{
    const JobFold jobs = fold({submit(), start(1), abandon(1), abandon(2)});
    CHECK_FALSE(jobs.isAbandoned(attempt(1)));
    CHECK(jobs.isAbandoned(attempt(2)));
}

TEST(JobFold, firstOutcomeWins)
{
    const JobFold jobs = fold({submit(), outcome(wire::Outcome::Completed), outcome(wire::Outcome::Failed)});
    CHECK(jobs.job("j")->outcome->outcome == wire::Outcome::Completed);
}

TEST(JobFold, ignoresTheOutcomeOfAnEarlierOwner)
{
    const JobFold jobs = fold({submit(), ClaimRecord {"j", 1, "a", 2}, outcome(wire::Outcome::NotRun), outcome(wire::Outcome::Completed, "j", 2)});
    CHECK(jobs.job("j")->outcome->outcome == wire::Outcome::Completed);
}

TEST(JobFold, evictsTheOldestFinishedJobs)
{
    JobFold jobs = fold({submit(1, "a"), submit(1, "b"), submit(1, "c"), outcome(wire::Outcome::Failed, "b"), outcome(wire::Outcome::Failed, "a")});
    jobs.evictFinished(1);
    POINTERS_EQUAL(nullptr, jobs.job("b"));
    CHECK(jobs.job("a") != nullptr);
    CHECK(jobs.job("c") != nullptr);
}

TEST(JobFold, restoresItsStateFromASnapshot)
{
    const JobFold before = fold({submit(1, "a"), abandon(1, "a"), start(2, 5, "a"), submit(2, "b"), outcome(wire::Outcome::Unknown, "b", 2)});
    const JobFold after = fold({snapshotOf(before)}, 1000);
    CHECK(after.isComplete());
    STRCMP_EQUAL(before.snapshot().c_str(), after.snapshot().c_str());
    CHECK(after.isValidStart(start(2, 5, "a")));
}

TEST(JobFold, ignoresAMalformedSnapshot)
{
    SnapshotRecord malformed = snapshotOf(fold({submit()}));
    malformed.jobs = R"({"jobs":[{"submit":7}]})";
    const JobFold jobs = fold({submit(), malformed});
    LONGS_EQUAL(1, static_cast<long>(jobs.jobs().size()));
}

TEST(JobFold, needsEveryPartOfASnapshotAfterAGap)
{
    const JobFold before = fold({submit(1, "a"), submit(1, "b"), start(1, 1, "b")});
    const std::vector<std::string> texts = before.snapshotParts(1);
    LONGS_EQUAL(2, static_cast<long>(texts.size()));
    JobFold after;
    for (int part = 0; part < 2; ++part) {
        SnapshotRecord record = snapshotOf(before);
        record.part = part;
        record.parts = 2;
        record.jobs = texts.at(part);
        CHECK_FALSE(part == 1 && after.isComplete());
        after.apply(50 + part, record);
    }
    CHECK(after.isComplete());
    STRCMP_EQUAL(before.snapshot().c_str(), after.snapshot().c_str());
}

TEST(JobFold, givesTheSameStateWhenAPrefixIsFoldedTwice)
{
    CHECK(rc::check("a prefix folded twice", [] {
        const std::vector<Record> records = *rc::gen::container<std::vector<Record>>(anyRecord());
        const std::size_t prefix = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
        JobFold twice = fold(std::vector<Record>(records.begin(), records.begin() + static_cast<long>(prefix)));
        for (std::size_t offset = 0; offset < records.size(); ++offset) {
            twice.apply(static_cast<std::int64_t>(offset), records.at(offset));
        }
        RC_ASSERT(twice.snapshot() == fold(records).snapshot());
    }));
}

TEST(JobFold, neverReplacesAStartOrAnOutcome)
{
    CHECK(rc::check("start and outcome are never replaced", [] {
        JobFold jobs;
        std::int64_t offset = 0;
        std::map<std::string, std::int64_t> starts;
        std::map<std::string, int> outcomes;
        for (const Record &record : *rc::gen::container<std::vector<Record>>(anyRecord())) {
            jobs.apply(offset++, record);
            for (const auto &[id, job] : jobs.jobs()) {
                if (job.start) {
                    const std::int64_t startKey = std::int64_t(job.start->attempt.number) * 1000 + job.start->leadNonce;
                    RC_ASSERT(starts.emplace(id, startKey).first->second == startKey);
                    RC_ASSERT(!jobs.isAbandoned(job.start->attempt));
                }
                if (job.outcome) {
                    RC_ASSERT(outcomes.emplace(id, job.outcome->outcome).first->second == job.outcome->outcome);
                }
            }
        }
    }));
}

TEST(JobFold, reachesTheSameStateWhenReadingStartsLate)
{
    CHECK(rc::check("snapshot written while records are appended", [] {
        std::vector<Record> records = *rc::gen::container<std::vector<Record>>(anyRecord());
        const std::size_t through = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
        const std::size_t place = *rc::gen::inRange<std::size_t>(through, records.size() + 1);
        const std::size_t oldest = *rc::gen::inRange<std::size_t>(0, through + 1);
        const JobFold writer = fold(std::vector<Record>(records.begin(), records.begin() + static_cast<long>(through)));
        records.insert(records.begin() + static_cast<long>(place), snapshotOf(writer));
        const JobFold whole = fold(records);
        const JobFold late = fold(std::vector<Record>(records.begin() + static_cast<long>(oldest), records.end()), static_cast<std::int64_t>(oldest));
        RC_ASSERT(late.isComplete());
        RC_ASSERT(late.snapshot() == whole.snapshot());
    }));
}
