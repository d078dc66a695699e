// Text tables for people: columns as wide as their widest cell.
#pragma once

#include <string>
#include <vector>

namespace knapweed
{

/// One line for each row, the cells of a column aligned on the left and two blanks apart. Control characters are shown as '?'.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace knapweed
