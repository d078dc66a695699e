// Formats the answer of GET /v1/status as text.

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
    {"BORROWED", "beyond_guarantee"},
    {"FREE GUARANTEE", "unused_guarantee"},
    {"RECLAIMABLE", "reclaimable"},
    {"UNFINISHED", "unfinished_jobs"},
};

const std::vector<Column> workerColumns {
    {"WORKER", "worker"},
    {"STATE", "state"},
    {"RACK", "rack"},
    {"DOMAIN", "failure_domain"},
    {"ACCELERATORS", "accelerators"},
    {"IN USE", "accelerators_in_use"},
    {"STARTED", "started_tasks"},
    {"FAILED", "failed_tasks"},
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

bool isTrue(const nlohmann::json &object, const std::string &key)
{
    return textMember(object, key) == "true";
}

/// Summarizes a worker's state in one word. Exclusion and quarantine take precedence over availability and the endpoint's state.
std::string stateOf(const nlohmann::json &worker)
{
    if (isTrue(worker, "excluded")) {
        return "excluded";
    }
    if (isTrue(worker, "quarantined")) {
        return "quarantined";
    }
    if (isTrue(worker, "available")) {
        return "available";
    }
    const std::string endpoint = textMember(worker, "endpoint_state");
    return endpoint.empty() || endpoint == "ready" ? "unavailable" : endpoint;
}

nlohmann::json addStateMembers(const nlohmann::json &workers)
{
    nlohmann::json result = nlohmann::json::array();
    for (const nlohmann::json &worker : workers) {
        nlohmann::json &copy = result.emplace_back(worker.is_object() ? worker : nlohmann::json::object());
        copy["state"] = stateOf(worker);
    }
    return result;
}

std::string workersLine(const nlohmann::json &workers)
{
    std::map<std::string, int> counts;
    for (const nlohmann::json &worker : workers) {
        ++counts[textMember(worker, "state")];
    }
    std::string line = "Workers: " + std::to_string(workers.size());
    for (const auto &[state, count] : counts) {
        line += ", " + std::to_string(count) + ' ' + state;
    }
    return line + '\n';
}

std::string plannerOf(const nlohmann::json &processes)
{
    for (const nlohmann::json &process : processes) {
        if (isTrue(process, "planner")) {
            return textMember(process, "address");
        }
    }
    return {};
}

std::string configurationLines(const nlohmann::json &configuration, const nlohmann::json &processes)
{
    const std::string version = orDash(textMember(configuration, "version"));
    std::size_t currentCount = 0;
    std::size_t unknownCount = 0; // processes whose configuration version is missing in the answer
    std::string outdatedLines;
    for (const nlohmann::json &process : processes) {
        const std::string processVersion = orDash(textMember(process, "configuration_version"));
        if (processVersion == "-") {
            ++unknownCount;
        } else if (processVersion == version) {
            ++currentCount;
        } else {
            outdatedLines +=
                "  " + orDash(textMember(process, "role")) + ' ' + orDash(textMember(process, "address")) + " has version " + processVersion + '\n';
        }
    }
    std::string text = "Configuration: version " + version + " by " + orDash(textMember(configuration, "author"));
    text += ", in force at " + std::to_string(currentCount) + " of " + std::to_string(processes.size()) + " processes";
    text += unknownCount == 0 ? "\n" : ", not known of " + std::to_string(unknownCount) + '\n';
    return text + outdatedLines;
}

std::string logLine(const nlohmann::json &log)
{
    const std::string reachable = textMember(log, "reachable");
    std::string line = "Log service: " + (reachable.empty() ? "-" : std::string(reachable == "true" ? "reachable" : "NOT REACHABLE"));
    line += ", next offset " + orDash(textMember(log, "next_offset")) + ", silent for " + orDash(textMember(log, "silent_ms")) + " ms, ";
    return line + orDash(textMember(log, "pending_appends")) + " appends waiting\n";
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
    const nlohmann::json workers = addStateMembers(arrayMember(status, "workers"));
    const nlohmann::json processes = arrayMember(status, "processes");
    std::string text = "Entry " + orDash(textMember(status, "entry")) + ", planner " + orDash(plannerOf(processes)) + '\n';
    text += configurationLines(objectMember(status, "configuration"), processes);
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
