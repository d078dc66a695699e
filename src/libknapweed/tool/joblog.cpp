// A lost run is counted by the outcome that its endpoint listed. Preemptions and stalls precede the outcome "stopped", so they are counted beside it.

#include "tool/joblog.h"

#include "tool/table.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <regex>
#include <set>

namespace knapweed
{

namespace
{

const std::set<std::string> causeEvents = {"unit.preempted", "run.stalled", "run.notstarted"};

std::string fieldOf(const LogLine &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

Milliseconds millisecondsOf(const std::string &text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return Milliseconds(number);
}

WallTime timeOf(const std::smatch &match)
{
    std::tm parts {};
    parts.tm_year = std::stoi(match[1]) - 1900;
    parts.tm_mon = std::stoi(match[2]) - 1;
    parts.tm_mday = std::stoi(match[3]);
    parts.tm_hour = std::stoi(match[4]);
    parts.tm_min = std::stoi(match[5]);
    parts.tm_sec = std::stoi(match[6]);
    return std::chrono::system_clock::from_time_t(timegm(&parts)) + Milliseconds(std::stoi(match[7]));
}

Milliseconds between(const LogLine &first, const LogLine &second)
{
    return std::chrono::duration_cast<Milliseconds>(second.time - first.time);
}

std::string secondsText(Milliseconds time)
{
    const std::string fraction = std::to_string(1000 + time.count() % 1000);
    return std::to_string(time.count() / 1000) + '.' + fraction.substr(1) + " s";
}

std::string causesText(const std::map<std::string, std::size_t> &causes)
{
    std::string text;
    for (const auto &[cause, count] : causes) {
        text += (text.empty() ? "" : ", ") + cause + ' ' + std::to_string(count);
    }
    return text;
}

} // namespace

std::optional<LogLine> parseLogLine(const std::string &text)
{
    static const std::regex head(R"((\d{4})-(\d\d)-(\d\d)T(\d\d):(\d\d):(\d\d)\.(\d{3})Z (\S+) (\S+) (\S+)(.*))");
    static const std::regex field(R"re((\w+)=("[^"]*"|\S*))re");
    std::smatch match;
    if (!std::regex_search(text, match, head)) {
        return std::nullopt;
    }
    LogLine line;
    line.time = timeOf(match);
    line.process = match[9];
    line.event = match[10];
    const std::string rest = match[11];
    for (std::sregex_iterator found(rest.begin(), rest.end(), field); found != std::sregex_iterator(); ++found) {
        std::string value = (*found)[2];
        if (value.size() >= 2 && value.front() == '"') {
            value = value.substr(1, value.size() - 2);
        }
        line.fields[(*found)[1]] = value;
    }
    return line;
}

std::map<std::string, std::vector<LogLine>> readJobLines(std::istream &input)
{
    std::map<std::string, std::vector<LogLine>> jobs;
    for (std::string text; std::getline(input, text);) {
        std::optional<LogLine> line = parseLogLine(text);
        const std::string job = line ? fieldOf(*line, "job") : std::string();
        if (!job.empty()) {
            jobs[job].push_back(std::move(*line));
        }
    }
    for (auto &[job, lines] : jobs) {
        std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
            return left.time < right.time;
        });
    }
    return jobs;
}

JobSummary summarizeJob(const std::vector<LogLine> &lines)
{
    JobSummary summary;
    std::map<std::string, const LogLine *> plans; // by run
    for (const LogLine &line : lines) {
        if (summary.queue.empty()) {
            summary.queue = fieldOf(line, "queue");
        }
        if (summary.state == "unfinished") {
            summary.total = between(lines.front(), line);
        }
        const std::string run = fieldOf(line, "run");
        if (line.event == "unit.planned") {
            ++summary.starts;
            summary.waited = std::max(summary.waited, millisecondsOf(fieldOf(line, "waited_ms")));
            plans[run] = &line;
        } else if (line.event == "job.finished") {
            summary.state = fieldOf(line, "state");
        } else if (causeEvents.count(line.event) != 0) {
            ++summary.causes[line.event];
        } else if ((line.event == "run.ended" && fieldOf(line, "how") != "done") || line.event == "run.released") {
            ++summary.causes[fieldOf(line, line.event == "run.ended" ? "how" : "reason")];
            const auto plan = plans.find(run);
            summary.lost += plan == plans.end() ? Milliseconds(0) : between(*plan->second, line);
        }
    }
    return summary;
}

std::string formatJobHistory(const std::vector<LogLine> &lines)
{
    std::vector<std::vector<std::string>> rows;
    for (const LogLine &line : lines) {
        std::string fields;
        for (const auto &[name, value] : line.fields) {
            if (name != "job" && !value.empty()) {
                fields.append(name).append("=").append(value).append(" ");
            }
        }
        rows.push_back({'+' + secondsText(between(lines.front(), line)), line.process, line.event, fields});
    }
    const JobSummary summary = summarizeJob(lines);
    return formatTable(rows) + summary.state + " after " + secondsText(summary.total) + ": " + std::to_string(summary.starts)
        + " starts, longest wait for capacity " + secondsText(summary.waited) + ", lost runs " + secondsText(summary.lost)
        + (summary.causes.empty() ? "" : " (" + causesText(summary.causes) + ')') + '\n';
}

std::string formatJobTotals(const std::map<std::string, std::vector<LogLine>> &jobs)
{
    struct Total
    {
        std::size_t jobs = 0;
        JobSummary sum;
    };
    std::map<std::pair<std::string, std::string>, Total> totals; // by queue and final state
    for (const auto &[job, lines] : jobs) {
        const JobSummary summary = summarizeJob(lines);
        Total &total = totals[{summary.queue, summary.state}];
        ++total.jobs;
        total.sum.starts += summary.starts;
        total.sum.waited += summary.waited;
        total.sum.lost += summary.lost;
        for (const auto &[cause, count] : summary.causes) {
            total.sum.causes[cause] += count;
        }
    }
    std::vector<std::pair<std::pair<std::string, std::string>, Total>> ordered(totals.begin(), totals.end());
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
        return left.second.sum.waited + left.second.sum.lost > right.second.sum.waited + right.second.sum.lost;
    });
    std::vector<std::vector<std::string>> rows = {{"queue", "state", "jobs", "starts", "waited", "lost", "causes"}};
    for (const auto &[key, total] : ordered) {
        rows.push_back({key.first,
            key.second,
            std::to_string(total.jobs),
            std::to_string(total.sum.starts),
            secondsText(total.sum.waited),
            secondsText(total.sum.lost),
            causesText(total.sum.causes)});
    }
    return formatTable(rows);
}

} // namespace knapweed
