// Command-line parsing with popt, and the help texts.
#pragma once

#include "tool/command.h"

#include <string>
#include <vector>

namespace knapweed
{

/// Returns the options that all commands accept.
const std::vector<ToolOption> &commonOptions();

struct ParsedOptions
{
    std::map<std::string, std::string> options;
    std::vector<std::string> arguments; ///< positional arguments in their order
};

/// Parses @p arguments. With @p stopAtFirstArgument parsing stops at the first positional argument, and everything after it is returned unparsed.
Result<ParsedOptions, UsageError> parseOptions(const std::vector<std::string> &arguments, const std::vector<ToolOption> &options, bool stopAtFirstArgument);

/// Returns the help text of the tool, with the list of commands.
std::string generalHelp(const std::vector<Command> &commands);

/// Returns the help text of one command.
std::string commandHelp(const Command &command);

} // namespace knapweed
