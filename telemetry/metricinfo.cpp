#include "telemetry/metricinfo.h"

#include <array>

namespace endiveshore::telemetry {

namespace {

constexpr std::array MetricInfoTable{
    MetricInfo{MetricId::Reads,
               MetricType::Counter,
               "endiveshore_reads_total",
               "Reads served, by the role of the server that served them.",
               "source"},
    MetricInfo{MetricId::Statements,
               MetricType::Counter,
               "endiveshore_statements_total",
               "Statements answered, by outcome.",
               "outcome"},
    MetricInfo{MetricId::Refusals,
               MetricType::Counter,
               "endiveshore_refusals_total",
               "Requests answered with an error, by result code.",
               "code,name"},
    MetricInfo{MetricId::RateRefusals,
               MetricType::Counter,
               "endiveshore_rate_refusals_total",
               "Operations refused because their workspace was over its rate, by the priority of their route.",
               "priority"},
    MetricInfo{MetricId::MovedReads,
               MetricType::Counter,
               "endiveshore_moved_reads_total",
               "Reads sent to another server than the nearest because of the reported loads.",
               ""},
    MetricInfo{MetricId::FailoverGap,
               MetricType::Histogram,
               "endiveshore_failover_gap_seconds",
               "Time from the suspicion of a primary to the first acknowledged write at its successor.",
               ""},
    MetricInfo{MetricId::QueueTime,
               MetricType::Histogram,
               "endiveshore_queue_seconds",
               "Time that a statement waits for a slot of its backend server.",
               ""},
    MetricInfo{MetricId::SlotsInUse,
               MetricType::Gauge,
               "endiveshore_slots_in_use",
               "Statements running at a backend server whose home is this daemon.",
               "server"},
    MetricInfo{MetricId::ConnectionsInUse,
               MetricType::Gauge,
               "endiveshore_connections_in_use",
               "Open connections to a backend server whose home is this daemon.",
               "server"},
    MetricInfo{
        MetricId::Term, MetricType::Gauge, "endiveshore_term", "Highest term known of a database group.", "database"},
    MetricInfo{MetricId::Position,
               MetricType::Gauge,
               "endiveshore_position",
               "Highest log position known of a database group.",
               "database"},
    MetricInfo{MetricId::ConfigurationRevision,
               MetricType::Gauge,
               "endiveshore_configuration_revision",
               "Store revision of the configuration in force.",
               ""},
    MetricInfo{MetricId::ControlCpu,
               MetricType::Counter,
               "endiveshore_control_cpu_seconds_total",
               "Processor time of the control thread.",
               ""},
    MetricInfo{MetricId::ChannelBytes,
               MetricType::Counter,
               "endiveshore_channel_bytes_total",
               "Bytes carried, by channel and direction.",
               "channel,direction"},
    MetricInfo{MetricId::UnreadableMessages,
               MetricType::Counter,
               "endiveshore_unreadable_messages_total",
               "Messages of other daemons that could not be decoded, by channel.",
               "channel"},
    MetricInfo{
        MetricId::Members, MetricType::Gauge, "endiveshore_members", "Known daemons, by membership state.", "state"},
    MetricInfo{MetricId::RegionBytes,
               MetricType::Counter,
               "endiveshore_region_bytes_total",
               "Payload bytes exchanged with daemons of other regions, by cause.",
               "cause"},
    MetricInfo{MetricId::StoreCalls,
               MetricType::Counter,
               "endiveshore_store_calls_total",
               "Calls to the platform's metadata store, by kind.",
               "call"},
};

}

std::span<const MetricInfo> metricTable()
{
    return MetricInfoTable;
}

}
