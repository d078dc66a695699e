// Throughput, latency percentiles and counts per outcome, for all jobs together and by kind.

#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <sstream>

namespace knapweed
{

namespace
{

struct Percentile
{
    const char *name;
    std::size_t perThousand;
};

constexpr std::array<Percentile, 5> percentiles {{{"p50", 500}, {"p90", 900}, {"p99", 990}, {"p999", 999}, {"max", 1000}}};

nlohmann::json summarize(KindFigures kind, Milliseconds took)
{
    nlohmann::json summary;
    summary["outcomes"] = kind.outcomes;
    const double seconds = std::max(std::chrono::duration<double>(took).count(), 0.001);
    summary["completed_per_second"] = static_cast<double>(kind.latencies.size()) / seconds;
    std::sort(kind.latencies.begin(), kind.latencies.end());
    for (const Percentile &percentile : percentiles) {
        if (!kind.latencies.empty()) {
            const std::size_t place = (kind.latencies.size() - 1) * percentile.perThousand / 1000;
            summary["latency_ms"][percentile.name] = std::chrono::duration<double, std::milli>(kind.latencies[place]).count();
        }
    }
    return summary;
}

nlohmann::json report(const LoadFigures &figures)
{
    KindFigures all;
    nlohmann::json kinds = nlohmann::json::object();
    for (const auto &[name, kind] : figures.kinds) {
        kinds[name] = summarize(kind, figures.took);
        all.latencies.insert(all.latencies.end(), kind.latencies.begin(), kind.latencies.end());
        for (const auto &[outcome, count] : kind.outcomes) {
            all.outcomes[outcome] += count;
        }
    }
    return {{"sent", figures.sent},
        {"answered", figures.answered},
        {"wrong", figures.wrong},
        {"faults", figures.faults},
        {"took_ms", figures.took.count()},
        {"all", summarize(all, figures.took)},
        {"kinds", kinds}};
}

void appendSummary(std::ostringstream &text, const std::string &name, const nlohmann::json &summary)
{
    text << name << " completed_per_second=" << summary.at("completed_per_second").get<double>();
    for (const auto &[outcome, count] : summary.at("outcomes").items()) {
        text << ' ' << outcome << '=' << count.get<std::uint64_t>();
    }
    for (const Percentile &percentile : percentiles) {
        if (summary.contains("latency_ms")) {
            text << ' ' << percentile.name << "_ms=" << summary.at("latency_ms").at(percentile.name).get<double>();
        }
    }
    text << '\n';
}

} // namespace

std::string textReport(const LoadFigures &figures)
{
    const nlohmann::json whole = report(figures);
    std::ostringstream text;
    text << "sent=" << figures.sent << " answered=" << figures.answered << " wrong=" << figures.wrong << " took_ms=" << figures.took.count() << '\n';
    appendSummary(text, "all", whole.at("all"));
    for (const auto &[name, summary] : whole.at("kinds").items()) {
        appendSummary(text, name, summary);
    }
    for (const std::string &fault : figures.faults) {
        text << "wrong " << fault << '\n';
    }
    return text.str();
}

std::string jsonReport(const LoadFigures &figures)
{
    return report(figures).dump(2) + '\n';
}

} // namespace knapweed
