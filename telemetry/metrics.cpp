#include "telemetry/metrics.h"

#include "core/error.h"
#include "telemetry/lockfreehistogram.h"
#include "telemetry/metricinfo.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace endiveshore::telemetry {

using namespace std::chrono_literals;

namespace {

constexpr std::array<std::string_view, 2> ReadSourceNames{"replica", "primary"};
constexpr std::array<std::string_view, 5> ChannelNames{"caller", "peer", "gossip", "backend", "store"};
constexpr std::array<std::string_view, 2> DirectionNames{"received", "sent"};
constexpr std::array<std::string_view, 4> MemberStateNames{"alive", "suspect", "left", "dead"};
constexpr std::array<std::string_view, 5> RegionTrafficNames{"gossip", "report", "statement", "rate", "metadata"};
constexpr std::array<std::string_view, 6> StoreCallNames{"range", "watch", "swap", "grant", "renew", "end"};
constexpr std::array<std::string_view, 5> CallerCloseReasons{
    "start_timeout", "message_timeout", "write_timeout", "memory", "sessions"};
constexpr std::array<std::string_view, 4> CallerRefusals{"session", "message", "answer", "value"};
constexpr std::array Outcomes{core::Outcome::Done, core::Outcome::NotRun, core::Outcome::Unknown};

// The targets for the failover gap are a median below 2 s and a maximum below 6 s (docs/design.md, section 1).
constexpr std::array<core::Duration, 10> FailoverGapBounds{250ms, 500ms, 1s, 1500ms, 2s, 3s, 4s, 6s, 10s, 30s};
constexpr std::array<core::Duration, 12> QueueTimeBounds{
    1ms, 2ms, 5ms, 10ms, 20ms, 50ms, 100ms, 200ms, 500ms, 1s, 2s, 5s};

// One collector scrapes the metrics every few seconds.
constexpr std::size_t ExposerThreads = 1;

const MetricInfo &infoOf(MetricId id)
{
    return metricTable()[static_cast<std::size_t>(id)];
}

template<typename Builder>
auto &registerFamily(Builder builder, MetricId id, prometheus::Registry &registry)
{
    const MetricInfo &info = infoOf(id);
    return builder.Name(std::string(info.name)).Help(std::string(info.help)).Register(registry);
}

/// Gauges of one family whose label is known only at run time. Thread-safe.
class LabelledGauges
{
public:
    LabelledGauges(MetricId id, prometheus::Registry &registry)
        : labelName(infoOf(id).labels)
        , family(registerFamily(prometheus::BuildGauge(), id, registry))
    {
    }

    prometheus::Gauge &find(std::string_view label)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->gauges.find(label);
        if (found != this->gauges.end()) {
            return *found->second;
        }
        prometheus::Gauge &added = this->family.Add({{this->labelName, std::string(label)}});
        this->gauges.emplace(label, &added);
        return added;
    }

    void remove(std::string_view label)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->gauges.find(label);
        if (found != this->gauges.end()) {
            this->family.Remove(found->second);
            this->gauges.erase(found);
        }
    }

private:
    std::string labelName;
    prometheus::Family<prometheus::Gauge> &family;
    std::mutex mutex;
    std::map<std::string, prometheus::Gauge *, std::less<>> gauges;
};

}

struct Metrics::Impl
{
    Impl()
        : slotsInUse(MetricId::SlotsInUse, *this->registry)
        , connectionsInUse(MetricId::ConnectionsInUse, *this->registry)
        , term(MetricId::Term, *this->registry)
        , position(MetricId::Position, *this->registry)
        , evacuationStage(MetricId::EvacuationStage, *this->registry)
    {
        prometheus::Registry &target = *this->registry;
        auto &readFamily = registerFamily(prometheus::BuildCounter(), MetricId::Reads, target);
        for (std::size_t index = 0; index < ReadSourceNames.size(); ++index) {
            this->reads[index] = &readFamily.Add({{"source", std::string(ReadSourceNames[index])}});
        }
        auto &statementFamily = registerFamily(prometheus::BuildCounter(), MetricId::Statements, target);
        for (std::size_t index = 0; index < Outcomes.size(); ++index) {
            this->statements[index]
                = &statementFamily.Add({{"outcome", std::string(core::outcomeName(Outcomes[index]))}});
        }
        auto &refusalFamily = registerFamily(prometheus::BuildCounter(), MetricId::Refusals, target);
        for (const core::ResultCodeInfo &info : core::resultCodes()) {
            this->refusals[info.code] = &refusalFamily.Add(
                {{"code", std::to_string(static_cast<int>(info.code))}, {"name", std::string(info.name)}});
        }
        auto &rateFamily = registerFamily(prometheus::BuildCounter(), MetricId::RateRefusals, target);
        for (std::size_t rank = 0; rank < core::PriorityRanks; ++rank) {
            this->rateRefusals[rank] = &rateFamily.Add({{"priority", std::to_string(rank)}});
        }
        auto &byteFamily = registerFamily(prometheus::BuildCounter(), MetricId::ChannelBytes, target);
        for (std::size_t channel = 0; channel < ChannelNames.size(); ++channel) {
            for (std::size_t direction = 0; direction < DirectionNames.size(); ++direction) {
                this->channelBytes[channel][direction]
                    = &byteFamily.Add({{"channel", std::string(ChannelNames[channel])},
                                       {"direction", std::string(DirectionNames[direction])}});
            }
        }
        auto &unreadableFamily = registerFamily(prometheus::BuildCounter(), MetricId::UnreadableMessages, target);
        for (const Channel channel : {Channel::Peer, Channel::Gossip}) {
            const std::size_t index = static_cast<std::size_t>(channel);
            this->unreadableMessages[index] = &unreadableFamily.Add({{"channel", std::string(ChannelNames[index])}});
        }
        auto &memberFamily = registerFamily(prometheus::BuildGauge(), MetricId::Members, target);
        for (std::size_t index = 0; index < MemberStateNames.size(); ++index) {
            this->members[index] = &memberFamily.Add({{"state", std::string(MemberStateNames[index])}});
        }
        auto &regionFamily = registerFamily(prometheus::BuildCounter(), MetricId::RegionBytes, target);
        for (std::size_t index = 0; index < RegionTrafficNames.size(); ++index) {
            this->regionBytes[index] = &regionFamily.Add({{"cause", std::string(RegionTrafficNames[index])}});
        }
        auto &storeFamily = registerFamily(prometheus::BuildCounter(), MetricId::StoreCalls, target);
        for (std::size_t index = 0; index < StoreCallNames.size(); ++index) {
            this->storeCalls[index] = &storeFamily.Add({{"call", std::string(StoreCallNames[index])}});
        }
        auto &closedFamily = registerFamily(prometheus::BuildCounter(), MetricId::CallersClosed, target);
        for (const std::string_view reason : CallerCloseReasons) {
            this->callersClosed.emplace(reason, &closedFamily.Add({{"reason", std::string(reason)}}));
        }
        auto &refusedFamily = registerFamily(prometheus::BuildCounter(), MetricId::CallersRefused, target);
        for (const std::string_view what : CallerRefusals) {
            this->callersRefused.emplace(what, &refusedFamily.Add({{"what", std::string(what)}}));
        }
        this->callerHeldBytes = &registerFamily(prometheus::BuildGauge(), MetricId::CallerHeldBytes, target).Add({});
        this->revision = &registerFamily(prometheus::BuildGauge(), MetricId::ConfigurationRevision, target).Add({});
        this->storeEra = &registerFamily(prometheus::BuildGauge(), MetricId::StoreEra, target).Add({});
        this->movedReads = &registerFamily(prometheus::BuildCounter(), MetricId::MovedReads, target).Add({});
        this->controlCpu = &registerFamily(prometheus::BuildCounter(), MetricId::ControlCpu, target).Add({});
    }

    std::array<std::shared_ptr<prometheus::Collectable>, 3> collectables() const
    {
        return {this->registry, this->failoverGap, this->queueTime};
    }

    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    std::shared_ptr<LockFreeHistogram> failoverGap
        = std::make_shared<LockFreeHistogram>(infoOf(MetricId::FailoverGap), FailoverGapBounds);
    std::shared_ptr<LockFreeHistogram> queueTime
        = std::make_shared<LockFreeHistogram>(infoOf(MetricId::QueueTime), QueueTimeBounds);
    LabelledGauges slotsInUse;
    LabelledGauges connectionsInUse;
    LabelledGauges term;
    LabelledGauges position;
    LabelledGauges evacuationStage;
    std::array<prometheus::Counter *, ReadSourceNames.size()> reads{};
    std::array<prometheus::Counter *, Outcomes.size()> statements{};
    std::map<core::ResultCode, prometheus::Counter *> refusals; ///< Never changes after construction.
    std::array<prometheus::Counter *, core::PriorityRanks> rateRefusals{};
    std::array<std::array<prometheus::Counter *, DirectionNames.size()>, ChannelNames.size()> channelBytes{};
    std::array<prometheus::Counter *, ChannelNames.size()> unreadableMessages{}; ///< Null for other channels.
    std::array<prometheus::Gauge *, MemberStateNames.size()> members{};
    std::array<prometheus::Counter *, RegionTrafficNames.size()> regionBytes{};
    std::array<prometheus::Counter *, StoreCallNames.size()> storeCalls{};
    std::map<std::string_view, prometheus::Counter *> callersClosed; ///< Never changes after construction.
    std::map<std::string_view, prometheus::Counter *> callersRefused; ///< Never changes after construction.
    prometheus::Gauge *callerHeldBytes = nullptr;
    prometheus::Gauge *revision = nullptr;
    prometheus::Gauge *storeEra = nullptr;
    prometheus::Counter *movedReads = nullptr;
    prometheus::Counter *controlCpu = nullptr;
    std::unique_ptr<prometheus::Exposer> exposer;
};

CounterHandle::CounterHandle(prometheus::Counter &counter)
    : counter(&counter)
{
}

void CounterHandle::add(double amount) const
{
    this->counter->Increment(amount);
}

void CounterHandle::raiseTo(double total) const
{
    const double missing = total - this->counter->Value();
    if (missing > 0) {
        this->counter->Increment(missing);
    }
}

double CounterHandle::value() const
{
    return this->counter->Value();
}

GaugeHandle::GaugeHandle(prometheus::Gauge &gauge)
    : gauge(&gauge)
{
}

void GaugeHandle::set(double value) const
{
    this->gauge->Set(value);
}

void GaugeHandle::add(double amount) const
{
    this->gauge->Increment(amount);
}

double GaugeHandle::value() const
{
    return this->gauge->Value();
}

HistogramHandle::HistogramHandle(LockFreeHistogram &histogram)
    : histogram(&histogram)
{
}

void HistogramHandle::observe(core::Duration duration) const
{
    this->histogram->observe(duration);
}

Metrics::Metrics()
    : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::expose(std::string_view address)
{
    try {
        this->impl->exposer = std::make_unique<prometheus::Exposer>(std::string(address), ExposerThreads);
    } catch (const std::exception &error) {
        throw core::Error(core::ResultCode::InvalidSetting,
                          "metrics cannot be served on " + std::string(address) + ": " + error.what());
    }
    for (const std::shared_ptr<prometheus::Collectable> &collectable : this->impl->collectables()) {
        this->impl->exposer->RegisterCollectable(collectable);
    }
}

std::string Metrics::text() const
{
    std::vector<prometheus::MetricFamily> families;
    for (const std::shared_ptr<prometheus::Collectable> &collectable : this->impl->collectables()) {
        for (prometheus::MetricFamily &family : collectable->Collect()) {
            families.push_back(std::move(family));
        }
    }
    std::ostringstream stream;
    prometheus::TextSerializer().Serialize(stream, families);
    return stream.str();
}

CounterHandle Metrics::reads(ReadSource source) const
{
    return CounterHandle(*this->impl->reads[static_cast<std::size_t>(source)]);
}

CounterHandle Metrics::statements(core::Outcome outcome) const
{
    return CounterHandle(*this->impl->statements[static_cast<std::size_t>(outcome)]);
}

CounterHandle Metrics::refusals(core::ResultCode code) const
{
    return CounterHandle(*this->impl->refusals.at(core::resultCodeInfo(code).code));
}

CounterHandle Metrics::rateRefusals(core::PriorityRank rank) const
{
    return CounterHandle(*this->impl->rateRefusals.at(rank));
}

CounterHandle Metrics::movedReads() const
{
    return CounterHandle(*this->impl->movedReads);
}

HistogramHandle Metrics::failoverGap() const
{
    return HistogramHandle(*this->impl->failoverGap);
}

HistogramHandle Metrics::queueTime() const
{
    return HistogramHandle(*this->impl->queueTime);
}

GaugeHandle Metrics::slotsInUse(std::string_view server) const
{
    return GaugeHandle(this->impl->slotsInUse.find(server));
}

GaugeHandle Metrics::connectionsInUse(std::string_view server) const
{
    return GaugeHandle(this->impl->connectionsInUse.find(server));
}

GaugeHandle Metrics::term(std::string_view database) const
{
    return GaugeHandle(this->impl->term.find(database));
}

GaugeHandle Metrics::position(std::string_view database) const
{
    return GaugeHandle(this->impl->position.find(database));
}

GaugeHandle Metrics::evacuationStage(std::string_view dataCentre) const
{
    return GaugeHandle(this->impl->evacuationStage.find(dataCentre));
}

GaugeHandle Metrics::configurationRevision() const
{
    return GaugeHandle(*this->impl->revision);
}

GaugeHandle Metrics::storeEra() const
{
    return GaugeHandle(*this->impl->storeEra);
}

CounterHandle Metrics::controlCpu() const
{
    return CounterHandle(*this->impl->controlCpu);
}

CounterHandle Metrics::channelBytes(Channel channel, Direction direction) const
{
    return CounterHandle(
        *this->impl->channelBytes[static_cast<std::size_t>(channel)][static_cast<std::size_t>(direction)]);
}

CounterHandle Metrics::unreadableMessages(Channel channel) const
{
    return CounterHandle(*this->impl->unreadableMessages.at(static_cast<std::size_t>(channel)));
}

GaugeHandle Metrics::members(MemberState state) const
{
    return GaugeHandle(*this->impl->members[static_cast<std::size_t>(state)]);
}

CounterHandle Metrics::regionBytes(RegionTraffic cause) const
{
    return CounterHandle(*this->impl->regionBytes[static_cast<std::size_t>(cause)]);
}

CounterHandle Metrics::storeCalls(StoreCall call) const
{
    return CounterHandle(*this->impl->storeCalls[static_cast<std::size_t>(call)]);
}

CounterHandle Metrics::callersClosed(std::string_view reason) const
{
    return CounterHandle(*this->impl->callersClosed.at(reason));
}

CounterHandle Metrics::callersRefused(std::string_view what) const
{
    return CounterHandle(*this->impl->callersRefused.at(what));
}

GaugeHandle Metrics::callerHeldBytes() const
{
    return GaugeHandle(*this->impl->callerHeldBytes);
}

void Metrics::removeServer(std::string_view server)
{
    this->impl->slotsInUse.remove(server);
    this->impl->connectionsInUse.remove(server);
}

void Metrics::removeDatabase(std::string_view database)
{
    this->impl->term.remove(database);
    this->impl->position.remove(database);
}

void Metrics::removeDataCentre(std::string_view dataCentre)
{
    this->impl->evacuationStage.remove(dataCentre);
}

}
