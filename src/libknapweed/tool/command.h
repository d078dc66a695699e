// Declarative table of the tool's commands: arguments, options, help texts and the function that runs each command.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/result.h"
#include "tool/tool.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed
{

struct ToolOption
{
    std::string name; ///< without the leading dashes
    std::string argument; ///< placeholder of the value in the help text; empty for a flag
    std::string help;
};

/// The parsed options and arguments of one command.
struct Invocation
{
    std::vector<std::string> arguments;
    std::map<std::string, std::string> options; ///< values by option name; the value of a flag is empty
    ToolEnvironment &environment;

    bool has(const std::string &option) const;
    /// Returns the option's value, or @p fallback if the option is not given.
    std::string option(const std::string &name, const std::string &fallback = "") const;
};

/// Input that the tool itself rejects, without a refusal from the entry.
struct UsageError
{
    std::string detail; ///< error message of one line
};

struct Command
{
    std::string name; ///< one or two words
    std::vector<std::string> arguments; ///< names of the positional arguments, all of which are required
    std::string summary;
    std::vector<ToolOption> options;
    std::string examples;
    ExitCode (*run)(const Invocation &invocation);
};

const std::vector<Command> &jobCommands();
const std::vector<Command> &configurationCommands();
const std::vector<Command> &exceptionCommands();
const std::vector<Command> &statusCommands();
const std::vector<Command> &explainCommands();

/// Returns the value of an integer option, or @p fallback if the option is not given.
Result<std::int64_t, UsageError> integerOption(const Invocation &invocation, const std::string &name, std::int64_t fallback);

/// Returns the contents of @p fileName, or of standard input if @p fileName is "-".
Result<std::string, UsageError> readInput(const Invocation &invocation, const std::string &fileName);

/// Prints a one-line error message and returns @p code.
ExitCode fail(const Invocation &invocation, ExitCode code, const std::string &detail);

} // namespace knapweed
