// Helpers of the commands for reading options and input and for reporting errors.

#include "tool/command.h"

#include <charconv>
#include <fstream>
#include <istream>
#include <ostream>
#include <sstream>

namespace knapweed
{

bool Invocation::has(const std::string &option) const
{
    return options.count(option) != 0;
}

std::string Invocation::option(const std::string &name, const std::string &fallback) const
{
    const std::map<std::string, std::string>::const_iterator found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

Result<std::int64_t, UsageError> integerOption(const Invocation &invocation, const std::string &name, std::int64_t fallback)
{
    if (!invocation.has(name)) {
        return fallback;
    }
    const std::string text = invocation.option(name);
    std::int64_t number = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return UsageError {"--" + name + ": found " + text + ", allowed is a whole number"};
    }
    return number;
}

Result<std::string, UsageError> readInput(const Invocation &invocation, const std::string &fileName)
{
    std::ostringstream text;
    if (fileName == "-") {
        text << invocation.environment.input.rdbuf();
        return text.str();
    }
    std::ifstream file(fileName, std::ios::binary);
    if (!file) {
        return UsageError {fileName + ": found no readable file, allowed is the name of a file, or - for standard input"};
    }
    text << file.rdbuf();
    return text.str();
}

ExitCode fail(const Invocation &invocation, ExitCode code, const std::string &detail)
{
    invocation.environment.errors << "knapweedctl: " << detail << '\n';
    return code;
}

} // namespace knapweed
