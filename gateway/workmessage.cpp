#include "gateway/workmessage.h"

#include "core/json.h"

namespace endiveshore::gateway {

namespace json = boost::json;
namespace leaf = boost::leaf;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;

namespace {

core::Failure malformed(std::string_view what)
{
    return {.code = core::ResultCode::MalformedRequest, .message = "malformed " + std::string(what)};
}

void addText(json::object &object, std::string_view name, const std::string &text)
{
    if (!text.empty()) {
        object.emplace(name, text);
    }
}

void addPosition(json::object &object, std::string_view name, session::LogPosition position)
{
    if (position.term != 0) {
        object.emplace(name, json::array{position.term, position.position});
    }
}

session::LogPosition readPosition(const json::object &object, std::string_view name)
{
    const json::array *const pair = core::jsonArray(object, name);
    if (pair == nullptr || pair->size() != 2) {
        return {};
    }
    boost::system::error_code error;
    const auto term = (*pair)[0].to_number<std::uint64_t>(error);
    if (error) {
        return {};
    }
    const auto position = (*pair)[1].to_number<std::uint64_t>(error);
    if (error) {
        return {};
    }
    return {.term = term, .position = position};
}

std::chrono::milliseconds readMilliseconds(const json::object &object, std::string_view name)
{
    return std::chrono::milliseconds(core::jsonInteger(object, name));
}

template<typename Enumeration>
bool readEnumeration(const json::object &object, std::string_view name, Enumeration last, Enumeration &value)
{
    const std::int64_t number = core::jsonInteger(object, name, 0);
    if (number < 0 || number > static_cast<std::int64_t>(last)) {
        return false;
    }
    value = static_cast<Enumeration>(number);
    return true;
}

}

json::object toJson(const pooling::WorkUnit &unit)
{
    json::object object{{"k", static_cast<int>(unit.kind)}, {"s", unit.server}, {"w", unit.workspace}};
    addText(object, "i", unit.id);
    addText(object, "t", unit.text);
    addText(object, "l", unit.lease);
    if (unit.endsTransaction) {
        object.emplace("c", true);
    }
    if (unit.prepared) {
        object.emplace("p", json::array{unit.prepared->writes, json::string(unit.prepared->shape)});
    }
    if (!unit.values.empty()) {
        json::object values;
        for (const auto &[name, value] : unit.values) {
            values.emplace(name, value);
        }
        object.emplace("v", std::move(values));
    }
    addPosition(object, "m", unit.minimumPosition);
    if (unit.pauseTerm != 0) {
        object.emplace("u", unit.pauseTerm);
    }
    object.emplace("r", static_cast<int>(unit.urgency));
    if (unit.rank) {
        object.emplace("n", *unit.rank);
    }
    object.emplace("q", unit.queueTimeout.count());
    object.emplace("a", unit.statementTimeout.count());
    object.emplace("d", unit.transactionIdleTimeout.count());
    return object;
}

leaf::result<pooling::WorkUnit> workUnitFromJson(const json::object &object)
{
    pooling::WorkUnit unit;
    if (!readEnumeration(object, "k", UnitKind::Resume, unit.kind)
        || !readEnumeration(object, "r", queueing::Priority::StaleRead, unit.urgency)) {
        return leaf::new_error(malformed("unit of work"));
    }
    if (object.contains("n")) {
        unit.rank = core::priorityRank(core::jsonInteger(object, "n", 0));
    }
    unit.server = core::jsonString(object, "s");
    unit.workspace = core::jsonString(object, "w");
    unit.id = core::jsonString(object, "i");
    unit.text = core::jsonString(object, "t");
    unit.lease = core::jsonString(object, "l");
    unit.endsTransaction = core::jsonBool(object, "c");
    if (const json::array *const prepared = core::jsonArray(object, "p")) {
        if (prepared->size() != 2 || !(*prepared)[0].is_bool() || !(*prepared)[1].is_string()) {
            return leaf::new_error(malformed("prepared statement"));
        }
        unit.prepared = pooling::PreparedStatement{.writes = (*prepared)[0].as_bool(),
                                                   .shape = std::string((*prepared)[1].as_string())};
    }
    if (const json::object *const values = core::jsonObject(object, "v")) {
        for (const auto &entry : *values) {
            if (!entry.value().is_string()) {
                return leaf::new_error(malformed("session value"));
            }
            unit.values.emplace(entry.key(), entry.value().as_string());
        }
    }
    unit.minimumPosition = readPosition(object, "m");
    unit.pauseTerm = static_cast<std::uint64_t>(core::jsonInteger(object, "u"));
    unit.queueTimeout = readMilliseconds(object, "q");
    unit.statementTimeout = readMilliseconds(object, "a");
    unit.transactionIdleTimeout = readMilliseconds(object, "d");
    if (unit.server.empty()) {
        return leaf::new_error(malformed("unit of work"));
    }
    return unit;
}

json::object toJson(const pooling::UnitResult &result)
{
    json::object object{{"o", static_cast<int>(result.outcome)}};
    if (result.error != UnitError::None) {
        // Daemons of an older version know the errors up to Other.
        const bool isNewer = result.error > UnitError::Other;
        object.emplace("e", static_cast<int>(isNewer ? UnitError::QueueFull : result.error));
        if (isNewer) {
            object.emplace("y", static_cast<int>(result.error));
        }
    }
    addText(object, "x", result.errorText);
    if (!result.rows.empty()) {
        object.emplace("r", json::value_from(result.rows));
    }
    addText(object, "g", result.signature);
    addText(object, "l", result.lease);
    addPosition(object, "p", result.position);
    if (result.provenPosition) {
        addPosition(object, "v", *result.provenPosition);
        object.emplace("n", result.proofAge.count());
    }
    if (result.transactionFailed) {
        object.emplace("f", true);
    }
    return object;
}

leaf::result<pooling::UnitResult> unitResultFromJson(const json::object &object)
{
    pooling::UnitResult result;
    if (!object.contains("o") || !readEnumeration(object, "o", UnitOutcome::Unknown, result.outcome)
        || !readEnumeration(object, object.contains("y") ? "y" : "e", UnitError::NoAllowedServer, result.error)) {
        return leaf::new_error(malformed("result of a unit of work"));
    }
    result.errorText = core::jsonString(object, "x");
    if (const json::array *const rows = core::jsonArray(object, "r")) {
        for (const json::value &row : *rows) {
            if (!row.is_string()) {
                return leaf::new_error(malformed("row"));
            }
            result.rows.emplace_back(row.as_string());
        }
    }
    result.signature = core::jsonString(object, "g");
    result.lease = core::jsonString(object, "l");
    result.position = readPosition(object, "p");
    const session::LogPosition proven = readPosition(object, "v");
    if (proven.term != 0) {
        result.provenPosition = proven;
        result.proofAge = std::chrono::nanoseconds(core::jsonInteger(object, "n"));
    }
    result.transactionFailed = core::jsonBool(object, "f");
    return result;
}

}
