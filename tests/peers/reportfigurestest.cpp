// Measures the size and decoding time of the largest regular message, the agent's report, for several numbers of parts.

#include "peers/codec.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdio>

using namespace knapweed;

namespace
{

constexpr int rounds = 2000;
constexpr std::size_t maxControlBytesPerSecond = 15000; ///< budget of one node for control traffic

wire::AgentReport makeReport(int parts)
{
    wire::AgentReport report;
    report.agent = "10.0.0.1:7000";
    report.worker = "worker-0001";
    report.rack = "rack-01";
    report.failureDomain = "west-1";
    report.region = "west";
    report.endpointState = "ready";
    for (int number = 0; number < parts; ++number) {
        wire::RunningPart &part = report.parts.emplace_back();
        part.attempt.job = "j-00000000000000000000000000000000";
        part.attempt.owner = INT64_MAX;
        part.attempt.number = 1000;
        part.account = "kothari-fit";
        part.kind = "pattern-rendering";
        part.lead = "10.0.0.1:7000";
        part.accelerators = {number};
        part.runningMs = 1000000;
        part.sinceCheckpointMs = 100000;
        part.gangSize = 8;
    }
    return report;
}

} // namespace

TEST_GROUP(ReportFigures) {};

TEST(ReportFigures, aReportEachSecondIsWithinTheBudgetOfANode)
{
    for (const int parts : {0, 1, 8, 17}) {
        const std::string bytes = encodeMessage(makeReport(parts));
        const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        for (int round = 0; round < rounds; ++round) {
            CHECK(isOk(decodeMessage(bytes)));
        }
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
        std::printf("report of %d parts: %zu bytes, decoded in %.1f us\n", parts, bytes.size(), took.count() / rounds);
        CHECK(bytes.size() < maxControlBytesPerSecond);
    }
}
