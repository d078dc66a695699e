// The configuration in force, from the log's records in order and from what peers pass on. Versions only rise.
//
// Each accepted change is a compare-and-set on the version at its place of the log, so all processes that fold the log accept the same changes. A process
// that starts after older records have expired does not know the version at its first place. It then keeps the changes that it reads and judges them once a
// snapshot tells it a version that covers everything before its first place.
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
    std::int64_t version = 0; ///< 0 is the empty configuration that every process starts with
    std::string changeId;
    std::string author;
    std::string document; ///< canonical, as formatConfiguration() writes it
};

class ConfigurationFold
{
public:
    enum class Verdict { Accepted, Stale, Invalid, Ignored };

    /// Starts with version 0, the empty configuration.
    ConfigurationFold();

    /// Applies the next record of the log; a record at or below the newest offset applied is ignored. A change is accepted when it is based on the
    /// version at its place of the log and is well formed; it is ignored for now when that version is not known. A snapshot is accepted when it
    /// raises the version or makes the place known.
    Verdict apply(std::int64_t offset, const Record &record);

    /// The follower has found that the records before @p offset have expired unread. Offsets that are merely passed over, because their records can't be
    /// read, are no gap: every process passes over them.
    void skipTo(std::int64_t offset);

    /// Takes a configuration that a peer offers; does so only when it is newer than the one in force and well formed.
    bool adopt(std::int64_t version, const std::string &document, const std::string &author);

    /// Invariant: the version never falls.
    std::int64_t version() const;
    const ConfigurationVersion &current() const;
    const Configuration &configuration() const;

    /// True when the version at the place of the log that has been folded is known. Only then may this process write a snapshot.
    bool isLogVersionKnown() const;

    /// Puts the configuration at the place folded into @p snapshot and sets the offset that it covers. Contract: isLogVersionKnown().
    void fillSnapshot(SnapshotRecord &snapshot) const;

    /// The newest versions folded from the log, oldest first, at most 100.
    const std::vector<ConfigurationVersion> &history() const;

    /// The folded version that change @p changeId became, or null.
    const ConfigurationVersion *accepted(const std::string &changeId) const;

private:
    Verdict applyChange(std::int64_t offset, const ConfigurationRecord &change);
    Verdict applySnapshot(const SnapshotRecord &snapshot);
    Verdict evaluate(const ConfigurationRecord &change);
    void evaluatePending(std::int64_t fromOffset);
    void addToHistory(ConfigurationVersion version);
    void setCurrent(ConfigurationVersion version, Configuration configuration);

    ConfigurationVersion current_;
    Configuration configuration_; ///< invariant: what current_.document says
    std::optional<std::int64_t> logVersion_; ///< the version at the place folded, when known; invariant: never falls, at most version()
    std::int64_t firstOffset_ = 0; ///< everything from here on has been read; invariant: at most nextOffset_
    std::int64_t nextOffset_ = 0; ///< one past the newest record applied; invariant: never falls
    std::deque<std::pair<std::int64_t, ConfigurationRecord>> pending_; ///< changes not yet judged; invariant: empty when logVersion_ is known
    std::vector<ConfigurationVersion> history_;
};

} // namespace knapweed
