// Rendering of the system's status.

#include "tool/statustext.h"

#include "operators/timestamp.h"
#include "tool/entryclient.h"
#include "tool/table.h"

#include <nlohmann/json.hpp>

#include <map>

namespace knapweed
{

namespace
{

struct Column
{
    const char *title;
    const char *key;
};

const std::vector<Column> accountColumns {
    {"ACCOUNT", "account"},
    {"GUARANTEED", "guaranteed"},
    {"IN USE", "in_use"},
    {"BORROWED", "borrowed"},
    {"RECLAIMABLE", "reclaimable"},
    {"WAITING", "waiting"},
};

const std::vector<Column> workerColumns {
    {"WORKER", "worker"},
    {"STATE", "state"},
    {"RACK", "rack"},
    {"DOMAIN", "failure_domain"},
    {"ACCELERATORS", "accelerators"},
    {"IN USE", "in_use"},
    {"DETAIL", "detail"},
};

std::vector<std::vector<std::string>> rowsOf(const nlohmann::json &objects, const std::vector<Column> &columns)
{
    std::vector<std::vector<std::string>> rows(1);
    for (const Column &column : columns) {
        rows.front().emplace_back(column.title);
    }
    for (const nlohmann::json &object : objects) {
        std::vector<std::string> &row = rows.emplace_back();
        for (const Column &column : columns) {
            row.push_back(textMember(object, column.key));
        }
    }
    return rows;
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

nlohmann::json objectMember(const nlohmann::json &object, const std::string &key)
{
    const nlohmann::json::const_iterator found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_object() ? *found : nlohmann::json::object();
}

std::string workersLine(const nlohmann::json &workers)
{
    std::map<std::string, int> counts;
    for (const nlohmann::json &worker : workers) {
        ++counts[orDash(textMember(worker, "state"))];
    }
    std::string line = "Workers: " + std::to_string(workers.size());
    for (const auto &[state, count] : counts) {
        line += ", " + std::to_string(count) + ' ' + state;
    }
    return line + '\n';
}

std::string configurationLines(const nlohmann::json &configuration)
{
    const std::string version = orDash(textMember(configuration, "version"));
    const nlohmann::json processes = arrayMember(configuration, "processes");
    std::size_t current = 0;
    std::string others;
    for (const nlohmann::json &process : processes) {
        if (textMember(process, "version") == version) {
            ++current;
        } else {
            others += "  " + orDash(textMember(process, "role")) + ' ' + orDash(textMember(process, "process")) + " has version "
                + orDash(textMember(process, "version")) + '\n';
        }
    }
    std::string text = "Configuration: version " + version + " by " + orDash(textMember(configuration, "author"));
    text += ", in force at " + std::to_string(current) + " of " + std::to_string(processes.size()) + " processes\n";
    return text + others;
}

std::string logLine(const nlohmann::json &log)
{
    std::string line = "Log service: " + orDash(textMember(log, "state")) + ", offset " + orDash(textMember(log, "offset"));
    line += ", silent for " + orDash(textMember(log, "lag_ms")) + " ms, " + orDash(textMember(log, "pending_appends")) + " appends waiting\n";
    return line;
}

std::string exceptionLines(const nlohmann::json &exceptions, WallTime now)
{
    if (exceptions.empty()) {
        return "Exceptions: none\n";
    }
    std::vector<std::vector<std::string>> rows {{"EXCEPTION", "SUBJECT", "SETTING", "VALUE", "AUTHOR", "AGE", "EXPIRES", "REASON"}};
    for (const nlohmann::json &exception : exceptions) {
        const std::optional<WallTime> added = parseTimestamp(textMember(exception, "added_at"));
        rows.push_back({textMember(exception, "id"),
            textMember(exception, "subject"),
            textMember(exception, "setting"),
            textMember(exception, "value"),
            textMember(exception, "author"),
            added ? formatAge(std::chrono::duration_cast<Seconds>(now - *added)) : "",
            textMember(exception, "expires_at"),
            textMember(exception, "reason")});
    }
    return formatTable(rows);
}

} // namespace

std::string formatStatus(const nlohmann::json &status, WallTime now)
{
    const nlohmann::json workers = arrayMember(status, "workers");
    std::string text = "Entry " + orDash(textMember(status, "entry")) + ", planner " + orDash(textMember(status, "planner")) + '\n';
    text += configurationLines(objectMember(status, "configuration"));
    text += logLine(objectMember(status, "log"));
    text += workersLine(workers);
    text += '\n' + formatTable(rowsOf(arrayMember(status, "accounts"), accountColumns));
    text += '\n' + formatTable(rowsOf(workers, workerColumns));
    text += '\n' + exceptionLines(arrayMember(status, "exceptions"), now);
    return text;
}

std::string formatAge(Seconds age)
{
    constexpr std::int64_t minute = 60;
    constexpr std::int64_t hour = 60 * minute;
    constexpr std::int64_t day = 24 * hour;
    const std::int64_t seconds = std::max<std::int64_t>(0, age.count());
    if (seconds < 2 * minute) {
        return std::to_string(seconds) + 's';
    }
    if (seconds < 2 * hour) {
        return std::to_string(seconds / minute) + 'm';
    }
    return seconds < 2 * day ? std::to_string(seconds / hour) + 'h' : std::to_string(seconds / day) + 'd';
}

} // namespace knapweed
