// Folds configuration changes and snapshots.

#include "operators/configurationfold.h"

#include "base/invariant.h"

#include <algorithm>

namespace knapweed
{

namespace
{

constexpr std::size_t maxHistoryVersions = 100;
constexpr std::size_t maxPendingChanges = 1000;

ConfigurationVersion emptyVersion()
{
    return {0, "", "", formatConfiguration({})};
}

} // namespace

ConfigurationFold::ConfigurationFold()
    : current_(emptyVersion())
    , logVersion_(0)
{
}

ConfigurationFold::Verdict ConfigurationFold::apply(std::int64_t offset, const Record &record)
{
    if (offset < nextOffset_) {
        return Verdict::Ignored;
    }
    nextOffset_ = offset + 1;
    if (const ConfigurationRecord *change = std::get_if<ConfigurationRecord>(&record)) {
        return applyChange(offset, *change);
    }
    if (const SnapshotRecord *snapshot = std::get_if<SnapshotRecord>(&record)) {
        return applySnapshot(*snapshot);
    }
    return Verdict::Ignored;
}

void ConfigurationFold::skipTo(std::int64_t offset)
{
    if (offset <= nextOffset_) {
        return;
    }
    logVersion_.reset();
    pending_.clear();
    firstOffset_ = offset;
    nextOffset_ = offset;
}

bool ConfigurationFold::adopt(std::int64_t version, const std::string &document, const std::string &author)
{
    if (version <= current_.version) {
        return false;
    }
    Result<Configuration, ConfigurationError> parsed = parseConfiguration(document);
    if (!isOk(parsed)) {
        return false;
    }
    const std::string canonical = formatConfiguration(value(parsed));
    setCurrent({version, "", author, canonical}, std::move(value(parsed)));
    return true;
}

std::int64_t ConfigurationFold::version() const
{
    return current_.version;
}

const ConfigurationVersion &ConfigurationFold::current() const
{
    return current_;
}

const Configuration &ConfigurationFold::configuration() const
{
    return configuration_;
}

bool ConfigurationFold::isLogVersionKnown() const
{
    return logVersion_.has_value();
}

void ConfigurationFold::fillSnapshot(SnapshotRecord &snapshot) const
{
    assertInvariant(isLogVersionKnown(), "a snapshot requires a known version at the folded log offset");
    // Not current_: a version adopted from a peer may come later in the log than throughOffset, and readers evaluate the changes from throughOffset on.
    const ConfigurationVersion folded = history_.empty() ? emptyVersion() : history_.back();
    assertInvariant(folded.version == *logVersion_, "the newest version in the history must be the version at the folded log offset");
    snapshot.configurationVersion = folded.version;
    snapshot.configurationAuthor = folded.author;
    snapshot.configurationDocument = folded.document;
    snapshot.throughOffset = nextOffset_;
}

const std::vector<ConfigurationVersion> &ConfigurationFold::history() const
{
    return history_;
}

const ConfigurationVersion *ConfigurationFold::accepted(const std::string &changeId) const
{
    const std::vector<ConfigurationVersion>::const_iterator found = std::find_if(history_.begin(), history_.end(), [&](const ConfigurationVersion &version) {
        return version.changeId == changeId;
    });
    return found == history_.end() ? nullptr : &*found;
}

ConfigurationFold::Verdict ConfigurationFold::applyChange(std::int64_t offset, const ConfigurationRecord &change)
{
    if (logVersion_) {
        return evaluate(change);
    }
    if (pending_.size() == maxPendingChanges) {
        firstOffset_ = pending_.front().first + 1; // the oldest change now counts as unread, so the next usable snapshot has to cover it
        pending_.pop_front();
    }
    pending_.emplace_back(offset, change);
    return Verdict::Ignored;
}

ConfigurationFold::Verdict ConfigurationFold::applySnapshot(const SnapshotRecord &snapshot)
{
    Result<Configuration, ConfigurationError> parsed = parseConfiguration(snapshot.configurationDocument);
    if (!isOk(parsed) || snapshot.configurationVersion < 0) {
        return Verdict::Invalid;
    }
    const bool isNewer = snapshot.configurationVersion > current_.version;
    const ConfigurationVersion version {snapshot.configurationVersion, "", snapshot.configurationAuthor, formatConfiguration(value(parsed))};
    if (isNewer) {
        setCurrent(version, std::move(value(parsed)));
    }
    const bool isBehindHistory = !history_.empty() && snapshot.configurationVersion < history_.back().version;
    if (!logVersion_ && snapshot.throughOffset >= firstOffset_ && !isBehindHistory) {
        logVersion_ = snapshot.configurationVersion;
        addToHistory(version);
        evaluatePending(snapshot.throughOffset);
        return Verdict::Accepted;
    }
    if (logVersion_ && snapshot.configurationVersion > *logVersion_) {
        logVersion_ = snapshot.configurationVersion;
        addToHistory(version);
        return Verdict::Accepted;
    }
    return isNewer ? Verdict::Accepted : Verdict::Stale;
}

ConfigurationFold::Verdict ConfigurationFold::evaluate(const ConfigurationRecord &change)
{
    if (change.baseVersion != *logVersion_) {
        return Verdict::Stale;
    }
    Result<Configuration, ConfigurationError> parsed = parseConfiguration(change.document);
    if (!isOk(parsed)) {
        return Verdict::Invalid;
    }
    logVersion_ = change.baseVersion + 1;
    const ConfigurationVersion version {*logVersion_, change.changeId, change.author, formatConfiguration(value(parsed))};
    addToHistory(version);
    if (version.version >= current_.version) {
        setCurrent(version, std::move(value(parsed)));
    }
    return Verdict::Accepted;
}

void ConfigurationFold::evaluatePending(std::int64_t fromOffset)
{
    std::deque<std::pair<std::int64_t, ConfigurationRecord>> pending;
    pending.swap(pending_);
    for (const auto &[offset, change] : pending) {
        if (offset >= fromOffset) {
            evaluate(change);
        }
    }
}

void ConfigurationFold::addToHistory(ConfigurationVersion version)
{
    assertInvariant(history_.empty() || history_.back().version <= version.version, "versions folded from the log must not decrease");
    if (!history_.empty() && history_.back().version == version.version) {
        return;
    }
    history_.push_back(std::move(version));
    if (history_.size() > maxHistoryVersions) {
        history_.erase(history_.begin());
    }
}

void ConfigurationFold::setCurrent(ConfigurationVersion version, Configuration configuration)
{
    assertInvariant(version.version >= current_.version, "the configuration version must not decrease");
    current_ = std::move(version);
    configuration_ = std::move(configuration);
    assertInvariant(!logVersion_ || *logVersion_ <= current_.version, "the version folded from the log must not exceed the version in force");
}

} // namespace knapweed
