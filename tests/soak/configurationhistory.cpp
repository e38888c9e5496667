#include "configurationhistory.h"

#include <algorithm>
#include <iterator>

namespace endiveshore::tests {

namespace {

bool isInTouch(const ConfigurationHistory &history, const Probe &probe, const HistoryBounds &bounds)
{
    return std::ranges::none_of(history.disturbances, [&](const Disturbance &disturbance) {
        return (!disturbance.daemon || *disturbance.daemon == probe.daemon) && disturbance.from <= probe.answered
            && disturbance.until + bounds.stable >= probe.sent;
    });
}

std::string describe(const Probe &probe, const std::string &text)
{
    return std::to_string(probe.sent.count()) + " ms: daemon " + std::to_string(probe.daemon + 1) + " (process "
        + std::to_string(probe.incarnation) + "): " + text;
}

/// Newest version whose deadline has passed when the probe was sent; 0 for none.
std::uint64_t requiredVersion(const ConfigurationHistory &history, const Probe &probe, const HistoryBounds &bounds)
{
    std::uint64_t required = 0;
    for (const VersionChange &change : history.changes) {
        if (change.acknowledged + bounds.deadline < probe.sent) {
            required = std::max(required, change.version);
        }
    }
    return required;
}

std::uint64_t newestSentBefore(const ConfigurationHistory &history, Moment moment)
{
    std::uint64_t newest = 0;
    for (const VersionChange &change : history.changes) {
        if (change.sent <= moment) {
            newest = std::max(newest, change.version);
        }
    }
    return newest;
}

void checkDeadlines(const ConfigurationHistory &history, const HistoryBounds &bounds, std::vector<std::string> &broken)
{
    for (const Probe &probe : history.probes) {
        const std::uint64_t required = requiredVersion(history, probe, bounds);
        if (!isInTouch(history, probe, bounds)) {
            continue;
        }
        if (probe.served && probe.version < required) {
            broken.push_back(describe(probe,
                                      "handled by version " + std::to_string(probe.version) + "; version "
                                          + std::to_string(required) + " had to be in force"));
        }
        // Only the newest version that was ever sent can be required to be in force exactly.
        if (!probe.served && probe.version == required && newestSentBefore(history, probe.answered) == required) {
            broken.push_back(describe(probe, "not handled by version " + std::to_string(required)));
        }
    }
}

void checkRegress(const ConfigurationHistory &history, const HistoryBounds &bounds, std::vector<std::string> &broken)
{
    std::vector<Probe> served;
    std::ranges::copy_if(history.probes, std::back_inserter(served), [](const Probe &probe) { return probe.served; });
    std::ranges::sort(served, {}, &Probe::answered);
    for (const Probe &probe : served) {
        std::uint64_t seen = 0;
        for (const Probe &earlier : served) {
            if (earlier.answered + bounds.regressSlack >= probe.sent) {
                break;
            }
            if (earlier.daemon == probe.daemon && earlier.incarnation == probe.incarnation) {
                seen = std::max(seen, earlier.version);
            }
        }
        if (probe.version < seen) {
            broken.push_back(describe(probe,
                                      "handled by version " + std::to_string(probe.version) + " after version "
                                          + std::to_string(seen)));
        }
    }
}

}

std::vector<std::string> brokenPromises(const ConfigurationHistory &history, const HistoryBounds &bounds)
{
    std::vector<std::string> broken;
    checkDeadlines(history, bounds, broken);
    checkRegress(history, bounds, broken);
    return broken;
}

}
