#pragma once

#include <span>
#include <string_view>

namespace endiveshore::telemetry {

enum class MetricId {
    Reads,
    Statements,
    Refusals,
    RateRefusals,
    MovedReads,
    FailoverGap,
    QueueTime,
    SlotsInUse,
    ConnectionsInUse,
    Term,
    Position,
    EvacuationStage,
    ConfigurationRevision,
    StoreEra,
    ControlCpu,
    ChannelBytes,
    UnreadableMessages,
    Members,
    RegionBytes,
    StoreCalls,
    CallersClosed,
    CallersRefused,
    CallerHeldBytes,
};

enum class MetricType {
    Counter,
    Gauge,
    Histogram,
};

/// Registration of one metric. Names end in their unit; counters add `_total`.
struct MetricInfo
{
    MetricId id;
    MetricType type;
    std::string_view name;
    std::string_view help;
    std::string_view labels; ///< Label names, comma-separated.
};

/// All metrics in the order of MetricId.
std::span<const MetricInfo> metricTable();

}
