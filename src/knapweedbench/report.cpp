// The product and the baselines see the same workload of each seed.

#include "report.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>
#include <map>

namespace knapweed::bench
{

namespace
{

constexpr std::array<SchedulerKind, 3> kinds = {SchedulerKind::Product, SchedulerKind::FirstFit, SchedulerKind::BestFit};

} // namespace

Comparison compare(const ComparisonOptions &options)
{
    Comparison comparison;
    comparison.options = options;
    std::vector<std::string> order;
    std::map<std::string, std::array<std::vector<double>, 3>> values;
    for (int seed = options.firstSeed; seed < options.firstSeed + options.seeds; ++seed) {
        const Workload workload = makeWorkload(options.annex, {static_cast<std::uint64_t>(seed), options.horizon, options.load});
        comparison.workload = workload.name;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            for (const Figure &figure : summarize(workload, simulate(workload, kinds[kind]))) {
                if (!values.contains(figure.name)) {
                    order.push_back(figure.name);
                }
                values[figure.name][kind].push_back(figure.value);
            }
        }
    }
    for (const std::string &name : order) {
        ComparedFigure figure {name, {}};
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            figure.schedulers[kind] = spreadOf(values[name][kind]);
        }
        comparison.figures.push_back(figure);
    }
    return comparison;
}

void printTable(const Comparison &comparison, bool printsAll)
{
    std::printf("%s, %d seeds from %d, load %.2f: median [lowest highest]\n",
        comparison.workload.c_str(),
        comparison.options.seeds,
        comparison.options.firstSeed,
        comparison.options.load);
    std::printf("%-44s %28s %28s %28s\n", "", nameOf(kinds[0]), nameOf(kinds[1]), nameOf(kinds[2]));
    for (const ComparedFigure &figure : comparison.figures) {
        if (!printsAll && figure.name.find('/') != std::string::npos) {
            continue;
        }
        std::printf("%-44s", figure.name.c_str());
        for (const Spread &spread : figure.schedulers) {
            std::printf(" %9.2f [%7.2f %8.2f]", spread.median, spread.lowest, spread.highest);
        }
        std::printf("\n");
    }
}

void printJson(const Comparison &comparison)
{
    nlohmann::json figures = nlohmann::json::array();
    for (const ComparedFigure &figure : comparison.figures) {
        nlohmann::json entry = {{"name", figure.name}};
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            const Spread &spread = figure.schedulers[kind];
            entry[nameOf(kinds[kind])] = {{"median", spread.median}, {"lowest", spread.lowest}, {"highest", spread.highest}};
        }
        figures.push_back(entry);
    }
    const nlohmann::json document = {{"workload", comparison.workload},
        {"first_seed", comparison.options.firstSeed},
        {"seeds", comparison.options.seeds},
        {"load", comparison.options.load},
        {"figures", figures}};
    std::cout << document.dump(1) << '\n';
}

} // namespace knapweed::bench
