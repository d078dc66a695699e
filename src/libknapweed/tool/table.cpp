// Formatting of text tables.

#include "tool/table.h"

#include <algorithm>
#include <cstddef>

namespace knapweed
{

namespace
{

std::string printable(std::string cell)
{
    std::replace_if(
        cell.begin(),
        cell.end(),
        [](unsigned char c) {
            return c < 0x20 || c == 0x7f;
        },
        '?');
    return cell.empty() ? "-" : cell;
}

/// Returns the number of UTF-8 characters as an estimate of the display width.
std::size_t widthOf(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](unsigned char c) {
        return (c & 0xc0) != 0x80;
    }));
}

} // namespace

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string> &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], widthOf(printable(row[i])));
        }
    }
    std::string text;
    for (const std::vector<std::string> &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::string cell = printable(row[i]);
            const bool isLast = i + 1 == row.size();
            text += cell + (isLast ? "\n" : std::string(widths[i] - widthOf(cell) + 2, ' '));
        }
    }
    return text;
}

} // namespace knapweed
