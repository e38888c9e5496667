#include "daemon/daemon.h"
#include "daemon/daemondetail.h"

#include <boost/asio/post.hpp>

#include <array>

/// Metrics of the daemon that are sampled at an interval or when a group's status changes.
namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

constexpr core::Milliseconds MetricsInterval{1'000};

struct StateMapping
{
    membership::MemberState state;
    telemetry::MemberState label;
};

constexpr std::array StateMappings{
    StateMapping{membership::MemberState::Alive, telemetry::MemberState::Alive},
    StateMapping{membership::MemberState::Suspect, telemetry::MemberState::Suspect},
    StateMapping{membership::MemberState::Left, telemetry::MemberState::Left},
    StateMapping{membership::MemberState::Dead, telemetry::MemberState::Dead},
};

}

void Daemon::onGroupStatus(const GroupStatus &status)
{
    this->metrics.term(status.database).set(static_cast<double>(status.term));
    for (const MonitoredServer &server : status.servers) {
        if (server.answered && server.report.primary) {
            this->metrics.position(status.database).set(static_cast<double>(server.report.position));
        }
    }
    const auto suspected = this->suspectedSince.find(status.database);
    if (status.primarySuspected) {
        this->suspectedSince.try_emplace(status.database, core::Clock::now());
        return;
    }
    if (suspected != this->suspectedSince.end()) {
        this->metrics.failoverGap().observe(core::Clock::now() - suspected->second);
        this->suspectedSince.erase(suspected);
    }
}

void Daemon::updateMetrics(core::TimePoint now)
{
    if (now < this->nextMetrics) {
        return;
    }
    this->nextMetrics = now + MetricsInterval;
    this->metrics.controlCpu().raiseTo(threadCpuSeconds());
    const net::UdpCounters &gossipCounters = this->gossip->counters();
    this->metrics.channelBytes(telemetry::Channel::Gossip, telemetry::Direction::Received)
        .raiseTo(static_cast<double>(gossipCounters.bytesIn));
    this->metrics.channelBytes(telemetry::Channel::Gossip, telemetry::Direction::Sent)
        .raiseTo(static_cast<double>(gossipCounters.bytesOut));
    for (const StateMapping &mapping : StateMappings) {
        double count = 0;
        for (const membership::Member &member : this->state.members) {
            count += member.state == mapping.state ? 1 : 0;
        }
        this->metrics.members(mapping.label).set(count);
    }
    this->updateHomeMetrics();
}

void Daemon::updateHomeMetrics()
{
    for (TrafficThread *thread : this->traffic->allThreads()) {
        asio::post(thread->executor(), [this, thread] {
            for (const auto &[server, home] : thread->homes().homes()) {
                this->metrics.slotsInUse(server).set(home->slotsInUse());
                this->metrics.connectionsInUse(server).set(home->connectionCounters().open);
            }
        });
    }
}

}
