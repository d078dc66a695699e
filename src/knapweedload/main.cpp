// knapweedload: submits jobs to entries and checks every answer. Exits with 1 when an answer was not whole or not its own job's, with 2 when the
// arguments are wrong.

#include "load.h"
#include "report.h"

#include <popt.h>

#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace knapweed;

namespace
{

constexpr int exitWrongAnswer = 1;
constexpr int exitUsage = 2;

/// The arguments as popt writes them; strings are popt's own.
struct Arguments
{
    char *entries = nullptr;
    char *token = nullptr;
    char *mix = nullptr;
    int rate = 0;
    int connections = 8;
    long long count = 0;
    int durationMs = 10000;
    int deadlineMs = 60000;
    int notRepeatablePercent = 0;
    long long seed = 1;
    int isJson = 0;
};

int usageError(const std::string &detail)
{
    std::fprintf(stderr, "knapweedload: %s\n", detail.c_str());
    return exitUsage;
}

std::vector<Address> parseEntries(const std::string &text)
{
    std::vector<Address> entries;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        entries.push_back(parseAddress(part));
    }
    return entries;
}

/// An empty text when the arguments are in their ranges.
std::string rangeFault(const Arguments &arguments, const std::vector<Address> &entries)
{
    for (const Address &entry : entries) {
        if (entry.port == 0) {
            return "--entry takes IP:PORT, several separated by commas";
        }
    }
    if (entries.empty()) {
        return "--entry is missing";
    }
    if (arguments.rate < 0 || arguments.rate > 1000000 || arguments.connections < 1 || arguments.count < 0 || arguments.durationMs < 1
        || arguments.deadlineMs < 1) {
        return "--rate takes 0 to 1000000, --connections, --duration-ms and --deadline-ms at least 1, --count at least 0";
    }
    const bool isPercent = arguments.notRepeatablePercent >= 0 && arguments.notRepeatablePercent <= 100;
    return isPercent ? "" : "--not-repeatable takes 0 to 100";
}

int runLoad(const LoadOptions &options, bool isJson)
{
    EventLoop loop;
    Load load(loop, options, [&loop]() {
        loop.stop();
    });
    loop.post([&load]() {
        load.start();
    });
    loop.run();
    const std::string report = isJson ? jsonReport(load.figures()) : textReport(load.figures());
    std::fputs(report.c_str(), stdout);
    return load.figures().wrong == 0 ? 0 : exitWrongAnswer;
}

} // namespace

int main(int argc, const char **argv)
{
    Arguments arguments;
    const poptOption options[] = {{"entry", 'e', POPT_ARG_STRING, &arguments.entries, 0, "entries to submit to, in turn", "IP:PORT,..."},
        {"token", 't', POPT_ARG_STRING, &arguments.token, 0, "token of the client account", "TOKEN"},
        {"mix", 'm', POPT_ARG_STRING, &arguments.mix, 0, "kinds of jobs and their weights", "KIND=WEIGHT[:TASKSxACCELERATORS[:RUN_MS]],..."},
        {"rate", 'r', POPT_ARG_INT, &arguments.rate, 0, "jobs a second; 0 for a closed loop", "N"},
        {"connections", 'c', POPT_ARG_INT, &arguments.connections, 0, "callers of the closed loop", "N"},
        {"count", 'n', POPT_ARG_LONGLONG, &arguments.count, 0, "jobs to submit; 0 for no limit", "N"},
        {"duration-ms", 'd', POPT_ARG_INT, &arguments.durationMs, 0, "submit for this long", "MS"},
        {"deadline-ms", 0, POPT_ARG_INT, &arguments.deadlineMs, 0, "deadline of each job", "MS"},
        {"not-repeatable", 0, POPT_ARG_INT, &arguments.notRepeatablePercent, 0, "jobs marked as not repeatable", "PERCENT"},
        {"seed", 's', POPT_ARG_LONGLONG, &arguments.seed, 0, "seed of the jobs and their keys", "N"},
        {"json", 'j', POPT_ARG_NONE, &arguments.isJson, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    const int next = poptGetNextOpt(context.get());
    if (next < -1) {
        return usageError(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(next));
    }
    if (poptPeekArg(context.get()) != nullptr) {
        return usageError(std::string("unexpected argument ") + poptPeekArg(context.get()));
    }
    LoadOptions load;
    load.entries = parseEntries(arguments.entries == nullptr ? "" : arguments.entries);
    const std::string fault = rangeFault(arguments, load.entries);
    if (!fault.empty()) {
        return usageError(fault);
    }
    const Result<std::vector<JobKind>, JobMixError> mix = parseJobMix(arguments.mix == nullptr ? "alteration-sheet=1" : arguments.mix);
    if (!isOk(mix)) {
        return usageError(error(mix).detail);
    }
    load.mix = value(mix);
    load.token = arguments.token == nullptr ? "" : arguments.token;
    load.rate = arguments.rate;
    load.connections = arguments.connections;
    load.count = static_cast<std::uint64_t>(arguments.count);
    load.duration = Milliseconds(arguments.durationMs);
    load.jobs.deadline = Milliseconds(arguments.deadlineMs);
    load.jobs.notRepeatablePercent = arguments.notRepeatablePercent;
    load.jobs.seed = static_cast<std::uint64_t>(arguments.seed);
    return runLoad(load, arguments.isJson != 0);
}
