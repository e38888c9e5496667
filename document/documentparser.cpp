#include "document/documentparser.h"

#include "document/documentchecks.h"
#include "document/duplicatemembers.h"
#include "document/fieldreaders.h"

#include <array>
#include <cmath>

namespace endiveshore::document {

namespace json = boost::json;

namespace {

// The ranges cover the sizes expected in two years (docs/design.md, section 1), with room for growth.
constexpr IntegerRange SlotRange{.minimum = 1, .maximum = 1'000};
constexpr IntegerRange ConnectionRange{.minimum = 4, .maximum = 100'000};
constexpr IntegerRange AgeRange{.minimum = 0, .maximum = 86'400'000, .unit = "milliseconds"};
constexpr IntegerRange RevisionRange{.minimum = 0, .maximum = std::numeric_limits<std::int64_t>::max()};
constexpr NumberRange RateRange{.minimum = 0.001, .maximum = 1'000'000, .unit = "statements per second"};
constexpr NumberRange BurstRange{.minimum = 1, .maximum = 1'000'000, .unit = "statements"};
constexpr NumberRange WeightRange{.minimum = 0.01, .maximum = 1'000};
constexpr CountRange RegionCount{.minimum = 1, .maximum = 32, .noun = "regions"};
constexpr CountRange DataCentreCount{.minimum = 1, .maximum = 64, .noun = "data centres"};
constexpr CountRange DatabaseCount{.minimum = 1, .maximum = 4'000, .noun = "databases"};
constexpr CountRange ServerCount{.minimum = 3, .maximum = 9, .noun = "servers"};
constexpr CountRange RouteCount{.minimum = 1, .maximum = 1'000, .noun = "routes"};
constexpr CountRange WorkspaceCount{.minimum = 0, .maximum = 1'000, .noun = "workspaces"};

template<typename Pointer>
struct MemberPointer;

template<typename StructType, typename MemberType>
struct MemberPointer<MemberType StructType::*>
{
    using Struct = StructType;
    using Type = MemberType;
};

template<auto Member>
using StructOf = typename MemberPointer<decltype(Member)>::Struct;

template<auto Member>
using TypeOf = typename MemberPointer<decltype(Member)>::Type;

template<auto Member>
ReadResult identifier(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    return readIdentifier(value, path, target.*Member);
}

template<auto Member>
ReadResult label(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    return readLabel(value, path, target.*Member);
}

template<auto Member>
ReadResult address(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    return readAddress(value, path, target.*Member);
}

template<auto Member>
ReadResult boolean(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    return readBoolean(value, path, target.*Member);
}

template<auto Member, const IntegerRange &Range>
ReadResult integer(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    std::int64_t number = 0;
    ReadResult result = readInteger(value, path, Range, number);
    target.*Member = static_cast<TypeOf<Member>>(number);
    return result;
}

template<auto Member, const NumberRange &Range>
ReadResult number(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    return readNumber(value, path, Range, target.*Member);
}

template<auto Member, const CountRange &Range>
ReadResult labels(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    return readList(value, path, Range, target.*Member, readLabel);
}

/// Reads a list of structures by the table @p Fields.
template<auto Member, const CountRange &Range, const auto &Fields>
ReadResult structures(const json::value &value, const std::string &path, StructOf<Member> &target)
{
    using Element = typename TypeOf<Member>::value_type;
    return readList(value,
                    path,
                    Range,
                    target.*Member,
                    [](const json::value &element, const std::string &elementPath, Element &added) {
                        return readObject(element, elementPath, std::span<const Field<Element>>(Fields), added);
                    });
}

ReadResult routeKind(const json::value &value, const std::string &path, Route &target)
{
    const json::string *text = value.if_string();
    if (text == nullptr || (*text != "read" && *text != "write")) {
        return refuse(path, "\"read\" or \"write\" is required, not " + describeValue(value));
    }
    target.kind = *text == "read" ? RouteKind::Read : RouteKind::Write;
    // Default value; the field `repeatable` is read later and overrides it.
    target.repeatable = target.kind == RouteKind::Read;
    return {};
}

ReadResult routeAge(const json::value &value, const std::string &path, Route &target)
{
    std::int64_t milliseconds = 0;
    ReadResult result = readInteger(value, path, AgeRange, milliseconds);
    target.maxAge = std::chrono::milliseconds(milliseconds);
    return result;
}

constexpr std::array RegionFields{
    Field<Region>{"name", true, label<&Region::name>},
    Field<Region>{"data_centres", true, labels<&Region::dataCentres, DataCentreCount>},
};

constexpr std::array ServerFields{
    Field<BackendServer>{"id", true, identifier<&BackendServer::id>},
    Field<BackendServer>{"address", true, address<&BackendServer::address>},
    Field<BackendServer>{"data_centre", true, label<&BackendServer::dataCentre>},
};

constexpr std::array DatabaseFields{
    Field<Database>{"name", true, identifier<&Database::name>},
    Field<Database>{"servers", true, structures<&Database::servers, ServerCount, ServerFields>},
    Field<Database>{"slots", true, integer<&Database::slots, SlotRange>},
    Field<Database>{"connection_limit", true, integer<&Database::connectionLimit, ConnectionRange>},
    Field<Database>{"initial_primary", true, identifier<&Database::initialPrimary>},
};

constexpr std::array RouteFields{
    Field<Route>{"name", true, identifier<&Route::name>},
    Field<Route>{"kind", true, routeKind},
    Field<Route>{"open", false, boolean<&Route::open>},
    Field<Route>{"repeatable", false, boolean<&Route::repeatable>},
    Field<Route>{"max_age_ms", false, routeAge},
};

constexpr std::array WorkspaceFields{
    Field<Workspace>{"name", true, identifier<&Workspace::name>},
    Field<Workspace>{"rate_per_s", true, number<&Workspace::ratePerSecond, RateRange>},
    Field<Workspace>{"burst", true, number<&Workspace::burst, BurstRange>},
    Field<Workspace>{"weight", false, number<&Workspace::weight, WeightRange>},
};

constexpr std::array DocumentFields{
    Field<ServiceDocument>{"service", true, identifier<&ServiceDocument::service>},
    Field<ServiceDocument>{"revision", false, integer<&ServiceDocument::revision, RevisionRange>},
    Field<ServiceDocument>{"regions", true, structures<&ServiceDocument::regions, RegionCount, RegionFields>},
    Field<ServiceDocument>{"databases", true, structures<&ServiceDocument::databases, DatabaseCount, DatabaseFields>},
    Field<ServiceDocument>{"routes", true, structures<&ServiceDocument::routes, RouteCount, RouteFields>},
    Field<ServiceDocument>{
        "workspaces", true, structures<&ServiceDocument::workspaces, WorkspaceCount, WorkspaceFields>},
};

/// JSON number without exponent for whole numbers, as people write them.
json::value numberValue(double number)
{
    if (number == std::floor(number)) {
        return static_cast<std::int64_t>(number);
    }
    return number;
}

json::value toJson(const Region &region)
{
    return {{"name", region.name}, {"data_centres", json::value_from(region.dataCentres)}};
}

json::value toJson(const BackendServer &server)
{
    return {{"id", server.id}, {"address", server.address}, {"data_centre", server.dataCentre}};
}

json::value toJson(const Route &route)
{
    json::object object{
        {"name", route.name},
        {"kind", route.kind == RouteKind::Read ? "read" : "write"},
        {"open", route.open},
        {"repeatable", route.repeatable},
    };
    if (route.maxAge) {
        object["max_age_ms"] = static_cast<std::int64_t>(route.maxAge->count());
    }
    return object;
}

json::value toJson(const Workspace &workspace)
{
    return {{"name", workspace.name},
            {"rate_per_s", numberValue(workspace.ratePerSecond)},
            {"burst", numberValue(workspace.burst)},
            {"weight", numberValue(workspace.weight)}};
}

json::value toJson(const Database &database);

template<typename Item>
json::array listToJson(const std::vector<Item> &items)
{
    json::array list;
    for (const Item &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

json::value toJson(const Database &database)
{
    return {{"name", database.name},
            {"servers", listToJson(database.servers)},
            {"slots", database.slots},
            {"connection_limit", database.connectionLimit},
            {"initial_primary", database.initialPrimary}};
}

}

boost::leaf::result<ServiceDocument> parseServiceDocument(std::string_view text)
{
    if (text.size() > MaxDocumentBytes) {
        return refuse({},
                      "a document of at most " + std::to_string(MaxDocumentBytes) + " bytes is required, not "
                          + std::to_string(text.size()))
            .error();
    }
    json::error_code parseError;
    const json::value value = json::parse({text.data(), text.size()}, parseError);
    if (parseError) {
        return refuse({}, "invalid JSON: " + parseError.message()).error();
    }
    if (std::optional<std::string> duplicate = findDuplicateMember(text)) {
        return refuse(std::move(*duplicate), "the field occurs twice").error();
    }
    ServiceDocument document;
    if (ReadResult result
        = readObject(value, std::string(), std::span<const Field<ServiceDocument>>(DocumentFields), document);
        !result) {
        return result.error();
    }
    if (ReadResult result = checkDocument(document); !result) {
        return result.error();
    }
    return document;
}

std::string serializeServiceDocument(const ServiceDocument &document)
{
    json::object object{{"service", document.service}};
    if (document.revision) {
        object["revision"] = *document.revision;
    }
    object["regions"] = listToJson(document.regions);
    object["databases"] = listToJson(document.databases);
    object["routes"] = listToJson(document.routes);
    object["workspaces"] = listToJson(document.workspaces);
    return json::serialize(object);
}

}
