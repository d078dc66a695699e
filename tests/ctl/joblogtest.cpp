// What knapweedctl explain tells of a job, from log lines as the processes print them.

#include "tool/joblog.h"
#include "tool/tool.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

const char *const recorded =
    "  5.2 front-a-1 2026-07-04T21:26:25.293Z INFO front-a-1 call.answered job=1dc5 call=1 queue=r-u status=200 state=\"\" took_ms=9\n"
    "  5.3 front-a-1 2026-07-04T21:26:25.393Z INFO front-a-1 unit.planned job=1dc5 step=0 index=0 run=301 agents=10.2.0.36:7360 rank=1 waited_ms=106\n"
    "an unrelated line, and one of another process without a job\n"
    "  5.9 front-a-1 2026-07-04T21:26:25.893Z INFO front-a-1 unit.preempted job=1dc5 step=0 index=0 run=301\n"
    "  6.0 front-a-1 2026-07-04T21:26:25.993Z INFO front-a-1 run.ended job=1dc5 task=1dc5.0.0.0 run=301 how=stopped endpoint=i-1\n"
    "  6.2 front-a-1 2026-07-04T21:26:26.214Z INFO front-a-1 unit.planned job=1dc5 step=0 index=0 run=302 agents=10.1.0.32:7360 rank=1 waited_ms=221\n"
    "  8.4 front-a-1 2026-07-04T21:26:28.393Z INFO front-a-1 job.finished job=1dc5 state=succeeded\n"
    "  8.4 front-a-1 2026-07-04T21:26:28.383Z INFO front-a-1 run.ended job=1dc5 task=1dc5.0.0.0 run=302 how=done endpoint=i-2\n"
    "  9.9 front-a-1 2026-07-04T21:26:29.900Z INFO front-a-1 job.refused job=77aa reason=\"store unreachable\"\n";

std::string explained(const std::vector<std::string> &arguments)
{
    std::istringstream in(recorded);
    std::ostringstream out;
    ToolEnvironment environment {in, out, out, [](const std::string &) {
                                     return std::string();
                                 }};
    runTool(arguments, environment);
    return out.str();
}

} // namespace

TEST_GROUP(JobLog) {};

TEST(JobLog, summarizesWaitsAndLostRuns)
{
    std::istringstream in(recorded);
    const JobSummary summary = summarizeJob(readJobLines(in).at("1dc5"));
    STRCMP_EQUAL("r-u", summary.queue.c_str());
    STRCMP_EQUAL("succeeded", summary.state.c_str());
    LONGS_EQUAL(3100, summary.total.count());
    LONGS_EQUAL(221, summary.waited.count());
    LONGS_EQUAL(600, summary.lost.count());
    LONGS_EQUAL(2, summary.starts);
    LONGS_EQUAL(1, summary.causes.at("unit.preempted"));
    LONGS_EQUAL(1, summary.causes.at("stopped"));
}

TEST(JobLog, countsRunsThatWereReleasedWithoutAListedEnd)
{
    std::istringstream in("2026-07-04T21:26:25.000Z INFO front-a-1 unit.planned job=2b10 step=0 index=0 run=301 waited_ms=0\n"
                          "2026-07-04T21:26:31.300Z INFO front-a-1 run.released job=2b10 task=0.0.0 run=301 endpoint=i-1 reason=\"endpoint replaced\"\n");
    const JobSummary summary = summarizeJob(readJobLines(in).at("2b10"));
    LONGS_EQUAL(6300, summary.lost.count());
    LONGS_EQUAL(1, summary.causes.at("endpoint replaced"));
}

TEST(JobLog, printsTheHistoryOfOneJobInTheOrderOfTime)
{
    const std::string text = explained({"explain", "-", "--job", "1dc5"});
    CHECK(text.find("+0.100 s") != std::string::npos);
    CHECK(text.find("how=done") < text.find("job.finished"));
    CHECK(text.find("succeeded after 3.100 s: 2 starts, longest wait for capacity 0.221 s, lost runs 0.600 s") != std::string::npos);
    CHECK(text.find("77aa") == std::string::npos);
}

TEST(JobLog, printsTotalsWithTheDearestQueueFirst)
{
    const std::string text = explained({"explain", "-"});
    CHECK(text.find("r-u") != std::string::npos);
    CHECK(text.find("succeeded") < text.find("unfinished"));
}

TEST(JobLog, saysThatAJobIsMissing)
{
    CHECK(explained({"explain", "-", "--job", "none"}).find("--job: found no line of none") != std::string::npos);
}

TEST(JobLog, skipsLinesOfAnotherForm)
{
    CHECK(!parseLogLine("").has_value());
    CHECK(!parseLogLine("2026-07-04T21:26:25.293Z INFO").has_value());
    CHECK(!parseLogLine("99999999999999999999-07-04T21:26:25.293Z job=x").has_value());
}
