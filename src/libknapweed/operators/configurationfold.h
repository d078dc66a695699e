// Folds the log's records, in order, and configurations offered by peers into the configuration in force. Versions never decrease.
//
// Each accepted change is a compare-and-set on the version at its log offset, so all processes that fold the log accept the same changes. A process that
// starts after older records have expired can't determine the version at the first offset that it reads. It keeps the changes as pending and evaluates them
// once a snapshot supplies a version that covers all earlier records.
#pragma once

#include "logservice/records.h"
#include "operators/configuration.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweed
{

struct ConfigurationVersion
{
    std::int64_t version = 0; ///< 0 is the initial, empty configuration
    std::string changeId;
    std::string author;
    std::string document; ///< canonical JSON text from formatConfiguration()
};

class ConfigurationFold
{
public:
    enum class Verdict { Accepted, Stale, Invalid, Ignored };

    /// Starts with version 0, the empty configuration.
    ConfigurationFold();

    /// Applies the next record of the log; a record at or below the newest offset applied is ignored. A change is accepted when it is well formed and
    /// based on the version at its log offset. While that version is unknown, the change is kept as pending and Ignored is returned. A snapshot is
    /// accepted when it raises the version or determines the version at the current log offset.
    Verdict apply(std::int64_t offset, const Record &record);

    /// Records that the log follower lost all records before @p offset because they expired unread. Don't call this for records that can't be parsed:
    /// every process skips those, so they leave no gap.
    void skipTo(std::int64_t offset);

    /// Adopts a configuration offered by a peer if it is well formed and newer than the one in force. Returns whether it was adopted.
    bool adopt(std::int64_t version, const std::string &document, const std::string &author);

    /// Invariant: never decreases.
    std::int64_t version() const;
    const ConfigurationVersion &current() const;
    const Configuration &configuration() const;

    /// True when the version at the folded log offset is known. This process may write a snapshot only then.
    bool isLogVersionKnown() const;

    /// Stores the configuration at the folded log offset in @p snapshot, with the offset that it covers. Precondition: isLogVersionKnown().
    void fillSnapshot(SnapshotRecord &snapshot) const;

    /// The newest versions folded from the log, oldest first, at most 100.
    const std::vector<ConfigurationVersion> &history() const;

    /// Returns the version created by change @p changeId, or null when it is not in the history.
    const ConfigurationVersion *accepted(const std::string &changeId) const;

private:
    Verdict applyChange(std::int64_t offset, const ConfigurationRecord &change);
    Verdict applySnapshot(const SnapshotRecord &snapshot);
    Verdict evaluate(const ConfigurationRecord &change);
    void evaluatePending(std::int64_t fromOffset);
    void addToHistory(ConfigurationVersion version);
    void setCurrent(ConfigurationVersion version, Configuration configuration);

    ConfigurationVersion current_;
    Configuration configuration_; ///< invariant: the parsed current_.document
    std::optional<std::int64_t> logVersion_; ///< version at the folded log offset, if known; invariant: never decreases, at most version()
    std::int64_t firstOffset_ = 0; ///< the log has no gap from this offset to nextOffset_; invariant: at most nextOffset_
    std::int64_t nextOffset_ = 0; ///< one past the newest record applied; invariant: never decreases
    std::deque<std::pair<std::int64_t, ConfigurationRecord>> pending_; ///< changes to evaluate; invariant: empty when logVersion_ is known
    std::vector<ConfigurationVersion> history_;
};

} // namespace knapweed
