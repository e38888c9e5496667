#include "standins/databaseledger.h"

#include "core/json.h"

#include <algorithm>

namespace endiveshore::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxRefusedStatements = 20;

}

void DatabaseLedger::recordStatement(const StatementRequest &request,
                                     const StatementAnswer &answer,
                                     const net::HttpHeaders &headers)
{
    this->records.push_back({.operation = core::jsonString(request.statement.toJson(), "op"),
                             .key = request.statement.key,
                             .requestId = request.requestId,
                             .transaction = request.transaction,
                             .workspace = request.workspace,
                             .position = answer.position,
                             .term = answer.term,
                             .readOnly = request.readOnly,
                             .replayed = answer.replayed,
                             .headers = headers});
}

void DatabaseLedger::recordCommit(const std::string &transaction,
                                  const std::string &requestId,
                                  const StatementAnswer &answer,
                                  const net::HttpHeaders &headers)
{
    this->records.push_back({.operation = "commit",
                             .requestId = requestId,
                             .transaction = transaction,
                             .position = answer.position,
                             .term = answer.term,
                             .replayed = answer.replayed,
                             .headers = headers});
}

void DatabaseLedger::recordSlotsInUse(int count)
{
    this->peakSlots = std::max<std::int64_t>(this->peakSlots, count);
}

void DatabaseLedger::recordSlotViolation(const StatementRequest &request)
{
    ++this->slotViolations;
    if (this->refusedForSlots.size() < MaxRefusedStatements) {
        this->refusedForSlots.push_back(json::object{{"request_id", request.requestId},
                                                     {"transaction", request.transaction},
                                                     {"workspace", request.workspace},
                                                     {"read_only", request.readOnly}});
    }
}

void DatabaseLedger::recordConnections(int count)
{
    this->peakConnections = std::max<std::int64_t>(this->peakConnections, count);
}

void DatabaseLedger::recordConnectionViolation()
{
    ++this->connectionViolations;
}

json::object DatabaseLedger::toJson(std::int64_t from, std::int64_t limit) const
{
    const auto total = static_cast<std::int64_t>(this->records.size());
    const std::int64_t first = std::clamp<std::int64_t>(from, 0, total);
    const std::int64_t last = std::min(total, first + std::max<std::int64_t>(0, limit));
    json::array statements;
    for (std::int64_t index = first; index < last; ++index) {
        const Record &record = this->records[static_cast<std::size_t>(index)];
        json::array headers;
        for (const auto &[name, value] : record.headers) {
            headers.push_back(json::array{name, value});
        }
        statements.push_back(json::object{{"op", record.operation},
                                          {"key", record.key},
                                          {"request_id", record.requestId},
                                          {"transaction", record.transaction},
                                          {"workspace", record.workspace},
                                          {"position", record.position},
                                          {"term", record.term},
                                          {"read_only", record.readOnly},
                                          {"replayed", record.replayed},
                                          {"headers", std::move(headers)}});
    }
    return json::object{{"total", total},
                        {"from", first},
                        {"statements", std::move(statements)},
                        {"peak_slots", this->peakSlots},
                        {"peak_connections", this->peakConnections},
                        {"slot_violations", this->slotViolations},
                        {"refused_for_slots", this->refusedForSlots},
                        {"connection_violations", this->connectionViolations}};
}

}
