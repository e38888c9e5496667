#include "telemetry/lockfreehistogram.h"

#include <algorithm>
#include <limits>

namespace endiveshore::telemetry {

LockFreeHistogram::LockFreeHistogram(const MetricInfo &info, std::span<const core::Duration> bounds)
    : info(info)
    , bounds(bounds.begin(), bounds.end())
    , counts(bounds.size() + 1)
{
}

void LockFreeHistogram::observe(core::Duration duration)
{
    const auto bound = std::lower_bound(this->bounds.begin(), this->bounds.end(), duration);
    this->counts[static_cast<std::size_t>(bound - this->bounds.begin())].fetch_add(1, std::memory_order_relaxed);
    this->sumNs.fetch_add(std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count(),
                          std::memory_order_relaxed);
}

std::vector<prometheus::MetricFamily> LockFreeHistogram::Collect() const
{
    prometheus::ClientMetric metric;
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < this->counts.size(); ++index) {
        total += this->counts[index].load(std::memory_order_relaxed);
        const double bound = index < this->bounds.size() ? std::chrono::duration<double>(this->bounds[index]).count()
                                                         : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({.cumulative_count = total, .upper_bound = bound});
    }
    // The count is the sum of the buckets as read, so that count and buckets agree while other threads observe values.
    metric.histogram.sample_count = total;
    metric.histogram.sample_sum = static_cast<double>(this->sumNs.load(std::memory_order_relaxed)) / 1e9;
    prometheus::MetricFamily family;
    family.name = this->info.name;
    family.help = this->info.help;
    family.type = prometheus::MetricType::Histogram;
    family.metric.push_back(std::move(metric));
    return {family};
}

}
