// The files that README.md starts from are good.

#include "base/settings.h"
#include "documentation.h"
#include "operators/configuration.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;

TEST_GROUP(Examples) {};

TEST(Examples, settingsAreGood)
{
    for (const char *name : {"docs/examples/entry.json", "docs/examples/agent.json"}) {
        CHECK_TRUE_TEXT(isOk(parseSettings(readSourceFile(name))), name);
    }
}

TEST(Examples, configurationIsGood)
{
    CHECK(isOk(parseConfiguration(readSourceFile("docs/examples/configuration.json"))));
}
