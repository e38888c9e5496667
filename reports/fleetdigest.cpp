#include "reports/fleetdigest.h"

#include "core/json.h"
#include "reports/serverloads.h"

#include <algorithm>

namespace endiveshore::reports {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

std::size_t countFromJson(const json::object &object, std::string_view name)
{
    return static_cast<std::size_t>(std::max<std::int64_t>(0, core::jsonInteger(object, name)));
}

core::Failure malformed()
{
    return {.code = core::ResultCode::MalformedRequest, .message = "malformed fleet digest"};
}

json::object toJson(const DataCentreSummary &summary)
{
    json::object object{{"n", summary.daemons},
                        {"s", summary.storeAge.count()},
                        {"a", summary.age.count()},
                        {"v", summary.metadataRevision},
                        {"h", json::value_from(summary.revisionHolders)}};
    if (!summary.leaving.empty()) {
        object.emplace("l", json::value_from(summary.leaving));
    }
    return object;
}

DataCentreSummary summaryFromJson(const json::object &object)
{
    const std::vector<std::string> leaving = stringsFromJson(object, "l");
    return {.daemons = countFromJson(object, "n"),
            .storeAge = ageFromJson(object, "s"),
            .age = ageFromJson(object, "a"),
            .metadataRevision = core::jsonInteger(object, "v"),
            .revisionHolders = stringsFromJson(object, "h"),
            .leaving = {leaving.begin(), leaving.end()}};
}

}

json::object toJson(const FleetDigest &digest)
{
    json::object dataCentres;
    for (const auto &[name, summary] : digest.dataCentres) {
        dataCentres.emplace(name, toJson(summary));
    }
    json::object regions;
    for (const auto &[name, region] : digest.regions) {
        json::object encoded{{"n", region.daemons}, {"d", demandToJson(region.demand)}};
        if (json::object ranked = rankedDemandToJson(region.urgentDemand); !ranked.empty()) {
            encoded.emplace("u", std::move(ranked));
        }
        if (region.age) {
            encoded.emplace("a", region.age->count());
        }
        regions.emplace(name, std::move(encoded));
    }
    json::object object{{"i", digest.daemon},
                        {"q", digest.includedSequence},
                        {"c", std::move(dataCentres)},
                        {"g", std::move(regions)},
                        {"r", json::value_from(digest.relays)}};
    if (!digest.promotions.empty()) {
        object.emplace("p", promotionsToJson(digest.promotions));
    }
    object.emplace("t", stampToJson(digest.stamp));
    object.emplace("e", stampToJson(digest.echo));
    object.emplace("f", proofsToJson(digest.proofs));
    if (!digest.serverLoads.empty()) {
        object.emplace("b", serverLoadsToJson(digest.serverLoads));
    }
    return object;
}

bool isFleetDigest(const json::object &object)
{
    return object.contains("g");
}

leaf::result<FleetDigest> fleetDigestFromJson(const json::object &object)
{
    FleetDigest digest;
    digest.daemon = core::jsonString(object, "i");
    const json::object *const dataCentres = core::jsonObject(object, "c");
    const json::object *const regions = core::jsonObject(object, "g");
    if (digest.daemon.empty() || dataCentres == nullptr || regions == nullptr) {
        return leaf::new_error(malformed());
    }
    digest.includedSequence = countFromJson(object, "q");
    for (const auto &entry : *dataCentres) {
        if (!entry.value().is_object()) {
            return leaf::new_error(malformed());
        }
        digest.dataCentres.emplace(entry.key(), summaryFromJson(entry.value().as_object()));
    }
    for (const auto &entry : *regions) {
        const json::object *const region = entry.value().if_object();
        const json::object *const demand = region == nullptr ? nullptr : core::jsonObject(*region, "d");
        if (demand == nullptr) {
            return leaf::new_error(malformed());
        }
        RegionDemand read{.daemons = countFromJson(*region, "n")};
        if (region->contains("a")) {
            read.age = ageFromJson(*region, "a");
        }
        BOOST_LEAF_ASSIGN(read.demand, demandFromJson(*demand));
        BOOST_LEAF_ASSIGN(read.urgentDemand, rankedDemandFromJson(*region, "u"));
        digest.regions.emplace(entry.key(), std::move(read));
    }
    digest.relays = stringsFromJson(object, "r");
    if (const json::object *const promotions = core::jsonObject(object, "p")) {
        BOOST_LEAF_ASSIGN(digest.promotions, promotionsFromJson(*promotions));
    }
    digest.stamp = stampFromJson(object, "t");
    digest.echo = stampFromJson(object, "e");
    if (const json::object *const proofs = core::jsonObject(object, "f")) {
        BOOST_LEAF_ASSIGN(digest.proofs, proofsFromJson(*proofs));
    }
    BOOST_LEAF_ASSIGN(digest.serverLoads, serverLoadsFromJson(object, "b"));
    return digest;
}

}
