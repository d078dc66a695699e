// Snapshots: when they are due, and that a process started after older records have expired restores the complete state from them.

#include "logservice/snapshot.h"
#include "logtestbed.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::test;

namespace
{

SubmitRecord submit(std::int64_t number)
{
    SubmitRecord record;
    record.job = "j-" + std::to_string(number);
    record.owner = "127.0.0.1:1";
    record.ownerNonce = number;
    record.spec.account = "kothari-fit";
    record.spec.input = "input of " + record.job;
    return record;
}

OutcomeRecord outcome(std::int64_t number)
{
    OutcomeRecord record;
    record.job = "j-" + std::to_string(number);
    record.ownerNonce = number;
    record.outcome = wire::Outcome::Completed;
    return record;
}

MonotonicTime at(Milliseconds time)
{
    return MonotonicTime(Seconds(1000)) + time;
}

SnapshotRecord snapshot(const std::string &id, std::int64_t through, int part = 0, int parts = 1)
{
    SnapshotRecord record;
    record.snapshotId = id;
    record.part = part;
    record.parts = parts;
    record.throughOffset = through;
    return record;
}

const SnapshotPolicy testPolicy {100, Milliseconds(10000), Milliseconds(0), Milliseconds(500)};

/// A process that folds the log, writes snapshots when they are due and keeps only the newest finished jobs.
class SnapshottingProcess
{
public:
    SnapshottingProcess(const LogService &service, std::uint32_t seed)
        : schedule_({200, Milliseconds(10000), Milliseconds(20), Milliseconds(2000)}, seed)
        , id_("process-" + std::to_string(seed))
        , client_(std::make_unique<LogClient>(options(service),
              LogClientEvents {[this](std::int64_t offset, const Record &record) {
                                   apply(offset, record);
                               },
                  [this] {
                      setCaughtUp();
                  },
                  [](bool) {},
                  {},
                  [this](std::int64_t offset) {
                      const std::lock_guard<std::mutex> lock(mutex_);
                      schedule_.setOldestOffset(offset);
                  }}))
    {
    }

    /// Appends a record and waits until it has been read back, so that this reader never falls behind the log.
    void append(const Record &record, std::int64_t through)
    {
        client_->append(record);
        waitUntil([through](const SnapshottingProcess &process) {
            return process.applied_ >= through;
        });
    }

    template<typename Condition>
    bool waitUntil(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, Seconds(30), [this, &condition] {
            return condition(*this);
        });
    }

    // Access only inside waitUntil().
    JobFold jobs_;
    std::int64_t configurationVersion_ = 0;
    std::int64_t applied_ = 0; ///< number of records applied, without snapshots
    int snapshotsRead_ = 0;
    bool isCaughtUp_ = false;

private:
    static LogClientOptions options(const LogService &service)
    {
        LogClientOptions options;
        options.service = service.address();
        options.batchDelay = Milliseconds(0);
        return options;
    }

    void apply(std::int64_t offset, const Record &record)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        jobs_.apply(offset, record);
        jobs_.evictFinished(50);
        schedule_.apply(std::chrono::steady_clock::now(), offset, record);
        if (const SnapshotRecord *restated = std::get_if<SnapshotRecord>(&record)) {
            configurationVersion_ = std::max(configurationVersion_, restated->configurationVersion);
            snapshotsRead_ += restated->part == 0 ? 1 : 0;
        } else if (const ConfigurationRecord *change = std::get_if<ConfigurationRecord>(&record)) {
            configurationVersion_ = change->baseVersion + 1;
            ++applied_;
        } else {
            ++applied_;
        }
        writeWhenDue();
        changed_.notify_all();
    }

    void setCaughtUp()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        jobs_.setCaughtUp();
        isCaughtUp_ = true;
        changed_.notify_all();
    }

    void writeWhenDue()
    {
        if (!isCaughtUp_ || !schedule_.beginIfDue(std::chrono::steady_clock::now())) {
            return;
        }
        SnapshotRecord configuration = snapshot("", jobs_.nextOffset());
        configuration.configurationVersion = configurationVersion_;
        for (const SnapshotRecord &record : makeSnapshot(configuration, jobs_, id_ + '-' + std::to_string(jobs_.nextOffset()), 4096)) {
            client_->append(record);
        }
    }

    std::mutex mutex_; ///< guards the members above and the schedule
    std::condition_variable changed_;
    SnapshotSchedule schedule_;
    std::string id_;
    std::unique_ptr<LogClient> client_; ///< declared last because its callbacks use the other members
};

} // namespace

TEST_GROUP(SnapshotSchedule) {};

TEST(SnapshotSchedule, isDueAfterEnoughRecords)
{
    SnapshotSchedule schedule(testPolicy, 1);
    schedule.apply(at(Milliseconds(0)), 98, submit(1));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(1))));
    schedule.apply(at(Milliseconds(1)), 99, submit(1));
    CHECK(schedule.beginIfDue(at(Milliseconds(1))));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(2))));
}

TEST(SnapshotSchedule, isDueAfterTheIntervalEvenWithoutRecords)
{
    SnapshotSchedule schedule(testPolicy, 1);
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(20000))));
    schedule.apply(at(Milliseconds(20000)), 0, submit(1));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(29999))));
    CHECK(schedule.beginIfDue(at(Milliseconds(30000))));
    schedule.apply(at(Milliseconds(30001)), 1, snapshot("s", 1));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(40000))));
    CHECK(schedule.beginIfDue(at(Milliseconds(40001))));
}

TEST(SnapshotSchedule, isDueWhenTheNewestSnapshotIsInTheOlderHalfOfTheLog)
{
    SnapshotSchedule schedule({1000, Milliseconds(10000), Milliseconds(0), Milliseconds(500)}, 1);
    schedule.apply(at(Milliseconds(0)), 20, snapshot("s", 20));
    schedule.apply(at(Milliseconds(0)), 29, submit(1));
    schedule.setOldestOffset(10);
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(1))));
    schedule.setOldestOffset(11);
    CHECK(schedule.beginIfDue(at(Milliseconds(1))));
}

TEST(SnapshotSchedule, isNotDueWhileAnotherProcessWritesASnapshot)
{
    SnapshotSchedule schedule(testPolicy, 1);
    schedule.apply(at(Milliseconds(0)), 99, submit(1));
    schedule.apply(at(Milliseconds(0)), 100, snapshot("other", 100, 0, 2));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(1))));
    schedule.apply(at(Milliseconds(1)), 101, snapshot("other", 100, 1, 2));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(501))));
}

TEST(SnapshotSchedule, isDueWhenAnotherSnapshotIsNotCompletedInTime)
{
    SnapshotSchedule schedule(testPolicy, 1);
    schedule.apply(at(Milliseconds(0)), 99, submit(1));
    schedule.apply(at(Milliseconds(0)), 100, snapshot("other", 100, 0, 2));
    CHECK_FALSE(schedule.beginIfDue(at(Milliseconds(499))));
    CHECK(schedule.beginIfDue(at(Milliseconds(500))));
}

TEST_GROUP(Snapshot) {};

TEST(Snapshot, omitsTheInputsOfFinishedJobs)
{
    JobFold jobs;
    jobs.apply(0, submit(1));
    jobs.apply(1, submit(2));
    jobs.apply(2, outcome(2));
    JobFold restored;
    for (const SnapshotRecord &record : makeSnapshot(snapshot("", 3), jobs, "s")) {
        restored.apply(500 + record.part, record);
    }
    STRCMP_EQUAL("input of j-1", restored.job("j-1")->submit.spec.input.c_str());
    STRCMP_EQUAL("", restored.job("j-2")->submit.spec.input.c_str());
    CHECK(restored.job("j-2")->outcome->outcome == wire::Outcome::Completed);
}

TEST(Snapshot, restoresTheStateOfANewProcessAfterOlderRecordsHaveExpired)
{
    constexpr std::int64_t retention = 1000;
    constexpr std::int64_t jobCount = 2000;
    constexpr std::int64_t liveEvery = 100; ///< one of this many jobs never finishes
    LogService service({retention, 1000000});
    SnapshottingProcess first(service, 1);
    SnapshottingProcess second(service, 2);
    std::int64_t appended = 0;
    first.append(ConfigurationRecord {0, "c-1", "rota-a", "{}"}, ++appended);
    for (std::int64_t number = 0; number < jobCount; ++number) {
        first.append(submit(number), ++appended);
        if (number % liveEvery != 0) {
            first.append(outcome(number), ++appended);
        }
    }

    SnapshottingProcess restored(service, 3);
    CHECK(restored.waitUntil([](const SnapshottingProcess &process) {
        return process.isCaughtUp_;
    }));
    std::string expected;
    CHECK(first.waitUntil([&expected](const SnapshottingProcess &process) {
        expected = process.jobs_.snapshot();
        return process.jobs_.jobs().size() == jobCount / liveEvery + 50;
    }));
    CHECK(restored.waitUntil([&expected](const SnapshottingProcess &process) {
        return process.configurationVersion_ == 1 && process.jobs_.isComplete() && process.jobs_.snapshot() == expected;
    }));
    CHECK(first.waitUntil([appended](const SnapshottingProcess &process) {
        return process.applied_ == appended && process.snapshotsRead_ >= appended / retention;
    }));
}
