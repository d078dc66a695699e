// Follows the operators' configuration in the store and keeps the newest document, which is also sent to peers.
#pragma once

#include "base/eventloop.h"
#include "cell/configuration.h"
#include "storeclient.h"

#include <functional>
#include <string>

namespace knapweed
{

class ConfigurationFeed
{
public:
    /// @p changed runs for each newer version, whether it came from the store or from a peer.
    ConfigurationFeed(EventLoop &loop, platform::StoreClient &store, std::function<void(const cell::CellConfiguration &)> changed);

    void start();

    /// Applies a document from the store or a peer. Documents that cannot be read or whose version is not newer are ignored.
    void offer(const std::string &document, const char *source);

    const cell::CellConfiguration &configuration() const;
    const std::string &document() const;

private:
    void readNewest();
    void follow();
    Milliseconds unansweredTime() const;
    void noteAnswer(bool isAnswered, const char *call, const std::string &detail);
    void callLater(Milliseconds delay, void (ConfigurationFeed::*step)());

    EventLoop &loop_;
    platform::StoreClient &store_;
    std::function<void(const cell::CellConfiguration &)> changed_;
    cell::CellConfiguration configuration_; ///< its version never decreases
    std::string document_;
    std::int64_t nextOffset_ = 0; ///< offset of the next record to read
    MonotonicTime answeredAt_; ///< when the store last answered a read
    bool isReachable_ = true; ///< whether it answered the last one
};

} // namespace knapweed
