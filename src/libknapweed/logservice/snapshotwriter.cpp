// At most one snapshot is written at a time.

#include "logservice/snapshotwriter.h"

#include "base/logging.h"

#include <utility>

namespace knapweed
{

namespace
{

void write(LogClient &client, const SnapshotRecord &configuration, const JobFold &jobs, const std::string &id)
{
    const std::vector<SnapshotRecord> records = makeSnapshot(configuration, jobs, id);
    for (const SnapshotRecord &record : records) {
        if (!client.append(record)) {
            logEvent(LogLevel::Warning, "snapshot.given_up", {{"snapshot", id}});
            return;
        }
    }
    logEvent(LogLevel::Info,
        "snapshot.written",
        {{"snapshot", id}, {"through_offset", std::to_string(configuration.throughOffset)}, {"records", std::to_string(records.size())}});
}

} // namespace

SnapshotWriter::SnapshotWriter(LogClient &client, std::int64_t process, SnapshotPolicy policy)
    : client_(client)
    , process_(std::to_string(process))
    , schedule_(policy, static_cast<std::uint32_t>(process))
{
}

SnapshotWriter::~SnapshotWriter()
{
    if (writing_.valid()) {
        writing_.wait();
    }
}

SnapshotSchedule &SnapshotWriter::schedule()
{
    return schedule_;
}

void SnapshotWriter::tick(MonotonicTime now, const JobFold &jobs, const std::function<void(SnapshotRecord &)> &fillConfiguration)
{
    const bool isBusy = writing_.valid() && writing_.wait_for(Milliseconds(0)) != std::future_status::ready;
    if (isBusy || !schedule_.beginIfDue(now)) {
        return;
    }
    SnapshotRecord configuration;
    fillConfiguration(configuration);
    const std::string id = process_ + '-' + std::to_string(configuration.throughOffset);
    writing_ = std::async(std::launch::async, [this, configuration, jobs, id] {
        write(client_, configuration, jobs, id);
    });
}

} // namespace knapweed
