// The pages hang together: each relative link leads to a file of the project.

#include "documentation.h"

#include <filesystem>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

/// The targets of the Markdown links in @p page that are no addresses of the net.
std::vector<std::string> relativeLinks(const std::string &page)
{
    std::vector<std::string> links;
    for (std::size_t start = page.find("]("); start != std::string::npos; start = page.find("](", start + 1)) {
        const std::string target = page.substr(start + 2, page.find(')', start) - start - 2);
        if (target.find("://") == std::string::npos) {
            links.push_back(target.substr(0, target.find('#')));
        }
    }
    return links;
}

} // namespace

TEST_GROUP(Pages) {};

TEST(Pages, linkToFilesThatAreThere)
{
    std::size_t links = 0;
    for (const std::filesystem::path name : {"README.md",
             "DEVELOPERS.md",
             "docs/settings.md",
             "docs/GLOSSARY.md",
             "docs/interfaces/callers.md",
             "docs/interfaces/operators.md",
             "docs/operators/README.md",
             "docs/operators/changes.md",
             "docs/operators/outages.md",
             "docs/operators/alarms.md"}) {
        const std::string page = readSourceFile(name.string());
        CHECK_TRUE_TEXT(!page.empty(), name.c_str());
        for (const std::string &link : relativeLinks(page)) {
            const std::string target = (name.parent_path() / link).lexically_normal().string();
            CHECK_TRUE_TEXT(!readSourceFile(target).empty(), (name.string() + ": " + link).c_str());
            ++links;
        }
    }
    CHECK(links > 10);
}
