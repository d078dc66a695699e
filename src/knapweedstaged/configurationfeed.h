// Follows the operators' records in the store: keeps the newest configuration and which failure domains are evacuated. Both are also exchanged with peers.
#pragma once

#include "base/eventloop.h"
#include "cell/configuration.h"
#include "cell/configurationreads.h"
#include "cell/evacuations.h"
#include "storeclient.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweed
{

class ConfigurationFeed
{
public:
    /// @p applyTime is the time within which a stored change has to be in force; @p seed differs between the entries of a site. @p changed runs for each newer
    /// version, whether it came from the store or from a peer.
    ConfigurationFeed(EventLoop &loop,
        platform::StoreClient &store,
        Milliseconds applyTime,
        std::uint32_t seed,
        std::function<void(const cell::CellConfiguration &)> changed);

    ~ConfigurationFeed();
    ConfigurationFeed(const ConfigurationFeed &) = delete;
    ConfigurationFeed &operator=(const ConfigurationFeed &) = delete;

    /// Also follows the requests to evacuate failure domains. Call this before start(). @p changed runs for each change of their state.
    void serveEvacuations(std::function<void(const cell::Evacuations &)> changed);

    void start();

    /// Applies a document from the store or a peer. Documents that cannot be read or whose version is not newer are ignored.
    void offer(const std::string &document, const char *source);

    /// Merges a state from another process into the one that is known.
    void offerEvacuations(const cell::Evacuations &evacuations, const char *source);
    const cell::Evacuations &evacuations() const;

    /// Whether the store has lately answered that it holds nothing newer than what this process has read.
    bool isConfirmed() const;

    const cell::CellConfiguration &configuration() const;
    const std::string &document() const;

private:
    /// A list of the newest records that is being read, page by page.
    struct NewestList
    {
        std::uint64_t number = 0;
        BootTime sentAt;
        std::int64_t position = 0; ///< everything stored below it is older than what the list says of evacuations
        std::int64_t end = -1; ///< named by the first page; -1 before that
        cell::Evacuations evacuations; ///< without a position
    };

    void proceed();
    void proceedAfter(Milliseconds delay);
    void readNewest(const NewestList &list, const std::string &afterKey);
    void handlePage(NewestList list, const platform::NewestPage &page);
    void applyList(NewestList list);
    void applyPage(const platform::ReadPage &page, std::int64_t from);
    void changeEvacuations(const cell::Evacuations &later, const char *source);
    void follow(const cell::ConfigurationRead &read);
    static bool isPastEnd(std::int64_t from, const platform::ReadPage &page);
    void finish(std::uint64_t number, bool isAnswered, bool hasGap);
    void apply(const std::vector<platform::KeyedRecord> &records);
    Milliseconds unansweredTime() const;
    void noteAnswer(bool isAnswered, const char *call, const std::string &detail);

    EventLoop &loop_;
    platform::StoreClient &store_;
    cell::ConfigurationReadTimes times_;
    cell::ConfigurationReads reads_;
    TimerId timer_ = 0; ///< for the next read
    std::function<void(const cell::CellConfiguration &)> changed_;
    cell::CellConfiguration configuration_; ///< its version never decreases
    std::string document_;
    std::function<void(const cell::Evacuations &)> evacuationsChanged_; ///< unset: evacuations are not served
    cell::Evacuations evacuations_;
    std::int64_t nextOffset_ = 0; ///< offset of the next record to read; at most the end of the log, as far as an answer has shown it
    MonotonicTime answeredAt_; ///< when the store last answered a read
    BootTime confirmedAt_; ///< what was stored by then has been read; includes pauses of the machine
    bool isReachable_ = true; ///< whether it answered the last one
};

} // namespace knapweed
