// The entry's use of the log: follows it, folds its records, and writes snapshots before the records expire.

#include "entrytask.h"

#include "base/logging.h"

#include <chrono>
#include <utility>

namespace knapweed
{

namespace
{

constexpr std::size_t maximumFinishedJobs = 20000;

MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void EntryTask::startLog()
{
    LogClientOptions logOptions;
    logOptions.service = settings_.logService;
    logOptions.stream = settings_.logStream;
    LogClientEvents logEvents;
    logEvents.record = [this](std::int64_t offset, const Record &record) {
        loop_.post([this, offset, record]() {
            recordFolded(offset, record);
        });
    };
    logEvents.caughtUp = [this]() {
        loop_.post([this]() {
            isCaughtUp_ = true;
            jobFold_.setCaughtUp();
            logEvent(LogLevel::Info, "log.caught_up", {{"next_offset", std::to_string(jobFold_.nextOffset())}});
        });
    };
    logEvents.reachability = [this](bool isReachable) {
        loop_.post([this, isReachable]() {
            isLogReachable_ = isReachable;
            jobRegistry_->setLogReachable(isReachable);
            logEvent(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "log.reachable" : "log.unreachable");
        });
    };
    logEvents.skipped = [this](std::int64_t offset) {
        loop_.post([this, offset]() {
            configurationFold_.skipTo(offset);
        });
    };
    logEvents.oldestOffsetChanged = [this](std::int64_t offset) {
        loop_.post([this, offset]() {
            snapshots_->schedule().setOldestOffset(offset);
        });
    };
    log_ = std::make_unique<LogClient>(std::move(logOptions), std::move(logEvents));
    snapshots_ = std::make_unique<SnapshotWriter>(*log_, nonce_);
}

void EntryTask::recordFolded(std::int64_t offset, const Record &record)
{
    const std::int64_t versionBefore = configurationFold_.version();
    jobFold_.apply(offset, record);
    jobFold_.evictFinished(maximumFinishedJobs);
    const ConfigurationFold::Verdict verdict = configurationFold_.apply(offset, record);
    snapshots_->schedule().apply(monotonicNow(), offset, record);
    if (configurationFold_.version() != versionBefore) {
        configurationChanged();
    }
    if (const ConfigurationRecord *change = std::get_if<ConfigurationRecord>(&record)) {
        operatorApi_->applied(*change, verdict);
    }
    jobRegistry_->recordApplied(monotonicNow(), record);
    processPending();
}

void EntryTask::writeSnapshotWhenDue()
{
    if (isCaughtUp_ && !isDraining_ && jobFold_.isComplete() && configurationFold_.isPlaceKnown()) {
        snapshots_->tick(monotonicNow(), jobFold_, [this](SnapshotRecord &record) {
            configurationFold_.fillSnapshot(record);
        });
    }
}

} // namespace knapweed
