// One appender and one follower share an event loop on a dedicated thread.

#include "logservice/logclient.h"

#include "base/eventloop.h"
#include "base/httpclient.h"
#include "logservice/logappender.h"
#include "logservice/logfollower.h"

#include <optional>
#include <thread>

namespace knapweed
{

struct LogClient::Private
{
    enum class Part { Append, Follow };

    Private(LogClientOptions clientOptions, LogClientEvents clientEvents);
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void setReachable(Part part, bool isReachable);

    const LogClientOptions options;
    const LogClientEvents events;
    bool areAppendsAnswered = true;
    bool areReadsAnswered = true;
    std::optional<bool> reported; ///< value last passed to the reachability event

    EventLoop loop; ///< declared before its users
    HttpClient client;
    LogAppender appender;
    LogFollower follower;
    std::thread thread; ///< declared last because it uses all other members
};

LogClient::Private::Private(LogClientOptions clientOptions, LogClientEvents clientEvents)
    : options(std::move(clientOptions))
    , events(std::move(clientEvents))
    , client(loop)
    , appender(loop,
          client,
          options,
          [this](bool isReachable) {
              setReachable(Part::Append, isReachable);
          })
    , follower(loop, client, options, events, [this](bool isReachable) {
        setReachable(Part::Follow, isReachable);
    })
{
    loop.post([this] {
        follower.start();
    });
    thread = std::thread([this] {
        loop.run();
    });
}

LogClient::Private::~Private()
{
    loop.stop();
    thread.join();
}

void LogClient::Private::setReachable(Part part, bool isReachable)
{
    (part == Part::Append ? areAppendsAnswered : areReadsAnswered) = isReachable;
    const bool isReachableNow = areAppendsAnswered && areReadsAnswered;
    if (reported != isReachableNow) {
        reported = isReachableNow;
        events.reachability(isReachableNow);
    }
}

LogClient::LogClient(LogClientOptions options, LogClientEvents events)
    : d_(std::make_unique<Private>(std::move(options), std::move(events)))
{
}

LogClient::~LogClient() = default;

bool LogClient::append(const Record &record)
{
    return d_->appender.append(encodeRecord(record));
}

std::size_t LogClient::pendingAppends() const
{
    return d_->appender.pending();
}

} // namespace knapweed
