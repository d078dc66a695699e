// Parsing of the tool's command line with popt, and its help.
#pragma once

#include "tool/command.h"

#include <string>
#include <vector>

namespace knapweed
{

/// The options that every command takes.
const std::vector<ToolOption> &commonOptions();

struct ParsedOptions
{
    std::map<std::string, std::string> options;
    std::vector<std::string> arguments; ///< what is no option, in order
};

/// Parses @p arguments. With @p stopAtFirstArgument everything from the first argument on is left as it is.
Result<ParsedOptions, UsageError> parseOptions(const std::vector<std::string> &arguments, const std::vector<ToolOption> &options, bool stopAtFirstArgument);

/// The help of the whole tool.
std::string generalHelp(const std::vector<Command> &commands);

/// The help of one command.
std::string commandHelp(const Command &command);

} // namespace knapweed
