// Measures the planner's decisions against the baselines on seeded workloads, or the growth of a round with the fleet.

#include "report.h"
#include "scale.h"

#include <popt.h>

#include <cstdio>
#include <string>

using namespace knapweed;
using namespace knapweed::bench;

namespace
{

struct Arguments
{
    int seeds = 10;
    int firstSeed = 1;
    int minutes = 60;
    double load = 0.8;
    char *annex = nullptr;
    int printsJson = 0;
    int printsAll = 0;
    int measuresScale = 0;
};

bool parse(Arguments &arguments, int argc, const char **argv)
{
    const poptOption options[] = {{"seeds", 's', POPT_ARG_INT, &arguments.seeds, 0, "number of seeds", "N"},
        {"first-seed", 'f', POPT_ARG_INT, &arguments.firstSeed, 0, "first seed", "N"},
        {"minutes", 'm', POPT_ARG_INT, &arguments.minutes, 0, "simulated minutes of arrivals", "N"},
        {"load", 'l', POPT_ARG_DOUBLE, &arguments.load, 0, "offered share of the fleet", "X"},
        {"annex", 'a', POPT_ARG_STRING, &arguments.annex, 0, "kothari, recovery or both", "NAME"},
        {"json", 'j', POPT_ARG_NONE, &arguments.printsJson, 0, "print JSON", nullptr},
        {"all", 'A', POPT_ARG_NONE, &arguments.printsAll, 0, "print each account and kind", nullptr},
        {"scale", 'S', POPT_ARG_NONE, &arguments.measuresScale, 0, "measure rounds at 11 to 8400 workers", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("knapweedbench", argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    if (result < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(result));
    }
    poptFreeContext(context);
    return result == -1;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (!parse(arguments, argc, const_cast<const char **>(argv))) {
        return 2;
    }
    if (arguments.measuresScale != 0) {
        printScale(measureScale(), arguments.printsJson != 0);
        return 0;
    }
    const std::string annex = arguments.annex == nullptr ? "both" : arguments.annex;
    std::vector<Annex> annexes;
    if (annex != "recovery") {
        annexes.push_back(Annex::Kothari);
    }
    if (annex != "kothari") {
        annexes.push_back(Annex::Recovery);
    }
    for (const Annex chosen : annexes) {
        ComparisonOptions options;
        options.annex = chosen;
        options.firstSeed = arguments.firstSeed;
        options.seeds = arguments.seeds;
        options.horizon = std::chrono::minutes(arguments.minutes);
        options.load = arguments.load;
        const Comparison comparison = compare(options);
        if (arguments.printsJson != 0) {
            printJson(comparison);
        } else {
            printTable(comparison, arguments.printsAll != 0);
        }
    }
    return 0;
}
