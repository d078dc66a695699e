// The commands of the tool as data: their options, their help and what runs them.
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
    std::string name; ///< without the dashes
    std::string argument; ///< what stands for the value in the help; empty for a flag
    std::string help;
};

/// A command's options and arguments as given.
struct Invocation
{
    std::vector<std::string> arguments;
    std::map<std::string, std::string> options; ///< flags have an empty value
    ToolEnvironment &environment;

    bool has(const std::string &option) const;
    /// The option's value, or @p fallback when it isn't given.
    std::string option(const std::string &name, const std::string &fallback = "") const;
};

/// Input that the tool itself refuses; one line.
struct UsageError
{
    std::string detail;
};

struct Command
{
    std::string name; ///< one or two words
    std::vector<std::string> arguments; ///< names of the arguments, all required
    std::string summary;
    std::vector<ToolOption> options;
    std::string examples;
    ExitCode (*run)(const Invocation &invocation);
};

const std::vector<Command> &jobCommands();
const std::vector<Command> &configurationCommands();
const std::vector<Command> &exceptionCommands();
const std::vector<Command> &statusCommands();

/// A whole number option, or @p fallback when it isn't given.
Result<std::int64_t, UsageError> integerOption(const Invocation &invocation, const std::string &name, std::int64_t fallback);

/// The text of @p fileName, or of the input when it is "-".
Result<std::string, UsageError> readInput(const Invocation &invocation, const std::string &fileName);

/// Prints one line of error and returns @p code.
ExitCode fail(const Invocation &invocation, ExitCode code, const std::string &detail);

} // namespace knapweed
