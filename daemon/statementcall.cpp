#include "daemon/statementcall.h"

#include "core/json.h"

#include <algorithm>

namespace endiveshore::daemon {

namespace json = boost::json;

json::array termStartsToJson(const std::vector<session::TermStart> &termStarts)
{
    json::array message;
    for (const session::TermStart &termStart : termStarts) {
        message.push_back(json::array{termStart.term, termStart.start});
    }
    return message;
}

std::vector<session::TermStart> termStartsFromJson(const json::array *message)
{
    std::vector<session::TermStart> termStarts;
    if (message == nullptr) {
        return termStarts;
    }
    for (const json::value &item : *message) {
        const json::array *pair = item.if_array();
        if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_number() || !(*pair)[1].is_number()) {
            continue;
        }
        termStarts.push_back(
            {.term = (*pair)[0].to_number<std::uint64_t>(), .start = (*pair)[1].to_number<std::uint64_t>()});
    }
    return termStarts;
}

json::object toJson(const StatementCall &call, core::TimePoint now)
{
    return {
        {"service", call.service},
        {"database", call.database},
        {"server", call.server},
        {"workspace", call.workspace},
        {"request_id", call.requestId},
        {"transaction", call.transaction},
        {"term", call.term},
        {"read_only", call.readOnly},
        {"stale_read", call.staleRead},
        {"min_term", call.required.term},
        {"min_position", call.required.position},
        {"timeout_ms", std::max<std::int64_t>(0, core::toMilliseconds(call.deadline - now))},
        {"hops", call.hops},
        {"statement", call.statement},
    };
}

StatementCall statementCallFromJson(const json::object &message, core::TimePoint now)
{
    StatementCall call;
    call.service = core::jsonString(message, "service");
    call.database = core::jsonString(message, "database");
    call.server = core::jsonString(message, "server");
    call.workspace = core::jsonString(message, "workspace");
    call.requestId = core::jsonString(message, "request_id");
    call.transaction = core::jsonString(message, "transaction");
    call.term = static_cast<std::uint64_t>(core::jsonInteger(message, "term"));
    call.readOnly = core::jsonBool(message, "read_only");
    call.staleRead = core::jsonBool(message, "stale_read");
    call.required.term = static_cast<std::uint64_t>(core::jsonInteger(message, "min_term"));
    call.required.position = static_cast<std::uint64_t>(core::jsonInteger(message, "min_position"));
    call.hops = static_cast<int>(core::jsonInteger(message, "hops"));
    call.deadline = now + core::Milliseconds(core::jsonInteger(message, "timeout_ms"));
    if (const json::value *statement = message.if_contains("statement")) {
        call.statement = *statement;
    }
    return call;
}

json::object toJson(const StatementAnswer &answer)
{
    return {
        {"result", answer.result},
        {"server", answer.server},
        {"role", answer.role},
        {"term", answer.position.term},
        {"position", answer.position.position},
        {"session_safe", answer.sessionSafe},
        {"replayed", answer.replayed},
        {"lag_ms", answer.lagMilliseconds},
        {"term_starts", termStartsToJson(answer.termStarts)},
    };
}

StatementAnswer statementAnswerFromJson(const json::object &message)
{
    StatementAnswer answer;
    if (const json::value *result = message.if_contains("result")) {
        answer.result = *result;
    }
    answer.server = core::jsonString(message, "server");
    answer.role = core::jsonString(message, "role");
    answer.position.term = static_cast<std::uint64_t>(core::jsonInteger(message, "term"));
    answer.position.position = static_cast<std::uint64_t>(core::jsonInteger(message, "position"));
    answer.sessionSafe = core::jsonBool(message, "session_safe", true);
    answer.replayed = core::jsonBool(message, "replayed");
    answer.lagMilliseconds = core::jsonInteger(message, "lag_ms");
    answer.termStarts = termStartsFromJson(core::jsonArray(message, "term_starts"));
    return answer;
}

void throwIfError(int status, const json::object &message)
{
    if (status == 200) {
        return;
    }
    const auto code = core::resultCodeFromNumber(
        static_cast<int>(core::jsonInteger(message, "code", static_cast<int>(core::ResultCode::Internal))));
    core::Error error(code, core::jsonString(message, "message"));
    error.outcome = core::outcomeFromName(core::jsonString(message, "outcome", "unknown"));
    throw error;
}

}
