#include "tools/history.h"

#include "core/json.h"

#include <array>
#include <istream>
#include <ostream>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> KindNames{"write", "read", "transaction", "final"};
constexpr std::array<std::string_view, 3> OutcomeNames{"done", "not_run", "unknown"};

template<typename Names>
std::size_t indexOf(const Names &names, std::string_view name, std::size_t line)
{
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] == name) {
            return index;
        }
    }
    throw core::Error(core::ResultCode::MalformedRequest,
                      "line " + std::to_string(line) + ": unknown event kind or outcome " + std::string(name));
}

json::object toJson(const HistoryEvent &event)
{
    json::array seen;
    for (const std::string &value : event.seen) {
        seen.emplace_back(value);
    }
    return {
        {"kind", eventKindName(event.kind)},
        {"outcome", OutcomeNames[static_cast<std::size_t>(event.outcome)]},
        {"session", event.session},
        {"workspace", event.workspace},
        {"key", event.key},
        {"second_key", event.secondKey},
        {"value", event.value},
        {"seen", std::move(seen)},
        {"server", event.server},
        {"role", event.role},
        {"start_us", event.startUs},
        {"end_us", event.endUs},
        {"term", event.term},
        {"position", event.position},
        {"code", event.code},
        {"attempts", event.attempts},
    };
}

HistoryEvent fromJson(const json::object &object, std::size_t line)
{
    HistoryEvent event;
    event.kind = static_cast<EventKind>(indexOf(KindNames, core::jsonString(object, "kind"), line));
    event.outcome = static_cast<EventOutcome>(indexOf(OutcomeNames, core::jsonString(object, "outcome"), line));
    event.session = core::jsonString(object, "session");
    event.workspace = core::jsonString(object, "workspace");
    event.key = core::jsonString(object, "key");
    event.secondKey = core::jsonString(object, "second_key");
    event.value = core::jsonString(object, "value");
    if (const json::array *seen = core::jsonArray(object, "seen")) {
        for (const json::value &value : *seen) {
            event.seen.emplace_back(value.is_string() ? value.as_string().c_str() : "");
        }
    }
    event.server = core::jsonString(object, "server");
    event.role = core::jsonString(object, "role");
    event.startUs = core::jsonInteger(object, "start_us");
    event.endUs = core::jsonInteger(object, "end_us");
    event.term = static_cast<std::uint64_t>(core::jsonInteger(object, "term"));
    event.position = static_cast<std::uint64_t>(core::jsonInteger(object, "position"));
    event.code = static_cast<int>(core::jsonInteger(object, "code"));
    event.attempts = static_cast<int>(core::jsonInteger(object, "attempts", 1));
    return event;
}

}

EventOutcome eventOutcome(core::Outcome outcome)
{
    switch (outcome) {
    case core::Outcome::Done:
        return EventOutcome::Done;
    case core::Outcome::NotRun:
        return EventOutcome::NotRun;
    case core::Outcome::Unknown:
        break;
    }
    return EventOutcome::Unknown;
}

std::string_view eventKindName(EventKind kind)
{
    return KindNames[static_cast<std::size_t>(kind)];
}

void writeHistory(std::ostream &stream, const std::vector<HistoryEvent> &events)
{
    for (const HistoryEvent &event : events) {
        stream << json::serialize(toJson(event)) << '\n';
    }
}

std::vector<HistoryEvent> readHistory(std::istream &stream)
{
    std::vector<HistoryEvent> events;
    std::string text;
    for (std::size_t line = 1; std::getline(stream, text); ++line) {
        if (text.empty()) {
            continue;
        }
        const json::object object = core::valueOrThrow([&text] { return core::parseJsonObject(text); });
        events.push_back(fromJson(object, line));
    }
    return events;
}

}
