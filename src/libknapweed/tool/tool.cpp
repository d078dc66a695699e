// Looks up the command in the arguments and runs it.

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
        for (const std::vector<Command> *group : {&jobCommands(), &configurationCommands(), &exceptionCommands(), &statusCommands(), &explainCommands()}) {
            all.insert(all.end(), group->begin(), group->end());
        }
        return all;
    }();
    return commands;
}

/// Returns the command whose name matches the first one or two words, or null if there is none.
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

ExitCode reportUsageError(const ToolEnvironment &environment, const std::string &detail, const std::string &helpCommand)
{
    environment.errors << "knapweedctl: " << detail << "; see knapweedctl " << helpCommand << "--help\n";
    return ExitCode::Usage;
}

ExitCode runCommand(const Command &command, const std::vector<std::string> &words, const ParsedOptions &common, ToolEnvironment &environment)
{
    const std::string helpCommand = command.name + ' ';
    std::vector<ToolOption> options = command.options;
    options.insert(options.end(), commonOptions().begin(), commonOptions().end());
    const std::ptrdiff_t nameWords = 1 + std::count(command.name.begin(), command.name.end(), ' ');
    const Result<ParsedOptions, UsageError> parsed = parseOptions({words.begin() + nameWords, words.end()}, options, false);
    if (!isOk(parsed)) {
        return reportUsageError(environment, error(parsed).detail, helpCommand);
    }
    Invocation invocation {value(parsed).arguments, value(parsed).options, environment};
    invocation.options.insert(common.options.begin(), common.options.end());
    if (invocation.has("help")) {
        environment.output << commandHelp(command);
        return ExitCode::Success;
    }
    if (invocation.arguments.size() != command.arguments.size()) {
        const std::string found = std::to_string(invocation.arguments.size()) + " arguments";
        return reportUsageError(environment, command.name + ": found " + found + ", allowed is " + std::to_string(command.arguments.size()), helpCommand);
    }
    return command.run(invocation);
}

} // namespace

ExitCode runTool(const std::vector<std::string> &arguments, ToolEnvironment &environment)
{
    const Result<ParsedOptions, UsageError> common = parseOptions(arguments, commonOptions(), true);
    if (!isOk(common)) {
        return reportUsageError(environment, error(common).detail, "");
    }
    const std::vector<std::string> &words = value(common).arguments;
    if (words.empty() && value(common).options.count("help") != 0) {
        environment.output << generalHelp(allCommands());
        return ExitCode::Success;
    }
    if (words.empty()) {
        return reportUsageError(environment, "found no command", "");
    }
    const Command *command = findCommand(words);
    if (command == nullptr) {
        return reportUsageError(environment, "found the unknown command " + words[0], "");
    }
    return runCommand(*command, words, value(common), environment);
}

} // namespace knapweed
