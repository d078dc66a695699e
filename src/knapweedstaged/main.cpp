// The daemon: reads the settings file and runs the role given there.

#include "agent.h"
#include "base/logging.h"
#include "base/settings.h"
#include "cell/settingsfile.h"
#include "cellagenttask.h"
#include "cellentrytask.h"
#include "entry.h"
#include "runtask.h"
#include "termination.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <memory>

namespace
{

constexpr int exitUsage = 2;
constexpr int mappedBytes = 128 * 1024; ///< allocations from this size on are returned to the system when they are freed

template<typename AnySettings>
int checkSettings(const knapweed::Result<AnySettings, knapweed::SettingsError> &read, AnySettings &settings)
{
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
    const bool isEntry = settings.role == knapweed::ProcessRole::Entry;
    knapweed::initializeLogging(isEntry ? "entry" : "agent." + settings.worker.id, settings.logLevel);
    return isEntry ? knapweed::runEntry(settings) : knapweed::runAgent(settings);
}

int runCell(const knapweed::cell::SettingsFile &file)
{
    const knapweed::cell::CellSettings &settings = file.settings;
    knapweed::initializeLogging(settings.name, settings.logLevel, knapweed::LogStream::StandardOutput);
    // A fixed threshold: by default it grows with the sizes that are freed, and bodies would then stay in a fragmented heap.
    mallopt(M_MMAP_THRESHOLD, mappedBytes);
    const bool isEntry = settings.role == knapweed::ProcessRole::Entry;
    const int status = isEntry ? knapweed::runTask<knapweed::CellEntryTask>(file) : knapweed::runTask<knapweed::CellAgentTask>(file);
    // All requests have been answered and all events logged. The teardown of libraries and their threads is not needed and could exceed the platform's grace
    // time, so it is skipped.
    std::fflush(nullptr);
    std::quick_exit(status);
}

} // namespace

int main(int argc, char **argv)
{
    char *settingsFile = nullptr;
    char *checkedFile = nullptr;
    char *cellFile = nullptr;
    char *checkedCellFile = nullptr;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settingsFile, 0, "Run with the settings in FILE; docs/settings.md lists every key", "FILE"},
        {"check-settings", 'c', POPT_ARG_STRING, &checkedFile, 0, "Check FILE, print one line for each error, and exit with status 2 if there is any", "FILE"},
        {"cell", 0, POPT_ARG_STRING, &cellFile, 0, "Run a cell's process on the platform; docs/cell-settings.md lists every key", "FILE"},
        {"check-cell", 0, POPT_ARG_STRING, &checkedCellFile, 0, "Check a cell's settings as --check-settings does", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("knapweedstaged", argc, const_cast<const char **>(argv), options, 0), poptFreeContext);
    const int parsed = poptGetNextOpt(context.get());
    const int files = (settingsFile != nullptr) + (checkedFile != nullptr) + (cellFile != nullptr) + (checkedCellFile != nullptr);
    if (parsed < -1 || files != 1 || poptPeekArg(context.get()) != nullptr) {
        const char *problem = parsed < -1 ? poptStrerror(parsed) : "expected exactly one of --settings, --check-settings, --cell and --check-cell, with a FILE";
        std::fprintf(stderr, "knapweedstaged: %s\n", problem);
        return exitUsage;
    }
    if (settingsFile != nullptr || cellFile != nullptr) {
        // Before the settings are read: signals that arrive while the process starts are handled once it runs.
        knapweed::blockTerminationSignals();
    }
    if (cellFile != nullptr || checkedCellFile != nullptr) {
        knapweed::cell::CellSettings settings;
        const int status = checkSettings(knapweed::cell::readCellSettings(cellFile != nullptr ? cellFile : checkedCellFile), settings);
        return status != 0 || checkedCellFile != nullptr ? status : runCell({cellFile, settings, {}});
    }
    knapweed::Settings settings;
    const int status = checkSettings(knapweed::readSettings(settingsFile != nullptr ? settingsFile : checkedFile), settings);
    if (status != 0 || checkedFile != nullptr) {
        return status;
    }
    return runRole(settings);
}
