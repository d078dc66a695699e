// Builds popt option tables from the commands' option lists, parses arguments with them, and formats the help texts.

#include "tool/commandline.h"

#include <popt.h>

#include <cstdlib>
#include <memory>

namespace knapweed
{

namespace
{

constexpr std::size_t helpColumn = 34;

const char *const exitCodes = R"(
Exit codes:
  0  fine; for a job: it completed, or it waits or runs as asked
  1  refused, or the job failed, was cancelled or did not run
  2  wrong arguments, or input that can't be accepted
  3  no answer from the entry, and nothing was changed
  4  outcome unknown: no answer in time, and the request may have taken effect
  5  stale base version: another change of the configuration came first
)";

const char *const generalExamples = R"(
Examples:
  export KNAPWEED_ENTRY=10.0.0.7:7001
  knapweedctl submit --token-file account.token --kind alteration-sheet --input 'crew 17'
  knapweedctl --token-file operators.token status
  knapweedctl --token-file operators.token config get > configuration.json
  knapweedctl --token-file operators.token config set --base 7 --author rota-a configuration.json

Each command explains itself: knapweedctl submit --help, knapweedctl config set --help.
)";

std::vector<poptOption> poptTable(const std::vector<ToolOption> &options)
{
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < options.size(); ++i) {
        poptOption option {};
        option.longName = options[i].name.c_str();
        option.argInfo = options[i].argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        option.val = static_cast<int>(i) + 1;
        table.push_back(option);
    }
    table.push_back(poptOption {}); // popt requires a zeroed entry as the end of the table
    return table;
}

std::string optionHelp(const ToolOption &option)
{
    std::string line = "  --" + option.name + (option.argument.empty() ? "" : ' ' + option.argument);
    if (line.size() + 1 > helpColumn) {
        line += '\n' + std::string(helpColumn, ' ');
    } else {
        line.resize(helpColumn, ' ');
    }
    return line + option.help + '\n';
}

std::string optionsHelp(const std::string &title, const std::vector<ToolOption> &options)
{
    std::string text;
    for (const ToolOption &option : options) {
        text += optionHelp(option);
    }
    return text.empty() ? text : '\n' + title + ":\n" + text;
}

std::string usage(const Command &command)
{
    std::string text = command.name;
    for (const std::string &argument : command.arguments) {
        text += ' ' + argument;
    }
    return text;
}

struct ContextDeleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

using ContextPointer = std::unique_ptr<poptContext_s, ContextDeleter>;

std::string currentOptionValue(poptContext context)
{
    const std::unique_ptr<char, void (*)(void *)> argument(poptGetOptArg(context), std::free);
    return argument ? argument.get() : "";
}

} // namespace

const std::vector<ToolOption> &commonOptions()
{
    static const std::vector<ToolOption> options {
        {"entry", "IP:PORT", "entry to talk to; default is the variable KNAPWEED_ENTRY"},
        {"token-file", "FILE", "file that holds the bearer token; default is the variable KNAPWEED_TOKEN"},
        {"token", "TOKEN", "the bearer token itself; others on this machine can see it, so prefer a file"},
        {"timeout-ms", "MS", "how long to wait for the entry's answer"},
        {"json", "", "print the entry's answer as one line of JSON"},
        {"help", "", "explain and exit"},
    };
    return options;
}

Result<ParsedOptions, UsageError> parseOptions(const std::vector<std::string> &arguments, const std::vector<ToolOption> &options, bool stopAtFirstArgument)
{
    const std::vector<poptOption> table = poptTable(options);
    std::vector<const char *> argv {"knapweedctl"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const unsigned flags = stopAtFirstArgument ? POPT_CONTEXT_POSIXMEHARDER : 0;
    const ContextPointer context(poptGetContext("knapweedctl", static_cast<int>(argv.size()), argv.data(), table.data(), flags));
    ParsedOptions parsed;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        const ToolOption &found = options[static_cast<std::size_t>(option) - 1];
        if (!parsed.options.emplace(found.name, currentOptionValue(context.get())).second) {
            return UsageError {"--" + found.name + ": found twice, allowed is each option once"};
        }
    }
    if (option < -1) {
        return UsageError {std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(option)};
    }
    while (const char *argument = poptGetArg(context.get())) {
        parsed.arguments.emplace_back(argument);
    }
    return parsed;
}

std::string generalHelp(const std::vector<Command> &commands)
{
    std::string text = "Usage: knapweedctl [options] COMMAND [options] [arguments]\n\nCommands:\n";
    for (const Command &command : commands) {
        std::string line = "  " + usage(command);
        line.resize(std::max(helpColumn, line.size() + 1), ' ');
        text += line + command.summary + '\n';
    }
    return text + optionsHelp("Options of every command", commonOptions()) + exitCodes + generalExamples;
}

std::string commandHelp(const Command &command)
{
    std::string text = "Usage: knapweedctl " + usage(command) + " [options]\n\n" + command.summary + ".\n";
    text += optionsHelp("Options", command.options) + optionsHelp("Options of every command", commonOptions());
    return text + exitCodes + "\nExamples:\n" + command.examples;
}

} // namespace knapweed
