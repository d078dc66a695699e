// Operator command explain, which reads log files instead of asking an entry.

#include "tool/command.h"
#include "tool/joblog.h"

#include <fstream>
#include <ostream>

namespace knapweed
{

namespace
{

ExitCode explain(const Invocation &invocation)
{
    const std::string &fileName = invocation.arguments[0];
    std::ifstream file;
    if (fileName != "-") {
        file.open(fileName);
        if (!file) {
            return fail(invocation, ExitCode::Usage, fileName + ": found no readable file");
        }
    }
    const std::map<std::string, std::vector<LogLine>> jobs = readJobLines(fileName == "-" ? invocation.environment.input : file);
    if (!invocation.has("job")) {
        invocation.environment.output << formatJobTotals(jobs);
        return ExitCode::Success;
    }
    const auto found = jobs.find(invocation.option("job"));
    if (found == jobs.end()) {
        return fail(invocation, ExitCode::Refused, "--job: found no line of " + invocation.option("job") + " in " + fileName);
    }
    invocation.environment.output << formatJobHistory(found->second);
    return ExitCode::Success;
}

} // namespace

const std::vector<Command> &explainCommands()
{
    static const std::vector<Command> commands {
        {"explain",
            {"LOG"},
            "Show from the log lines of all processes what happened to one job, or the totals of all jobs",
            {{"job", "JOB", "the job to explain; without it, totals by queue and final state"}},
            "  knapweedctl explain all.log\n  cat *.log | knapweedctl explain - --job 51c00addbcf02bc3\n",
            explain},
    };
    return commands;
}

} // namespace knapweed
