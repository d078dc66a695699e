// Figures of one run and their median and spread over seeds.
#pragma once

#include "simulation.h"

#include <string>
#include <vector>

namespace knapweed::bench
{

/// The @p share quantile by nearest rank; 0 of nothing.
double quantile(std::vector<double> values, double share);

/// Jain's index of fairness; 1 of nothing.
double jainIndex(const std::vector<double> &values);

/// One named figure. Times are in seconds.
struct Figure
{
    std::string name;
    double value = 0;
};

std::vector<Figure> summarize(const Workload &workload, const SimulationResult &result);

struct Spread
{
    double median = 0;
    double lowest = 0;
    double highest = 0;
};

Spread spreadOf(const std::vector<double> &values);

} // namespace knapweed::bench
