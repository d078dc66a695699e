// Follows the operators' configuration on the store, and keeps the newest document to pass on to peers.
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
    /// @p changed runs for each newer version, from whichever side it came.
    ConfigurationFeed(EventLoop &loop, platform::StoreClient &store, std::function<void(const cell::CellConfiguration &)> changed);

    void start();

    /// Takes a document from the store or a peer; older versions and unreadable ones change nothing.
    void offer(const std::string &document, const char *source);

    const cell::CellConfiguration &configuration() const;
    const std::string &document() const;

private:
    void readNewest();
    void follow();
    void callLater(Milliseconds delay, void (ConfigurationFeed::*step)());

    EventLoop &loop_;
    platform::StoreClient &store_;
    std::function<void(const cell::CellConfiguration &)> changed_;
    cell::CellConfiguration configuration_; ///< its version never falls
    std::string document_;
    std::int64_t nextOffset_ = 0; ///< offset to read from
    bool isReachable_ = true;
};

} // namespace knapweed
