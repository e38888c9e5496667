#pragma once

#include "core/time.h"
#include "telemetry/metricinfo.h"

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include <atomic>
#include <cstdint>
#include <span>
#include <vector>

namespace endiveshore::telemetry {

/// Lock-free histogram of durations in seconds. prometheus::Histogram locks a mutex per observation, which the request
/// path must not do.
class LockFreeHistogram : public prometheus::Collectable
{
public:
    /// @p bounds are the upper bounds of the buckets in rising order; a last bucket without bound is added.
    LockFreeHistogram(const MetricInfo &info, std::span<const core::Duration> bounds);

    void observe(core::Duration duration);

    std::vector<prometheus::MetricFamily> Collect() const override; // NOLINT(readability-identifier-naming)

private:
    const MetricInfo &info;
    const std::vector<core::Duration> bounds;
    std::vector<std::atomic<std::uint64_t>> counts;
    std::atomic<std::int64_t> sumNs{0};
};

}
