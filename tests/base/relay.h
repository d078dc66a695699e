// A TCP relay for tests of failures: it forwards between whoever connects to it and one target, and can cut, freeze, delay or count.
#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <list>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace knapweed
{

class Relay
{
public:
    static constexpr std::size_t noLimit = ~std::size_t(0);

    explicit Relay(Address target = {})
        : target_(std::move(target))
        , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in name = socketName({"127.0.0.1", 0});
        socklen_t length = sizeof(name);
        const bool isBound = ::bind(listener_, reinterpret_cast<const sockaddr *>(&name), length) == 0 && ::listen(listener_, SOMAXCONN) == 0;
        if (isBound && getsockname(listener_, reinterpret_cast<sockaddr *>(&name), &length) == 0) {
            address_ = {"127.0.0.1", ntohs(name.sin_port)};
        }
        thread_ = std::thread([this]() {
            run();
        });
    }

    ~Relay()
    {
        isStopped_ = true;
        thread_.join();
        for (Pair &pair : pairs_) {
            closePair(pair);
        }
        ::close(listener_);
    }

    const Address &address() const
    {
        return address_;
    }

    void setTarget(const Address &target)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        target_ = target;
    }

    int accepted() const
    {
        return accepted_;
    }

    /// Bytes carried both ways so far, without the headers of TCP and IP.
    std::size_t carried() const
    {
        return carried_;
    }

    /// Closes all open connections; new ones work.
    void cut()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (Pair &pair : pairs_) {
            closePair(pair);
        }
        pairs_.clear();
    }

    /// The open connections go silent for good, without an error; new ones work.
    void freeze()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (Pair &pair : pairs_) {
            pair.isFrozen = true;
        }
    }

    /// Each chunk waits for this long before it goes on.
    void setDelay(Milliseconds delay)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        delay_ = delay;
    }

    /// Connections made from now on are cut once they have carried this many bytes towards the target, or back.
    void cutAfter(std::size_t bytesToTarget, std::size_t bytesBack)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        limits_ = {bytesToTarget, bytesBack};
    }

private:
    struct Chunk
    {
        MonotonicTime due;
        std::string bytes;
    };

    struct Pair
    {
        std::array<int, 2> sockets {-1, -1}; ///< the caller's and the target's
        std::array<std::deque<Chunk>, 2> chunks; ///< read from sockets[i], to be written to the other
        std::array<std::size_t, 2> carried {0, 0};
        std::array<std::size_t, 2> limits {noLimit, noLimit};
        bool isFrozen = false;
    };

    static sockaddr_in socketName(const Address &address)
    {
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
        return name;
    }

    static void closePair(Pair &pair)
    {
        for (const int descriptor : pair.sockets) {
            if (descriptor >= 0) {
                ::close(descriptor);
            }
        }
    }

    void run()
    {
        while (!isStopped_) {
            std::vector<pollfd> polled {{listener_, POLLIN, 0}};
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                for (const Pair &pair : pairs_) {
                    const short events = pair.isFrozen ? 0 : POLLIN;
                    polled.push_back({pair.isFrozen ? -1 : pair.sockets[0], events, 0});
                    polled.push_back({pair.isFrozen ? -1 : pair.sockets[1], events, 0});
                }
            }
            poll(polled.data(), polled.size(), 1);
            const std::lock_guard<std::mutex> lock(mutex_);
            if (polled.front().revents != 0) {
                acceptOne();
            }
            pairs_.remove_if([this](Pair &pair) {
                const bool isOver = !pair.isFrozen && !forward(pair);
                if (isOver) {
                    closePair(pair);
                }
                return isOver;
            });
        }
    }

    void acceptOne()
    {
        const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const sockaddr_in name = socketName(target_);
        const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ++accepted_;
        Pair pair;
        pair.sockets = {caller, target};
        pair.limits = limits_;
        if (connect(target, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
            closePair(pair);
            return;
        }
        const int on = 1;
        setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        pairs_.push_back(std::move(pair));
    }

    /// Returns false when the pair is over.
    bool forward(Pair &pair)
    {
        const MonotonicTime now = std::chrono::steady_clock::now();
        for (std::size_t side = 0; side < 2; ++side) {
            std::array<char, 65536> buffer;
            const ssize_t length = recv(pair.sockets[side], buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (length == 0 || (length < 0 && errno != EAGAIN)) {
                return false;
            }
            if (length > 0) {
                pair.chunks[side].push_back({now + delay_, std::string(buffer.data(), static_cast<std::size_t>(length))});
            }
            if (!drain(pair, side, now)) {
                return false;
            }
        }
        return true;
    }

    bool drain(Pair &pair, std::size_t side, MonotonicTime now)
    {
        while (!pair.chunks[side].empty() && pair.chunks[side].front().due <= now) {
            std::string &bytes = pair.chunks[side].front().bytes;
            const std::size_t allowed = std::min(bytes.size(), pair.limits[side] - pair.carried[side]);
            const ssize_t sent = send(pair.sockets[1 - side], bytes.data(), allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent < 0) {
                return errno == EAGAIN;
            }
            pair.carried[side] += static_cast<std::size_t>(sent);
            carried_ += static_cast<std::size_t>(sent);
            if (pair.carried[side] >= pair.limits[side]) {
                return false;
            }
            bytes.erase(0, static_cast<std::size_t>(sent));
            if (bytes.empty()) {
                pair.chunks[side].pop_front();
            }
        }
        return true;
    }

    std::mutex mutex_; ///< guards all below but the listener
    Address target_;
    std::list<Pair> pairs_;
    Milliseconds delay_ {0};
    std::array<std::size_t, 2> limits_ {noLimit, noLimit};
    int listener_;
    Address address_;
    std::atomic<int> accepted_ {0};
    std::atomic<std::size_t> carried_ {0};
    std::atomic<bool> isStopped_ {false};
    std::thread thread_;
};

} // namespace knapweed
