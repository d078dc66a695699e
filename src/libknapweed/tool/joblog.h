// Reads the log lines of the processes on the platform and reconstructs from them what happened to each job. Independent of files and of the command line.
#pragma once

#include "base/clock.h"

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed
{

struct LogLine
{
    WallTime time;
    std::string process;
    std::string event;
    std::map<std::string, std::string> fields;
};

/// Parses "TIME LEVEL PROCESS EVENT NAME=VALUE...", with a value in double quotes if it contains spaces. Text before the time is skipped. Returns nothing if
/// the line has another form.
std::optional<LogLine> parseLogLine(const std::string &text);

/// The lines with a job, by job, in the order of their time. Lines of another form are skipped.
std::map<std::string, std::vector<LogLine>> readJobLines(std::istream &input);

/// How the time of one job was spent.
struct JobSummary
{
    std::string queue; ///< empty if its submission is not in the log
    std::string state = "unfinished"; ///< final state, if the log contains it
    Milliseconds total {0}; ///< from the first line to the final state, or to the last line
    Milliseconds waited {0}; ///< longest wait for capacity of one start
    Milliseconds lost {0}; ///< time of runs that did not end successfully
    std::size_t starts = 0;
    std::map<std::string, std::size_t> causes; ///< why runs were lost: outcome or event, and number
};

JobSummary summarizeJob(const std::vector<LogLine> &lines);

/// All lines of a job with the time since the first one, followed by its summary.
std::string formatJobHistory(const std::vector<LogLine> &lines);

/// One row for each queue and final state, the rows with the most time lost or waited first.
std::string formatJobTotals(const std::map<std::string, std::vector<LogLine>> &jobs);

} // namespace knapweed
