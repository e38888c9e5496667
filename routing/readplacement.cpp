#include "routing/readplacement.h"

#include <algorithm>
#include <cmath>

namespace endiveshore::routing {

namespace {

/// Older loads are unknown. Covers the loss of a few reports in a row.
constexpr core::Milliseconds MaximumAge{1'500};
/// Pressure in percent up to which a server keeps all its reads: a statement then hardly waits for a slot.
constexpr double FullPressure = 70;
/// Pressure assumed for a server without a load.
constexpr double IdlePressure = 30;
/// Exponent of the change of a share in one step. Reads that move show in the reports two steps later, so that a larger
/// exponent makes the shares swing.
constexpr double StepExponent = 0.4;
/// Reports that follow each other sooner do not change the shares again.
constexpr core::Milliseconds StepInterval{200};
/// Smallest share: the reads by which the state of a server shows.
constexpr double SmallestShare = 0.02;
/// Failures up to this part are those of single statements and do not move reads.
constexpr double AcceptedFailing = 0.15;
/// A server that fails half of its statements keeps an eighth of its reads.
constexpr double FailureExponent = 5;
/// Run times up to this multiple of the usual time are those of other statements and do not move reads.
constexpr double AcceptedSlowness = 2;
/// Shorter delays are too short for callers to notice.
constexpr core::Milliseconds AcceptedDelay{20};
/// A server that takes five times as long as usual keeps a tenth of its reads.
constexpr double SlownessExponent = 3;
/// Longer round trips lead to another region. Reads cross it only if they wait longer on this side.
constexpr core::Milliseconds NearTravel{5};

double healthOf(const ServerLoad *load)
{
    constexpr double Percent = 100;
    const double failing = load == nullptr ? 0 : std::clamp(load->failing / Percent - AcceptedFailing, 0.0, 1.0);
    const double slowness = load == nullptr || load->delay < AcceptedDelay ? 1 : load->slowness / Percent;
    const double speed = std::min(1.0, AcceptedSlowness / std::max(1.0, slowness));
    return std::max(SmallestShare, std::pow(1 - failing, FailureExponent) * std::pow(speed, SlownessExponent));
}

}

void ReadPlacement::update(const ServerLoads &newLoads, std::span<const Group> groups, core::TimePoint now)
{
    this->loads = newLoads;
    this->updatedAt = now;
    if (now - this->adjustedAt < StepInterval) {
        return;
    }
    this->adjustedAt = now;
    Shares next;
    for (const Group &group : groups) {
        this->adjust(group, next, now);
    }
    this->sharesByPressure = std::move(next);
}

const ServerLoad *ReadPlacement::load(std::string_view server, core::TimePoint now) const
{
    const auto found = this->loads.find(server);
    const bool isKnown = found != this->loads.end() && now - this->updatedAt + found->second.age <= MaximumAge;
    return isKnown ? &found->second : nullptr;
}

double ReadPlacement::share(std::string_view server, core::TimePoint now) const
{
    if (now - this->updatedAt > MaximumAge) {
        return 1;
    }
    const auto found = this->sharesByPressure.find(server);
    const double byPressure = found == this->sharesByPressure.end() ? 1 : found->second;
    return std::max(SmallestShare, byPressure * healthOf(this->load(server, now)));
}

void ReadPlacement::adjust(const Group &group, Shares &next, core::TimePoint now) const
{
    const auto pressureOf = [&](std::string_view server) {
        const ServerLoad *const known = this->load(server, now);
        return known == nullptr ? IdlePressure : std::max<double>(IdlePressure, known->pressure);
    };
    double sum = 0;
    for (const std::string_view server : group) {
        sum += pressureOf(server);
    }
    // While all servers are overloaded, their pressures become equal rather than all shares small.
    const double aim = std::max(FullPressure, sum / static_cast<double>(std::max<std::size_t>(1, group.size())));
    for (const std::string_view server : group) {
        if (this->loads.contains(server) && this->load(server, now) == nullptr) {
            // The home no longer reports, so that nothing is known of the server.
            continue;
        }
        const auto found = this->sharesByPressure.find(server);
        const double before = found == this->sharesByPressure.end() ? 1 : found->second;
        const double after = std::max(SmallestShare, before * std::pow(aim / pressureOf(server), StepExponent));
        if (after < 1) {
            next.emplace(server, after);
        }
    }
}

double ReadPlacement::crossingPart(std::span<const PlacementCandidate> candidates,
                                   const PlacementCandidate &candidate,
                                   core::TimePoint now) const
{
    double part = 1;
    for (const PlacementCandidate &nearer : candidates) {
        const core::Milliseconds farther = candidate.travel - nearer.travel;
        if (farther <= NearTravel) {
            continue;
        }
        const ServerLoad *const known = this->load(nearer.server, now);
        const core::Milliseconds delay = known == nullptr ? core::Milliseconds::zero() : known->delay;
        part = std::min(part, static_cast<double>(delay.count()) / (2.0 * static_cast<double>(farther.count())));
    }
    return part;
}

std::size_t ReadPlacement::choose(std::span<const PlacementCandidate> candidates,
                                  std::mt19937_64 &random,
                                  core::TimePoint now) const
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<double> weights(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double kept = this->share(candidates[index].server, now);
        if (index == 0 && kept >= 1) {
            break;
        }
        const double crossing = this->crossingPart(candidates, candidates[index], now);
        if (uniform(random) < kept * crossing) {
            return index;
        }
        // A read that no server keeps waits on this side rather than crossing to another region.
        weights[index] = crossing >= 1 ? kept : 0;
    }
    if (std::ranges::none_of(weights, [](double weight) { return weight > 0; })) {
        return 0;
    }
    std::discrete_distribution<std::size_t> among(weights.begin(), weights.end());
    return among(random);
}

}
