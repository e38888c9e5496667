#include "reports/serverloads.h"

#include "core/json.h"

#include <algorithm>
#include <array>

namespace endiveshore::reports {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::size_t FieldCount = 5;

core::Failure malformed()
{
    return {.code = core::ResultCode::MalformedRequest, .message = "malformed load of a server"};
}

}

json::object serverLoadsToJson(const routing::ServerLoads &loads)
{
    json::object object;
    for (const auto &[server, load] : loads) {
        object.emplace(server,
                       json::array{load.pressure, load.failing, load.slowness, load.delay.count(), load.age.count()});
    }
    return object;
}

leaf::result<routing::ServerLoads> serverLoadsFromJson(const json::object &object, std::string_view name)
{
    routing::ServerLoads loads;
    const json::object *const encoded = core::jsonObject(object, name);
    if (encoded == nullptr) {
        return loads;
    }
    for (const auto &entry : *encoded) {
        const json::array *const fields = entry.value().if_array();
        if (fields == nullptr || fields->size() < FieldCount) {
            return leaf::new_error(malformed());
        }
        std::array<unsigned, FieldCount> numbers{};
        for (std::size_t field = 0; field < FieldCount; ++field) {
            constexpr std::int64_t Largest = 1'000'000;
            const json::value &number = (*fields)[field];
            if (!number.is_int64() || number.as_int64() < 0) {
                return leaf::new_error(malformed());
            }
            numbers.at(field) = static_cast<unsigned>(std::min(number.as_int64(), Largest));
        }
        loads.emplace(entry.key(),
                      routing::ServerLoad{.pressure = numbers[0],
                                          .failing = numbers[1],
                                          .slowness = numbers[2],
                                          .delay = core::Milliseconds(numbers[3]),
                                          .age = core::Milliseconds(numbers[4])});
    }
    return loads;
}

routing::ServerLoads aged(routing::ServerLoads loads, core::Duration elapsed)
{
    for (auto &[server, load] : loads) {
        load.age += std::chrono::duration_cast<core::Milliseconds>(elapsed);
    }
    return loads;
}

}
