// Decides when an entry reads the configuration from the store. A read waits at the store for the next change, so it also shows whether the connection
// works: an answer is due when the wait is over. A read without one is not waited for any longer; the next one goes out on a new connection beside it.
// Performs no I/O.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace knapweed::cell
{

/// Each is a share of the time within which a stored change has to be in force. docs/decisions/configuration-reads.md adds them up.
struct ConfigurationReadTimes
{
    Milliseconds wait {0}; ///< longest time that the store may hold a read
    Milliseconds answer {0}; ///< in addition to the wait; a read without an answer by then is overdue. Also the delay after a failed read
    Milliseconds giveUp {0}; ///< in addition to the wait; a slow store's answer is still used until then
    Milliseconds confirmed {0}; ///< how long an answer that nothing newer is stored may be relied on; the rest of the time is for asking another process
};

ConfigurationReadTimes configurationReadTimes(Milliseconds applyTime);

struct ConfigurationRead
{
    std::uint64_t number = 0;
    bool isNewest = false; ///< reads the newest record on a new connection; otherwise waits for records after the position reached
    Milliseconds wait {0};
};

class ConfigurationReads
{
public:
    /// @p seed spreads the waits, so that the entries of a site don't all read at the same moments.
    ConfigurationReads(ConfigurationReadTimes times, std::uint32_t seed);

    /// The read to send at @p now, or nothing while an answer may still come in time.
    std::optional<ConfigurationRead> begin(MonotonicTime now);

    /// When to call begin() again, if no answer or failure comes before.
    MonotonicTime nextBegin() const;

    /// @p hasGap: records may be missing between the position reached and those that the store holds, so the newest one has to be read, by a read that
    /// begins after this answer.
    void answered(std::uint64_t number, bool hasGap, MonotonicTime now);
    void failed(std::uint64_t number, MonotonicTime now);
    /// A page of the list has come, and the next one has been asked for; it becomes due anew.
    void continued(std::uint64_t number, MonotonicTime now);

private:
    ConfigurationReadTimes times_;
    std::minstd_rand random_;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t awaited_ = 0; ///< number of the read that may still be answered in time; 0: none. Reads before it are overdue or have failed
    MonotonicTime nextBegin_; ///< while a read is awaited, when it becomes overdue
    bool readsNewest_ = true; ///< the next read
};

} // namespace knapweed::cell
