// Families of the prometheus-cpp registry by name, with a limit on the label sets of each histogram.

#include "base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <mutex>
#include <set>

namespace knapweed
{

namespace
{

constexpr std::size_t labelSetLimit = 200;
const std::string namePrefix = "knapweedstage_";

const prometheus::Histogram::BucketBoundaries &bucketBounds()
{
    static const prometheus::Histogram::BucketBoundaries bounds {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 150, 300, 600, 1800, 3600, 10800, 36000};
    return bounds;
}

} // namespace

struct Metrics::Private
{
    mutable std::mutex mutex; ///< guards the maps; the registry has its own lock
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
    /// Invariant: at most labelSetLimit sets for each histogram.
    std::map<std::string, std::set<MetricLabels>> labelSets;

    MetricLabels boundedLabels(const std::string &histogram, const MetricLabels &labels)
    {
        std::set<MetricLabels> &known = labelSets[histogram];
        if (known.count(labels) != 0) {
            return labels;
        }
        if (known.size() < labelSetLimit) {
            known.insert(labels);
            return labels;
        }
        MetricLabels other = labels;
        for (MetricLabels::value_type &label : other) {
            label.second = "other";
        }
        return other;
    }
};

Metrics::Metrics()
    : d_(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::increment(const std::string &counter, const MetricLabels &labels, double by)
{
    const std::lock_guard<std::mutex> lock(d_->mutex);
    prometheus::Family<prometheus::Counter> *&family = d_->counters[counter];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name(namePrefix + counter).Register(d_->registry);
    }
    family->Add(labels).Increment(by);
}

void Metrics::set(const std::string &gauge, double value, const MetricLabels &labels)
{
    const std::lock_guard<std::mutex> lock(d_->mutex);
    prometheus::Family<prometheus::Gauge> *&family = d_->gauges[gauge];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(namePrefix + gauge).Register(d_->registry);
    }
    family->Add(labels).Set(value);
}

void Metrics::observe(const std::string &histogram, Microseconds duration, const MetricLabels &labels)
{
    const std::lock_guard<std::mutex> lock(d_->mutex);
    prometheus::Family<prometheus::Histogram> *&family = d_->histograms[histogram];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name(namePrefix + histogram).Register(d_->registry);
    }
    family->Add(d_->boundedLabels(histogram, labels), bucketBounds()).Observe(std::chrono::duration<double>(duration).count());
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(d_->registry.Collect());
}

} // namespace knapweed
