// knapweedctl, the command-line tool of callers and operators.

#include "base/logging.h"
#include "tool/tool.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    knapweed::initializeLogging("knapweedctl", knapweed::LogLevel::Error);
    knapweed::ToolEnvironment environment {std::cin, std::cout, std::cerr, [](const std::string &name) {
                                               const char *value = std::getenv(name.c_str());
                                               return std::string(value == nullptr ? "" : value);
                                           }};
    return static_cast<int>(knapweed::runTool({argv + 1, argv + argc}, environment));
}
