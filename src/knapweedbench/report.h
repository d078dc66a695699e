// Runs every scheduler over the seeds and prints medians with the lowest and highest seed.
#pragma once

#include "statistics.h"
#include "workload.h"

#include <array>
#include <string>
#include <vector>

namespace knapweed::bench
{

struct ComparisonOptions
{
    Annex annex = Annex::Kothari;
    int firstSeed = 1;
    int seeds = 10;
    Milliseconds horizon {3600000};
    double load = 0.8;
};

struct ComparedFigure
{
    std::string name;
    std::array<Spread, 3> schedulers; ///< product, first fit, best fit
};

struct Comparison
{
    std::string workload;
    ComparisonOptions options;
    std::vector<ComparedFigure> figures;
};

Comparison compare(const ComparisonOptions &options);

void printTable(const Comparison &comparison, bool printsAll);
void printJson(const Comparison &comparison);

} // namespace knapweed::bench
