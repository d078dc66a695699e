// Completion time counts from the arrival to the whole answer, waits included; jobs that never finish count with the end of the run.

#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace knapweed::bench
{

namespace
{

double seconds(Milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

struct Samples
{
    std::vector<double> completion;
    std::vector<double> slowdown;
};

bool isCounted(const JobRecord &job)
{
    return job.end == JobEnd::Completed || job.end == JobEnd::Unfinished;
}

void addCompletion(std::vector<Figure> &figures, const std::string &name, const Samples &samples)
{
    for (const int percent : {50, 95, 99}) {
        figures.push_back({name + ".completion_p" + std::to_string(percent), quantile(samples.completion, percent / 100.0)});
    }
    double sum = 0;
    for (const double slowdown : samples.slowdown) {
        sum += slowdown;
    }
    figures.push_back({name + ".slowdown_mean", samples.slowdown.empty() ? 0 : sum / static_cast<double>(samples.slowdown.size())});
}

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::clamp(rank, 1.0, static_cast<double>(values.size()))) - 1];
}

double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

std::vector<Figure> summarize(const Workload &workload, const SimulationResult &result)
{
    std::map<std::string, Samples> byGroup;
    std::vector<double> largeWaits;
    std::vector<double> largeStarts;
    std::vector<double> urgentStarts;
    double longestWait = 0;
    double completed = 0;
    double failed = 0;
    double unfinished = 0;
    for (const JobRecord &job : result.jobs) {
        completed += job.end == JobEnd::Completed;
        failed += job.end == JobEnd::Failed;
        unfinished += job.end == JobEnd::Unfinished;
        if (!isCounted(job)) {
            continue;
        }
        const Milliseconds finished = job.end == JobEnd::Completed ? job.finished : std::max(workload.horizon * 3, job.arrival + job.run);
        const double completion = seconds(finished - job.arrival);
        const double wait = seconds(job.end == JobEnd::Completed ? job.waited : finished - job.arrival);
        const double slowdown = completion / std::max(1.0, seconds(job.run));
        for (const std::string &group : {std::string(job.isLarge ? "large" : "small"), job.account + "/" + job.kind}) {
            byGroup[group].completion.push_back(completion);
            byGroup[group].slowdown.push_back(slowdown);
        }
        longestWait = std::max(longestWait, wait);
        if (job.isLarge) {
            largeWaits.push_back(wait);
            largeStarts.push_back(seconds((job.firstStart.count() < 0 ? finished : job.firstStart) - job.arrival));
        }
        if (job.isUrgent) {
            urgentStarts.push_back(seconds(job.firstStart - job.arrival));
        }
    }
    std::vector<double> reclaims;
    for (const Milliseconds reclaim : result.reclaims) {
        reclaims.push_back(seconds(reclaim));
    }
    std::vector<double> rounds;
    for (const Microseconds round : result.rounds) {
        rounds.push_back(std::chrono::duration<double, std::milli>(round).count());
    }
    std::vector<double> service;
    for (const auto &[name, account] : workload.policy.accounts) {
        const auto served = result.service.find(name);
        service.push_back(served == result.service.end() ? 0 : served->second / account.weight);
    }
    std::vector<Figure> figures = {{"large.wait_p50", quantile(largeWaits, 0.5)},
        {"large.wait_p95", quantile(largeWaits, 0.95)},
        {"large.start_p95", quantile(largeStarts, 0.95)},
        {"large.wait_max", quantile(largeWaits, 1)},
        {"fragmentation", result.fragmentation},
        {"utilisation", result.utilisation},
        {"reclaim_p95", quantile(reclaims, 0.95)},
        {"reclaim_max", quantile(reclaims, 1)},
        {"urgent_start_max", quantile(urgentStarts, 1)},
        {"preemptions", static_cast<double>(result.preemptions)},
        {"preempted_lost", result.lostSeconds},
        {"jain", jainIndex(service)},
        {"longest_wait", longestWait},
        {"round_ms_p99", quantile(rounds, 0.99)},
        {"round_ms_max", quantile(rounds, 1)},
        {"completed", completed},
        {"failed", failed},
        {"unfinished", unfinished},
        {"double_grants", static_cast<double>(result.doubleGrants)}};
    for (const auto &[group, samples] : byGroup) {
        addCompletion(figures, group, samples);
    }
    return figures;
}

Spread spreadOf(const std::vector<double> &values)
{
    return {quantile(values, 0.5), quantile(values, 0), quantile(values, 1)};
}

} // namespace knapweed::bench
