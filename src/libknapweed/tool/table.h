// Text tables whose columns are as wide as their widest cell.
#pragma once

#include <string>
#include <vector>

namespace knapweed
{

/// Formats each row as one line. Cells are left-aligned, columns are separated by two spaces, empty cells are shown as "-",
/// and control characters are shown as '?'.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace knapweed
