// Converts UTC times to and from text.

#include "operators/timestamp.h"

#include <array>
#include <cstdio>

namespace knapweed
{

namespace
{

constexpr std::size_t timestampLength = 20; // "2026-12-31T00:00:00Z"

} // namespace

std::optional<WallTime> parseTimestamp(const std::string &text)
{
    unsigned year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    if (text.size() != timestampLength || text.back() != 'Z') {
        return std::nullopt;
    }
    const int read = std::sscanf(text.c_str(), "%4u-%2u-%2uT%2u:%2u:%2uZ", &year, &month, &day, &hour, &minute, &second);
    const std::chrono::year_month_day date(std::chrono::year(static_cast<int>(year)), std::chrono::month(month), std::chrono::day(day));
    if (read != 6 || !date.ok() || year < 2000 || year > 2199 || hour > 23 || minute > 59 || second > 59) {
        return std::nullopt;
    }
    const WallTime time = std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) + Seconds(second);
    if (formatTimestamp(time) != text) {
        return std::nullopt; // sscanf() accepts signs and blanks in place of digits
    }
    return time;
}

std::string formatTimestamp(WallTime time)
{
    const std::chrono::sys_days midnight = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(midnight);
    const std::chrono::hh_mm_ss<Seconds> clock(std::chrono::floor<Seconds>(time - midnight));
    std::array<char, 64> text {};
    std::snprintf(text.data(),
        text.size(),
        "%04d-%02u-%02uT%02d:%02d:%02dZ",
        static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()),
        static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()),
        static_cast<int>(clock.seconds().count()));
    return text.data();
}

} // namespace knapweed
