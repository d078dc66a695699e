// Reads the project's pages for the tests that compare them with the code.
#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace knapweed
{

/// The text of a file named relative to the root of the sources, which is the working directory of every test. Empty when it can't be read.
inline std::string readSourceFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The contents of the fenced blocks of @p language in a page, in order.
inline std::vector<std::string> fencedBlocks(const std::string &page, const std::string &language)
{
    const std::string fence = "```" + language + "\n";
    std::vector<std::string> blocks;
    std::size_t start = page.find(fence);
    while (start != std::string::npos) {
        start += fence.size();
        const std::size_t end = page.find("```", start);
        blocks.push_back(page.substr(start, end - start));
        start = page.find(fence, end + 3);
    }
    return blocks;
}

/// The cells of each row of the page's tables, without blanks around them.
inline std::vector<std::vector<std::string>> tableRows(const std::string &page)
{
    std::vector<std::vector<std::string>> rows;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty() || line.front() != '|') {
            continue;
        }
        std::vector<std::string> cells;
        std::istringstream row(line.substr(1));
        for (std::string cell; std::getline(row, cell, '|');) {
            const std::size_t first = cell.find_first_not_of(' ');
            cells.push_back(first == std::string::npos ? "" : cell.substr(first, cell.find_last_not_of(' ') - first + 1));
        }
        rows.push_back(cells);
    }
    return rows;
}

} // namespace knapweed
