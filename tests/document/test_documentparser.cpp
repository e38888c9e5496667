#include "document/documentparser.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

namespace endiveshore::document {

namespace json = boost::json;

namespace {

constexpr const char *ValidDocument = R"({
  "service": "rota-db", "revision": 12,
  "regions": [{"name": "Asturias", "data_centres": ["Oviedo", "Gijón"]},
              {"name": "Cantabria", "data_centres": ["Santander"]}],
  "databases": [{"name": "coats",
                 "servers": [{"id": "coats-1", "address": "127.0.0.1:25001", "data_centre": "Oviedo"},
                             {"id": "coats-2", "address": "127.0.0.1:25002", "data_centre": "Gijón"},
                             {"id": "coats-3", "address": "127.0.0.1:25003", "data_centre": "Santander"}],
                 "slots": 5, "connection_limit": 30, "initial_primary": "coats-1"},
                {"name": "fittings",
                 "servers": [{"id": "fittings-1", "address": "127.0.0.1:25011", "data_centre": "Oviedo"},
                             {"id": "fittings-2", "address": "127.0.0.1:25012", "data_centre": "Gijón"},
                             {"id": "fittings-3", "address": "127.0.0.1:25013", "data_centre": "Santander"}],
                 "slots": 5, "connection_limit": 30, "initial_primary": "fittings-2"}],
  "routes": [{"name": "availability", "kind": "read", "open": true, "max_age_ms": 1000},
             {"name": "book", "kind": "write", "open": false, "repeatable": false}],
  "workspaces": [{"name": "plaza", "rate_per_s": 50, "burst": 100, "weight": 2},
                 {"name": "museo", "rate_per_s": 0.5, "burst": 1},
                 {"name": "public", "rate_per_s": 10, "burst": 10}]
})";

/// Failure of parsing @p text, with the code Ok if @p text is accepted.
core::Failure failureOf(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<core::Failure> {
            BOOST_LEAF_CHECK(parseServiceDocument(text));
            return core::Failure{.code = core::ResultCode::Ok};
        },
        [](const core::Failure &failure) { return failure; },
        [] { return core::Failure{.code = core::ResultCode::Internal, .message = "no Failure was given"}; });
}

ServiceDocument parseValid(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&] { return parseServiceDocument(text); },
        [](const core::Failure &failure) -> ServiceDocument {
            throw core::Error(failure.code, failure.path + ": " + failure.message);
        },
        []() -> ServiceDocument { throw core::Error(core::ResultCode::Internal, "no Failure was given"); });
}

/// An edit of ValidDocument that makes it invalid: the value at the JSON pointer `pointer` is replaced by `value`, or
/// removed if `value` is empty.
struct Refusal
{
    const char *name;
    std::string pointer;
    std::string value;
    std::string path; ///< Expected path of the failure.
};

void PrintTo(const Refusal &refusal, std::ostream *stream)
{
    *stream << refusal.name;
}

std::string editedDocument(const Refusal &refusal)
{
    json::value root = json::parse(ValidDocument);
    const std::size_t slash = refusal.pointer.rfind('/');
    const std::string last = refusal.pointer.substr(slash + 1);
    json::value &parent = root.at_pointer(refusal.pointer.substr(0, slash));
    if (refusal.value.empty()) {
        EXPECT_EQ(parent.as_object().erase(last), 1U);
    } else if (parent.is_object()) {
        parent.as_object()[last] = json::parse(refusal.value);
    } else if (last == "-") {
        parent.as_array().push_back(json::parse(refusal.value));
    } else {
        parent.as_array().at(std::stoul(last)) = json::parse(refusal.value);
    }
    return json::serialize(root);
}

std::string quoted(std::size_t length)
{
    return "\"" + std::string(length, 'n') + "\"";
}

const std::vector<Refusal> &refusals()
{
    static const std::string Server1 = R"({"id":"coats-9","address":"127.0.0.1:25009","data_centre":"Oviedo"})";
    static const std::vector<Refusal> Table{
        {"UnknownTopField", "/owner", "\"night\"", "owner"},
        {"UnknownServerField", "/databases/0/servers/1/port", "1", "databases[0].servers[1].port"},
        {"UnknownDatabaseField", "/databases/1/slot", "5", "databases[1].slot"},
        {"UnknownRouteField", "/routes/0/max_age_s", "1", "routes[0].max_age_s"},
        {"UnknownWorkspaceField", "/workspaces/0/rate_per_min", "1", "workspaces[0].rate_per_min"},
        {"UnknownRegionField", "/regions/0/zone", "1", "regions[0].zone"},
        {"MissingService", "/service", "", "service"},
        {"MissingRegions", "/regions", "", "regions"},
        {"MissingDatabases", "/databases", "", "databases"},
        {"MissingRoutes", "/routes", "", "routes"},
        {"MissingWorkspaces", "/workspaces", "", "workspaces"},
        {"MissingAddress", "/databases/0/servers/2/address", "", "databases[0].servers[2].address"},
        {"MissingSlots", "/databases/0/slots", "", "databases[0].slots"},
        {"MissingConnectionLimit", "/databases/0/connection_limit", "", "databases[0].connection_limit"},
        {"MissingInitialPrimary", "/databases/1/initial_primary", "", "databases[1].initial_primary"},
        {"MissingKind", "/routes/1/kind", "", "routes[1].kind"},
        {"MissingRate", "/workspaces/0/rate_per_s", "", "workspaces[0].rate_per_s"},
        {"MissingBurst", "/workspaces/0/burst", "", "workspaces[0].burst"},
        {"MissingDataCentres", "/regions/1/data_centres", "", "regions[1].data_centres"},
        {"ServiceNotText", "/service", "7", "service"},
        {"ServiceWithSlash", "/service", "\"a/b\"", "service"},
        {"ServiceEmpty", "/service", "\"\"", "service"},
        {"ServiceTooLong", "/service", quoted(65), "service"},
        {"DatabaseNameEmpty", "/databases/0/name", "\"\"", "databases[0].name"},
        {"DatabaseNameTooLong", "/databases/0/name", quoted(65), "databases[0].name"},
        {"RouteNameWithBlank", "/routes/0/name", "\"a b\"", "routes[0].name"},
        {"RegionNameEmpty", "/regions/0/name", "\"\"", "regions[0].name"},
        {"RegionNameTooLong", "/regions/0/name", quoted(65), "regions[0].name"},
        {"DataCentreWithLineBreak", "/regions/0/data_centres/0", R"("a\nb")", "regions[0].data_centres[0]"},
        {"DataCentreWithSurroundingBlank", "/regions/0/data_centres/1", R"(" Oviedo")", "regions[0].data_centres[1]"},
        {"WorkspaceNameEmpty", "/workspaces/1/name", "\"\"", "workspaces[1].name"},
        {"ServerIdEmpty", "/databases/0/servers/0/id", "\"\"", "databases[0].servers[0].id"},
        {"RevisionNegative", "/revision", "-1", "revision"},
        {"RevisionText", "/revision", "\"12\"", "revision"},
        {"RegionsNotAList", "/regions", "{}", "regions"},
        {"NoRegions", "/regions", "[]", "regions"},
        {"RegionWithoutDataCentres", "/regions/1/data_centres", "[]", "regions[1].data_centres"},
        {"RegionNotAnObject", "/regions/0", "\"Asturias\"", "regions[0]"},
        {"DuplicateRegion", "/regions/1/name", "\"Asturias\"", "regions[1].name"},
        {"DataCentreInTwoRegions", "/regions/1/data_centres/-", "\"Oviedo\"", "regions[1].data_centres[1]"},
        {"DataCentreTwiceInRegion", "/regions/0/data_centres/1", "\"Oviedo\"", "regions[0].data_centres[1]"},
        {"NoDatabases", "/databases", "[]", "databases"},
        {"DuplicateDatabase", "/databases/1/name", "\"coats\"", "databases[1].name"},
        {"ServerInUnlistedDataCentre",
         "/databases/0/servers/2/data_centre",
         "\"Bilbao\"",
         "databases[0].servers[2].data_centre"},
        {"DuplicateServerId", "/databases/1/servers/0/id", "\"coats-2\"", "databases[1].servers[0].id"},
        {"DuplicateServerAddress",
         "/databases/1/servers/2/address",
         "\"127.0.0.1:25001\"",
         "databases[1].servers[2].address"},
        {"AddressWithHostName",
         "/databases/0/servers/0/address",
         "\"localhost:25001\"",
         "databases[0].servers[0].address"},
        {"AddressWithoutPort", "/databases/0/servers/0/address", "\"127.0.0.1\"", "databases[0].servers[0].address"},
        {"AddressPortZero", "/databases/0/servers/0/address", "\"127.0.0.1:0\"", "databases[0].servers[0].address"},
        {"AddressPortTooHigh",
         "/databases/0/servers/0/address",
         "\"127.0.0.1:65536\"",
         "databases[0].servers[0].address"},
        {"AddressNumber", "/databases/0/servers/0/address", "25001", "databases[0].servers[0].address"},
        {"TwoServers",
         "/databases/0/servers",
         "[" + Server1 + R"(,{"id":"coats-8","address":"127.0.0.1:25008","data_centre":"Oviedo"}])",
         "databases[0].servers"},
        {"FourServers", "/databases/0/servers/-", Server1, "databases[0].servers"},
        {"SlotsZero", "/databases/0/slots", "0", "databases[0].slots"},
        {"SlotsTooMany", "/databases/0/slots", "1001", "databases[0].slots"},
        {"SlotsFraction", "/databases/0/slots", "5.5", "databases[0].slots"},
        {"SlotsText", "/databases/0/slots", "\"5\"", "databases[0].slots"},
        {"ConnectionLimitZero", "/databases/0/connection_limit", "0", "databases[0].connection_limit"},
        {"ConnectionLimitTooHigh", "/databases/0/connection_limit", "100001", "databases[0].connection_limit"},
        {"ConnectionLimitBelowTwoHomes", "/databases/0/connection_limit", "11", "databases[0].connection_limit"},
        {"InitialPrimaryOfAnotherDatabase",
         "/databases/0/initial_primary",
         "\"fittings-1\"",
         "databases[0].initial_primary"},
        {"OpenRouteWithoutPublic", "/workspaces/2/name", "\"visitors\"", "routes[0].open"},
        {"NoRoutes", "/routes", "[]", "routes"},
        {"DuplicateRoute", "/routes/1/name", "\"availability\"", "routes[1].name"},
        {"KindUnknown", "/routes/0/kind", "\"Read\"", "routes[0].kind"},
        {"OpenText", "/routes/0/open", "\"yes\"", "routes[0].open"},
        {"RepeatableNumber", "/routes/1/repeatable", "1", "routes[1].repeatable"},
        {"MaxAgeWithUnit", "/routes/0/max_age_ms", "\"1s\"", "routes[0].max_age_ms"},
        {"MaxAgeNegative", "/routes/0/max_age_ms", "-1", "routes[0].max_age_ms"},
        {"MaxAgeFraction", "/routes/0/max_age_ms", "0.5", "routes[0].max_age_ms"},
        {"MaxAgeOverADay", "/routes/0/max_age_ms", "86400001", "routes[0].max_age_ms"},
        {"MaxAgeNull", "/routes/0/max_age_ms", "null", "routes[0].max_age_ms"},
        {"MaxAgeOnWrite", "/routes/1/max_age_ms", "0", "routes[1].max_age_ms"},
        {"DuplicateWorkspace", "/workspaces/1/name", "\"plaza\"", "workspaces[1].name"},
        {"RateZero", "/workspaces/0/rate_per_s", "0", "workspaces[0].rate_per_s"},
        {"RateNegative", "/workspaces/0/rate_per_s", "-5", "workspaces[0].rate_per_s"},
        {"RateTooHigh", "/workspaces/0/rate_per_s", "1e300", "workspaces[0].rate_per_s"},
        {"RateText", "/workspaces/0/rate_per_s", "\"50/s\"", "workspaces[0].rate_per_s"},
        {"BurstBelowOne", "/workspaces/0/burst", "0.9", "workspaces[0].burst"},
        {"WeightZero", "/workspaces/0/weight", "0", "workspaces[0].weight"},
        {"WeightTooHigh", "/workspaces/0/weight", "1001", "workspaces[0].weight"},
    };
    return Table;
}

class RefusalTest : public testing::TestWithParam<Refusal>
{
};

}

// Guards against accepting a document that daemons cannot serve, and against an error message that does not name the
// invalid field.
TEST_P(RefusalTest, NamesThePathOfTheField)
{
    const core::Failure failure = failureOf(editedDocument(GetParam()));
    EXPECT_EQ(failure.code, core::ResultCode::InvalidDocument);
    EXPECT_EQ(failure.path, GetParam().path) << failure.message;
    EXPECT_FALSE(failure.message.empty());
}

INSTANTIATE_TEST_SUITE_P(DocumentParser,
                         RefusalTest,
                         testing::ValuesIn(refusals()),
                         [](const testing::TestParamInfo<Refusal> &info) { return info.param.name; });

// Guards against fields that are read into the wrong member, and against wrong defaults of absent fields.
TEST(DocumentParser, ReadsEveryField)
{
    const ServiceDocument document = parseValid(ValidDocument);
    EXPECT_EQ(document.service, "rota-db");
    EXPECT_EQ(document.revision, 12);
    ASSERT_NE(document.regionOf("Gijón"), nullptr);
    EXPECT_EQ(document.regionOf("Gijón")->name, "Asturias");
    EXPECT_EQ(document.regionOf("Bilbao"), nullptr);

    const Database *database = document.findDatabase("fittings");
    ASSERT_NE(database, nullptr);
    EXPECT_EQ(database->servers[2],
              (BackendServer{.id = "fittings-3", .address = "127.0.0.1:25013", .dataCentre = "Santander"}));
    EXPECT_EQ(database->slots, 5);
    EXPECT_EQ(database->connectionLimit, 30);
    EXPECT_EQ(database->initialPrimary, "fittings-2");

    const Route *read = document.findRoute("availability");
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(*read,
              (Route{.name = "availability",
                     .kind = RouteKind::Read,
                     .open = true,
                     .repeatable = true,
                     .maxAge = std::chrono::milliseconds(1000)}));
    const Route *write = document.findRoute("book");
    ASSERT_NE(write, nullptr);
    EXPECT_EQ(*write, (Route{.name = "book", .kind = RouteKind::Write, .open = false, .repeatable = false}));

    const Workspace *workspace = document.findWorkspace("museo");
    ASSERT_NE(workspace, nullptr);
    EXPECT_EQ(*workspace, (Workspace{.name = "museo", .ratePerSecond = 0.5, .burst = 1, .weight = 1}));
    EXPECT_EQ(document.findWorkspace("plaz"), nullptr);
}

// Guards against a document that changes when the operator command reads it and stores it again.
TEST(DocumentParser, SerializedDocumentReadsBackEqual)
{
    const ServiceDocument document = parseValid(ValidDocument);
    const std::string text = serializeServiceDocument(document);
    EXPECT_EQ(parseValid(text), document);
    EXPECT_EQ(serializeServiceDocument(parseValid(text)), text);
}

// Guards against text that is not a JSON object, is nested too deeply or is too long being passed to the field readers.
TEST(DocumentParser, RefusesTextThatIsNotADocument)
{
    for (const std::string &text : {std::string(),
                                    std::string("{"),
                                    std::string("[]"),
                                    std::string("null"),
                                    std::string(ValidDocument) + "{}",
                                    std::string(ValidDocument) + std::string(MaxDocumentBytes, ' '),
                                    std::string(100'000, '[')}) {
        const core::Failure failure = failureOf(text);
        EXPECT_EQ(failure.code, core::ResultCode::InvalidDocument) << text.substr(0, 40);
        EXPECT_EQ(failure.path, "");
    }
}

// Guards against limits that refuse a document of 1,600 databases, the size expected in two years.
TEST(DocumentParser, AcceptsTheExpectedNumberOfDatabases)
{
    constexpr std::size_t Databases = 1'600;
    ServiceDocument document = parseValid(ValidDocument);
    const Database sample = document.databases.front();
    document.databases.clear();
    for (std::size_t index = 0; index < Databases; ++index) {
        Database database = sample;
        database.name = "covers-in-the-store-" + std::to_string(index);
        for (std::size_t server = 0; server < database.servers.size(); ++server) {
            database.servers[server].id = database.name + "-" + std::to_string(server);
            database.servers[server].address
                = "10.100." + std::to_string(100 + server) + ".200:" + std::to_string(20'000 + index);
        }
        database.initialPrimary = database.servers.front().id;
        document.databases.push_back(std::move(database));
    }
    const std::string text = serializeServiceDocument(document);
    EXPECT_LE(text.size(), MaxDocumentBytes);
    EXPECT_EQ(parseValid(text), document);
}

// Guards against an edit that is silently lost because the edited field occurs twice.
TEST(DocumentParser, RefusesFieldsThatOccurTwice)
{
    const std::string text(ValidDocument);
    const std::pair<std::string, std::string> cases[] = {
        {R"("service": "rota-db",)", "service"},
        {R"("data_centre": "Gijón")", "databases[0].servers[1].data_centre"},
        {R"("max_age_ms": 1000)", "routes[0].max_age_ms"},
        {R"("rate_per_s": 0.5,)", "workspaces[1].rate_per_s"},
    };
    for (const auto &[member, path] : cases) {
        const std::size_t position = text.find(member);
        ASSERT_NE(position, std::string::npos) << member;
        std::string twice = text;
        twice.insert(position, member + (member.ends_with(",") ? "" : ","));
        const core::Failure failure = failureOf(twice);
        EXPECT_EQ(failure.code, core::ResultCode::InvalidDocument) << path;
        EXPECT_EQ(failure.path, path) << failure.message;
    }
}

// Guards against refusing a connection limit that is just sufficient for the old and the new home during a handover.
TEST(DocumentParser, AcceptsTheSmallestConnectionLimitForTwoHomes)
{
    const Refusal edit{"", "/databases/0/connection_limit", "12", ""};
    EXPECT_EQ(failureOf(editedDocument(edit)).code, core::ResultCode::Ok);
}

}
