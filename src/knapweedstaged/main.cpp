// The daemon: reads its settings and runs the role that they name.

#include "agent.h"
#include "base/logging.h"
#include "base/settings.h"
#include "entry.h"
#include "termination.h"

#include <popt.h>

#include <cstdio>
#include <memory>

namespace
{

constexpr int exitUsage = 2;

int checkSettings(const char *fileName, knapweed::Settings &settings)
{
    knapweed::Result<knapweed::Settings, knapweed::SettingsError> read = knapweed::readSettings(fileName);
    if (knapweed::isOk(read)) {
        settings = knapweed::value(read);
        return 0;
    }
    for (const std::string &line : knapweed::error(read).lines) {
        std::fprintf(stderr, "%s\n", line.c_str());
    }
    return exitUsage;
}

int runRole(const knapweed::Settings &settings)
{
    knapweed::blockTerminationSignals();
    const bool isEntry = settings.role == knapweed::ProcessRole::Entry;
    knapweed::initializeLogging(isEntry ? "entry" : "agent." + settings.worker.id, settings.logLevel);
    return isEntry ? knapweed::runEntry(settings) : knapweed::runAgent(settings);
}

} // namespace

int main(int argc, char **argv)
{
    char *settingsFile = nullptr;
    char *checkedFile = nullptr;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settingsFile, 0, "Run with the settings in FILE; docs/settings.md lists every key", "FILE"},
        {"check-settings", 'c', POPT_ARG_STRING, &checkedFile, 0, "Check FILE, print one line for each fault, and end with status 2 if there is one", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("knapweedstaged", argc, const_cast<const char **>(argv), options, 0), poptFreeContext);
    const int parsed = poptGetNextOpt(context.get());
    if (parsed < -1 || (settingsFile == nullptr) == (checkedFile == nullptr) || poptPeekArg(context.get()) != nullptr) {
        const char *fault = parsed < -1 ? poptStrerror(parsed) : "give either --settings FILE or --check-settings FILE";
        std::fprintf(stderr, "knapweedstaged: %s\n", fault);
        return exitUsage;
    }
    knapweed::Settings settings;
    const int status = checkSettings(settingsFile != nullptr ? settingsFile : checkedFile, settings);
    if (status != 0 || checkedFile != nullptr) {
        return status;
    }
    return runRole(settings);
}
