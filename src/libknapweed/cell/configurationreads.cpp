// Times of the reads, as shares of the time within which a change has to be in force.

#include "cell/configurationreads.h"

namespace knapweed::cell
{

namespace
{

constexpr int waitPercent = 30;
constexpr int answerPercent = 15;
constexpr int giveUpPercent = 60;
constexpr int confirmedPercent = 60;

} // namespace

ConfigurationReadTimes configurationReadTimes(Milliseconds applyTime)
{
    return {applyTime * waitPercent / 100, applyTime * answerPercent / 100, applyTime * giveUpPercent / 100, applyTime * confirmedPercent / 100};
}

ConfigurationReads::ConfigurationReads(ConfigurationReadTimes times, std::uint32_t seed)
    : times_(times)
    , random_(seed)
{
}

std::optional<ConfigurationRead> ConfigurationReads::begin(MonotonicTime now)
{
    if (now < nextBegin_) {
        return std::nullopt;
    }
    if (awaited_ != 0) {
        readsNewest_ = true;
    }
    ConfigurationRead read;
    read.number = ++lastNumber_;
    read.isNewest = readsNewest_;
    if (!read.isNewest) {
        const std::int64_t longest = times_.wait.count();
        const std::int64_t shortest = longest / 2;
        read.wait = Milliseconds(shortest + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest - shortest + 1)));
    }
    awaited_ = read.number;
    nextBegin_ = now + read.wait + times_.answer;
    return read;
}

MonotonicTime ConfigurationReads::nextBegin() const
{
    return nextBegin_;
}

void ConfigurationReads::answered(std::uint64_t number, bool hasGap, MonotonicTime now)
{
    if (hasGap) {
        // A list that is on its way was requested before the gap was known, and may not show what fell into it.
        awaited_ = 0;
        readsNewest_ = true;
        nextBegin_ = now;
    } else if (number == awaited_) {
        awaited_ = 0;
        readsNewest_ = false;
        nextBegin_ = now;
    }
}

void ConfigurationReads::failed(std::uint64_t number, MonotonicTime now)
{
    if (number == awaited_) {
        awaited_ = 0;
        readsNewest_ = true;
        nextBegin_ = now + times_.answer;
    }
}

void ConfigurationReads::continued(std::uint64_t number, MonotonicTime now)
{
    if (number == awaited_) {
        nextBegin_ = now + times_.answer;
    }
}

} // namespace knapweed::cell
