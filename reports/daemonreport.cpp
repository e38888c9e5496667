#include "reports/daemonreport.h"

#include "core/json.h"
#include "reports/serverloads.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace endiveshore::reports {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// Tenths of an operation per second.
constexpr double DemandScale = 10;

core::Failure malformed()
{
    return {.code = core::ResultCode::MalformedRequest, .message = "malformed daemon report"};
}

std::set<std::string, std::less<>> asSet(std::vector<std::string> items)
{
    return {std::make_move_iterator(items.begin()), std::make_move_iterator(items.end())};
}

}

json::object demandToJson(const limits::Demand &demand)
{
    json::object object;
    for (const auto &[workspace, rate] : demand) {
        const auto scaled = static_cast<std::int64_t>(std::llround(rate * DemandScale));
        if (scaled > 0) {
            object.emplace(workspace, scaled);
        }
    }
    return object;
}

json::object rankedDemandToJson(const limits::RankedDemand &demand)
{
    json::object object;
    for (const auto &[workspace, ranks] : demand) {
        json::array rates;
        std::size_t used = 0;
        for (const double rate : ranks) {
            rates.emplace_back(static_cast<std::int64_t>(std::llround(rate * DemandScale)));
            used = rates.back().as_int64() > 0 ? rates.size() : used;
        }
        rates.resize(used);
        if (used > 0) {
            object.emplace(workspace, std::move(rates));
        }
    }
    return object;
}

json::object promotionsToJson(const Promotions &promotions)
{
    json::object object;
    for (const auto &[service, promotion] : promotions) {
        object.emplace(service, json::array{json::string(promotion.server), promotion.fence});
    }
    return object;
}

json::array stampToJson(const session::ClockStamp &stamp)
{
    return {stamp.process, stamp.milliseconds};
}

json::object proofsToJson(const session::AgedProofs &proofs)
{
    json::object object;
    for (const auto &[service, proof] : proofs) {
        object.emplace(service, json::array{proof.position.term, proof.position.position, proof.age.count()});
    }
    return object;
}

session::ClockStamp stampFromJson(const json::object &object, std::string_view name)
{
    const json::array *const fields = core::jsonArray(object, name);
    if (fields == nullptr || fields->size() != 2) {
        return {};
    }
    json::error_code processError;
    json::error_code timeError;
    const session::ClockStamp stamp{.process = (*fields)[0].to_number<std::uint64_t>(processError),
                                    .milliseconds = (*fields)[1].to_number<std::int64_t>(timeError)};
    return processError || timeError ? session::ClockStamp() : stamp;
}

leaf::result<session::AgedProofs> proofsFromJson(const json::object &object)
{
    session::AgedProofs proofs;
    for (const auto &entry : object) {
        const json::array *const fields = entry.value().if_array();
        if (fields == nullptr || fields->size() != 3) {
            return leaf::new_error(malformed());
        }
        std::array<json::error_code, 3> errors;
        const session::AgedProof proof{.position = {.term = (*fields)[0].to_number<std::uint64_t>(errors[0]),
                                                    .position = (*fields)[1].to_number<std::uint64_t>(errors[1])},
                                       .age = core::Milliseconds((*fields)[2].to_number<std::int64_t>(errors[2]))};
        const bool isReadable
            = std::ranges::none_of(errors, [](const json::error_code &error) { return error.failed(); });
        if (!isReadable || proof.age < core::Milliseconds::zero()) {
            return leaf::new_error(malformed());
        }
        proofs.emplace(entry.key(), proof);
    }
    return proofs;
}

leaf::result<limits::Demand> demandFromJson(const json::object &object)
{
    limits::Demand demand;
    for (const auto &entry : object) {
        if (!entry.value().is_int64() || entry.value().as_int64() < 0) {
            return leaf::new_error(malformed());
        }
        demand.emplace(entry.key(), static_cast<double>(entry.value().as_int64()) / DemandScale);
    }
    return demand;
}

leaf::result<limits::RankedDemand> rankedDemandFromJson(const json::object &object, std::string_view name)
{
    limits::RankedDemand demand;
    const json::object *const encoded = core::jsonObject(object, name);
    if (encoded == nullptr) {
        return demand;
    }
    for (const auto &entry : *encoded) {
        const json::array *const rates = entry.value().if_array();
        if (rates == nullptr || rates->size() > core::PriorityRanks) {
            return leaf::new_error(malformed());
        }
        limits::RankRates &ranks = demand[entry.key()];
        for (std::size_t rank = 0; rank < rates->size(); ++rank) {
            const json::value &rate = (*rates)[rank];
            if (!rate.is_int64() || rate.as_int64() < 0) {
                return leaf::new_error(malformed());
            }
            ranks.at(rank) = static_cast<double>(rate.as_int64()) / DemandScale;
        }
    }
    return demand;
}

leaf::result<Promotions> promotionsFromJson(const json::object &object)
{
    Promotions promotions;
    for (const auto &entry : object) {
        const json::array *const pair = entry.value().if_array();
        if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_number()) {
            return leaf::new_error(malformed());
        }
        json::error_code conversionError;
        const auto fence = (*pair)[1].to_number<std::uint64_t>(conversionError);
        if (conversionError) {
            return leaf::new_error(malformed());
        }
        promotions.emplace(
            entry.key(),
            failover::PrimaryTracker::Promotion{.server = std::string((*pair)[0].as_string()), .fence = fence});
    }
    return promotions;
}

core::Milliseconds ageFromJson(const json::object &object, std::string_view name)
{
    constexpr std::int64_t Longest = std::chrono::milliseconds(std::chrono::hours(24)).count();
    return core::Milliseconds(std::clamp<std::int64_t>(core::jsonInteger(object, name), 0, Longest));
}

std::vector<std::string> stringsFromJson(const json::object &object, std::string_view name)
{
    std::vector<std::string> strings;
    const json::array *const items = core::jsonArray(object, name);
    if (items == nullptr) {
        return strings;
    }
    for (const json::value &item : *items) {
        if (item.is_string()) {
            strings.emplace_back(item.as_string());
        }
    }
    return strings;
}

json::object toJson(const DaemonReport &report)
{
    json::object object{{"i", report.daemon},
                        {"d", demandToJson(report.demand)},
                        {"v", report.metadataRevision},
                        {"s", report.storeAge.count()}};
    if (json::object ranked = rankedDemandToJson(report.urgentDemand); !ranked.empty()) {
        object.emplace("u", std::move(ranked));
    }
    if (!report.dataCentre.empty()) {
        object.emplace("z", report.dataCentre);
        object.emplace("n", report.daemons);
    }
    if (report.sequence != 0) {
        object.emplace("q", report.sequence);
    }
    if (report.wantsDigest) {
        object.emplace("w", true);
    }
    if (!report.revisionHolders.empty()) {
        object.emplace("h", json::value_from(report.revisionHolders));
    }
    if (!report.leaving.empty()) {
        object.emplace("l", json::value_from(report.leaving));
    }
    if (!report.promotions.empty()) {
        object.emplace("p", promotionsToJson(report.promotions));
    }
    if (report.stamp.process != 0) {
        object.emplace("t", stampToJson(report.stamp));
    }
    if (report.echo.process != 0) {
        object.emplace("e", stampToJson(report.echo));
    }
    if (!report.proofs.empty()) {
        object.emplace("f", proofsToJson(report.proofs));
    }
    if (!report.serverLoads.empty()) {
        object.emplace("b", serverLoadsToJson(report.serverLoads));
    }
    return object;
}

leaf::result<DaemonReport> daemonReportFromJson(const json::object &object)
{
    DaemonReport report;
    report.daemon = core::jsonString(object, "i");
    const json::object *const demand = core::jsonObject(object, "d");
    if (report.daemon.empty() || demand == nullptr) {
        return leaf::new_error(malformed());
    }
    BOOST_LEAF_ASSIGN(report.demand, demandFromJson(*demand));
    BOOST_LEAF_ASSIGN(report.urgentDemand, rankedDemandFromJson(object, "u"));
    report.metadataRevision = core::jsonInteger(object, "v");
    report.storeAge = ageFromJson(object, "s");
    report.dataCentre = core::jsonString(object, "z");
    report.daemons = static_cast<std::size_t>(std::max<std::int64_t>(1, core::jsonInteger(object, "n", 1)));
    report.sequence = static_cast<std::uint64_t>(std::max<std::int64_t>(0, core::jsonInteger(object, "q")));
    report.wantsDigest = core::jsonBool(object, "w");
    report.revisionHolders = stringsFromJson(object, "h");
    report.leaving = asSet(stringsFromJson(object, "l"));
    if (const json::object *const promotions = core::jsonObject(object, "p")) {
        BOOST_LEAF_ASSIGN(report.promotions, promotionsFromJson(*promotions));
    }
    report.stamp = stampFromJson(object, "t");
    report.echo = stampFromJson(object, "e");
    if (const json::object *const proofs = core::jsonObject(object, "f")) {
        BOOST_LEAF_ASSIGN(report.proofs, proofsFromJson(*proofs));
    }
    BOOST_LEAF_ASSIGN(report.serverLoads, serverLoadsFromJson(object, "b"));
    return report;
}

}
