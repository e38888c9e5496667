#pragma once

#include "core/priority.h"
#include "core/resultcode.h"
#include "core/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Counter;
class Gauge;
}

namespace endiveshore::telemetry {

class LockFreeHistogram;

/// Role of the server that served a read.
enum class ReadSource {
    Replica,
    Primary,
};

enum class Channel {
    Caller, ///< Caller API.
    Peer, ///< HTTP/2 streams between daemons.
    Gossip, ///< UDP between daemons.
    Backend, ///< Backend servers.
    Store, ///< Key-value store and VM list.
};

enum class Direction {
    Received,
    Sent,
};

enum class MemberState {
    Alive,
    Suspect,
    Left,
    Dead,
};

/// What daemons of different regions exchange.
enum class RegionTraffic {
    Gossip,
    Report, ///< Reports, sums and digests.
    Statement, ///< Units of work and their answers.
    Rate, ///< Requests to the keeper of a rate pool.
    Metadata, ///< Entries of the metadata store.
};

/// Calls to the platform's metadata store.
enum class StoreCall {
    Range,
    Watch,
    Swap,
    GrantLease,
    RenewLease,
    EndLease,
};

/// Handle of a counter. Copyable, lock-free, valid as long as its Metrics.
class CounterHandle
{
public:
    explicit CounterHandle(prometheus::Counter &counter);
    void add(double amount = 1) const;
    /// Raises the count to @p total, for sources that report totals. One thread only; a lower total is ignored.
    void raiseTo(double total) const;
    double value() const;

private:
    prometheus::Counter *counter;
};

/// Handle of a gauge. Copyable, lock-free, valid as long as its Metrics and its label.
class GaugeHandle
{
public:
    explicit GaugeHandle(prometheus::Gauge &gauge);
    void set(double value) const;
    void add(double amount) const;
    double value() const;

private:
    prometheus::Gauge *gauge;
};

/// Handle of a histogram of durations. Copyable, lock-free, valid as long as its Metrics.
class HistogramHandle
{
public:
    explicit HistogramHandle(LockFreeHistogram &histogram);
    void observe(core::Duration duration) const;

private:
    LockFreeHistogram *histogram;
};

/// The metrics of a daemon and their exposition in the Prometheus text format. metricTable() lists names and labels.
/// Fetching a handle for a server or database takes a lock, so such handles should be fetched once and kept; the other
/// handles are cheap to fetch. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Serves `GET /metrics` on @p address ("ip:port"), on one thread of its own, until destruction. Throws
    /// core::Error(InvalidSetting) if the address cannot be bound.
    void expose(std::string_view address);

    /// All metrics in the text format.
    std::string text() const;

    CounterHandle reads(ReadSource source) const;
    CounterHandle statements(core::Outcome outcome) const;
    CounterHandle refusals(core::ResultCode code) const;
    /// Operations refused because their workspace was over its rate, by the rank of their route.
    CounterHandle rateRefusals(core::PriorityRank rank) const;
    /// Reads that were moved from the nearest server because of the reported loads.
    CounterHandle movedReads() const;
    HistogramHandle failoverGap() const;
    HistogramHandle queueTime() const;
    GaugeHandle slotsInUse(std::string_view server) const;
    GaugeHandle connectionsInUse(std::string_view server) const;
    GaugeHandle term(std::string_view database) const;
    GaugeHandle position(std::string_view database) const;
    GaugeHandle evacuationStage(std::string_view dataCentre) const;
    GaugeHandle configurationRevision() const;
    GaugeHandle storeEra() const;
    CounterHandle controlCpu() const;
    CounterHandle channelBytes(Channel channel, Direction direction) const;
    /// Messages of other daemons that could not be decoded. @p channel is Peer or Gossip.
    CounterHandle unreadableMessages(Channel channel) const;
    GaugeHandle members(MemberState state) const;
    CounterHandle regionBytes(RegionTraffic cause) const;
    CounterHandle storeCalls(StoreCall call) const;
    /// @p reason is one of the values in docs/OPERATIONS.md.
    CounterHandle callersClosed(std::string_view reason) const;
    /// @p what is one of "session", "message", "answer" and "value".
    CounterHandle callersRefused(std::string_view what) const;
    GaugeHandle callerHeldBytes() const;

    /// Removes the gauges of @p server, for example when another daemon becomes the home of the server. Handles to the
    /// gauges become invalid.
    void removeServer(std::string_view server);

    /// Removes the gauges of @p database. Handles to the gauges become invalid.
    void removeDatabase(std::string_view database);

    /// Removes the gauges of @p dataCentre, whose evacuation has ended. Handles to the gauges become invalid.
    void removeDataCentre(std::string_view dataCentre);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
