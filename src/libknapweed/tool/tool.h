// The command-line tool knapweedctl, apart from its main(): arguments and streams in, an exit code out.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace knapweed
{

/// Exit codes for scripts; the help text lists them.
enum class ExitCode {
    Success = 0,
    Refused = 1, ///< refused by the system, or the job did not complete
    Usage = 2, ///< wrong arguments, or input that the system can't accept
    Unreachable = 3, ///< no answer, and nothing was changed
    Unknown = 4, ///< no answer, and the request may have taken effect
    StaleBase = 5, ///< another change of the configuration came first
};

/// What the tool uses of its surroundings.
struct ToolEnvironment
{
    std::istream &input;
    std::ostream &output;
    std::ostream &errors;
    std::function<std::string(const std::string &name)> variable; ///< an environment variable, or empty
};

/// Runs one command. @p arguments are those after the program's name.
ExitCode runTool(const std::vector<std::string> &arguments, ToolEnvironment &environment);

} // namespace knapweed
