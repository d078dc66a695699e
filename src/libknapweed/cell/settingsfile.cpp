// Compares the settings file with the settings in force.

#include "cell/settingsfile.h"

namespace knapweed::cell
{

namespace
{

std::string joined(const std::vector<Address> &addresses)
{
    std::string text;
    for (const Address &address : addresses) {
        text += (text.empty() ? "" : ",") + toString(address);
    }
    return text;
}

/// Logs each content only once: the file is read again and again.
void reject(SettingsFile &file, const std::string &text, const std::string &detail)
{
    if (text != file.rejectedText) {
        file.rejectedText = text;
        logEvent(LogLevel::Warning, "settings.rejected", {{"file", file.name}, {"detail", detail}});
    }
}

} // namespace

bool rereadSettings(SettingsFile &file)
{
    const Result<std::string, SettingsError> text = readSettingsText(file.name);
    if (!isOk(text)) {
        reject(file, "unreadable", error(text).lines.front());
        return false;
    }
    const Result<CellSettings, SettingsError> read = parseCellSettings(value(text));
    if (!isOk(read)) {
        reject(file, value(text), error(read).lines.front());
        return false;
    }
    CellSettings changed = file.settings;
    changed.seeds = value(read).seeds;
    if (!(changed == value(read))) {
        reject(file, value(text), "only the seeds can change while the process runs");
    }
    if (changed == file.settings) {
        return false;
    }
    file.settings = changed;
    logEvent(LogLevel::Info, "settings.changed", {{"seeds", joined(changed.seeds)}});
    return true;
}

} // namespace knapweed::cell
