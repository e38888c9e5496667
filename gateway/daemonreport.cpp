#include "gateway/daemonreport.h"

#include "core/json.h"

#include <algorithm>
#include <cmath>

namespace endiveshore::gateway {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// Demand is sent as an integer in tenths of an operation per second, which keeps the datagram short.
constexpr double DemandScale = 10;

}

json::object toJson(const DaemonReport &report)
{
    json::object demand;
    for (const auto &[workspace, rate] : report.demand) {
        const auto scaled = static_cast<std::int64_t>(std::llround(rate * DemandScale));
        if (scaled > 0) {
            demand.emplace(workspace, scaled);
        }
    }
    json::object promotions;
    for (const auto &[service, promotion] : report.promotions) {
        promotions.emplace(service, json::array{json::string(promotion.server), promotion.fence});
    }
    json::object object{
        {"i", report.daemon}, {"d", std::move(demand)}, {"v", report.metadataRevision}, {"s", report.storeAge.count()}};
    if (!report.dataCentre.empty()) {
        object.emplace("z", report.dataCentre);
        object.emplace("n", report.daemons);
    }
    if (!report.leaving.empty()) {
        object.emplace("l", json::value_from(report.leaving));
    }
    if (!promotions.empty()) {
        object.emplace("p", std::move(promotions));
    }
    return object;
}

leaf::result<DaemonReport> daemonReportFromJson(const json::object &object)
{
    const auto malformed = [] {
        return core::Failure{.code = core::ResultCode::MalformedRequest, .message = "malformed daemon report"};
    };
    DaemonReport report;
    report.daemon = core::jsonString(object, "i");
    const json::object *const demand = core::jsonObject(object, "d");
    if (report.daemon.empty() || demand == nullptr) {
        return leaf::new_error(malformed());
    }
    for (const auto &entry : *demand) {
        if (!entry.value().is_int64() || entry.value().as_int64() < 0) {
            return leaf::new_error(malformed());
        }
        report.demand.emplace(entry.key(), static_cast<double>(entry.value().as_int64()) / DemandScale);
    }
    report.metadataRevision = core::jsonInteger(object, "v");
    report.storeAge = core::Milliseconds(core::jsonInteger(object, "s"));
    report.dataCentre = core::jsonString(object, "z");
    report.daemons = static_cast<std::size_t>(std::max<std::int64_t>(1, core::jsonInteger(object, "n", 1)));
    const json::array *const leaving = core::jsonArray(object, "l");
    for (const json::value &daemon : leaving == nullptr ? json::array() : *leaving) {
        if (daemon.is_string()) {
            report.leaving.emplace(daemon.as_string());
        }
    }
    if (const json::object *const promotions = core::jsonObject(object, "p")) {
        for (const auto &entry : *promotions) {
            const json::array *const pair = entry.value().if_array();
            if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_number()) {
                return leaf::new_error(malformed());
            }
            report.promotions.emplace(
                entry.key(),
                failover::PrimaryTracker::Promotion{.server = std::string((*pair)[0].as_string()),
                                                    .fence = (*pair)[1].to_number<std::uint64_t>()});
        }
    }
    return report;
}

}
