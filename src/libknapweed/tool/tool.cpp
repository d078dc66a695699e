// Finds the command that the arguments name and runs it.

#include "tool/tool.h"

#include "tool/commandline.h"

#include <algorithm>
#include <ostream>

namespace knapweed
{

namespace
{

const std::vector<Command> &allCommands()
{
    static const std::vector<Command> commands = [] {
        std::vector<Command> all;
        for (const std::vector<Command> *part : {&jobCommands(), &configurationCommands(), &exceptionCommands(), &statusCommands()}) {
            all.insert(all.end(), part->begin(), part->end());
        }
        return all;
    }();
    return commands;
}

/// The command that the first one or two words name, or null.
const Command *findCommand(const std::vector<std::string> &words)
{
    for (std::size_t count = std::min<std::size_t>(2, words.size()); count > 0; --count) {
        const std::string name = count == 1 ? words[0] : words[0] + ' ' + words[1];
        const std::vector<Command>::const_iterator found = std::find_if(allCommands().begin(), allCommands().end(), [&](const Command &command) {
            return command.name == name;
        });
        if (found != allCommands().end()) {
            return &*found;
        }
    }
    return nullptr;
}

ExitCode usageFault(const ToolEnvironment &environment, const std::string &detail, const std::string &helpOf)
{
    environment.errors << "knapweedctl: " << detail << "; see knapweedctl " << helpOf << "--help\n";
    return ExitCode::Usage;
}

ExitCode runCommand(const Command &command, const std::vector<std::string> &words, const ParsedOptions &common, ToolEnvironment &environment)
{
    const std::string helpOf = command.name + ' ';
    std::vector<ToolOption> options = command.options;
    options.insert(options.end(), commonOptions().begin(), commonOptions().end());
    const std::ptrdiff_t nameWords = 1 + std::count(command.name.begin(), command.name.end(), ' ');
    const Result<ParsedOptions, UsageError> parsed = parseOptions({words.begin() + nameWords, words.end()}, options, false);
    if (!isOk(parsed)) {
        return usageFault(environment, error(parsed).detail, helpOf);
    }
    Invocation invocation {value(parsed).arguments, value(parsed).options, environment};
    invocation.options.insert(common.options.begin(), common.options.end());
    if (invocation.has("help")) {
        environment.output << commandHelp(command);
        return ExitCode::Success;
    }
    if (invocation.arguments.size() != command.arguments.size()) {
        const std::string found = std::to_string(invocation.arguments.size()) + " arguments";
        return usageFault(environment, command.name + ": found " + found + ", allowed is " + std::to_string(command.arguments.size()), helpOf);
    }
    return command.run(invocation);
}

} // namespace

ExitCode runTool(const std::vector<std::string> &arguments, ToolEnvironment &environment)
{
    const Result<ParsedOptions, UsageError> common = parseOptions(arguments, commonOptions(), true);
    if (!isOk(common)) {
        return usageFault(environment, error(common).detail, "");
    }
    const std::vector<std::string> &words = value(common).arguments;
    if (words.empty() && value(common).options.count("help") != 0) {
        environment.output << generalHelp(allCommands());
        return ExitCode::Success;
    }
    if (words.empty()) {
        return usageFault(environment, "found no command", "");
    }
    const Command *command = findCommand(words);
    if (command == nullptr) {
        return usageFault(environment, "found the unknown command " + words[0], "");
    }
    return runCommand(*command, words, value(common), environment);
}

} // namespace knapweed
