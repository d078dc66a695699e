// The process's metrics on prometheus-cpp's registry, as text for /metrics. Thread safe. Names get the prefix "knapweedstage_".
#pragma once

#include "base/clock.h"

#include <map>
#include <memory>
#include <string>

namespace knapweed
{

using MetricLabels = std::map<std::string, std::string>;

class Metrics
{
public:
    Metrics();
    ~Metrics();

    void increment(const std::string &counter, const MetricLabels &labels = {}, double by = 1);
    void set(const std::string &gauge, double value, const MetricLabels &labels = {});
    /// Observes a duration in a histogram in seconds, with buckets from 1 ms to 10 h. At most 200 label sets for each name; more share "other".
    void observe(const std::string &histogram, Microseconds duration, const MetricLabels &labels = {});

    /// Prometheus text exposition format.
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace knapweed
