// The places of an HttpClient's pool of connections: which are busy, which have an idle connection to which target, and which have none.
#pragma once

#include "base/address.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

struct lws_vhost;

namespace knapweed
{

/// One place in the pool: at most one exchange at a time and at most one connection.
struct HttpClientSlot
{
    lws_vhost *vhost = nullptr;
    Address target; ///< of its connections
    bool isBusy = false; ///< an exchange has it, or isClosing
    bool isClosing = false; ///< its idle connection is being closed
    int handles = 0; ///< that libwebsockets has not destroyed yet; at most one of them is in use
};

class HttpClientSlots
{
public:
    /// A place for an exchange with @p target: one with an idle connection to it unless @p needsNewConnection is set, else one without a connection. A new
    /// place has no vhost yet.
    std::size_t take(const Address &target, bool needsNewConnection);

    /// Gives back a place after its exchange.
    void put(std::size_t place);

    /// A handle of the place has been destroyed. Without a handle, any target may have the place.
    void dropHandle(std::size_t place);

    /// Takes the places with idle connections to @p target out of use until their handles are destroyed. Returns whether there are any.
    bool beginClosing(const Address &target);

    HttpClientSlot &operator[](std::size_t place);
    const std::vector<HttpClientSlot> &all() const;

private:
    std::vector<HttpClientSlot> slots_;
    /// Invariant: each slot is busy, or in one of these: by target while it has a handle, else in empty_.
    std::unordered_map<std::string, std::vector<std::size_t>> free_;
    std::vector<std::size_t> empty_;
};

} // namespace knapweed
