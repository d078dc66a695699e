// The command-line tool knapweedctl without its main().
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
    Refused = 1, ///< the system refused the request, or the job did not complete
    Usage = 2, ///< invalid arguments or invalid input
    Unreachable = 3, ///< no answer from the entry, and nothing was changed
    Unknown = 4, ///< outcome unknown: no answer, and the request may have taken effect
    StaleBase = 5, ///< another configuration change was accepted first
};

/// The streams and environment variables that the tool uses.
struct ToolEnvironment
{
    std::istream &input;
    std::ostream &output;
    std::ostream &errors;
    std::function<std::string(const std::string &name)> variable; ///< returns an empty string for an unset variable
};

/// Runs one command. @p arguments does not include the program name.
ExitCode runTool(const std::vector<std::string> &arguments, ToolEnvironment &environment);

} // namespace knapweed
