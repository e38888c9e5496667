#include "standins/databaselog.h"

#include "core/json.h"

#include <algorithm>

namespace endiveshore::standins {

namespace json = boost::json;

json::object LogEntry::toJson() const
{
    json::object object{{"term", this->term}};
    if (!this->transaction.empty()) {
        object["transaction"] = this->transaction;
    }
    if (!this->workspace.empty()) {
        object["workspace"] = this->workspace;
    }
    json::array statementArray;
    for (const Statement &statement : this->statements) {
        statementArray.push_back(statement.toJson());
    }
    object["statements"] = std::move(statementArray);
    json::array answerArray;
    for (const RecordedAnswer &answer : this->answers) {
        answerArray.push_back(json::object{{"request_id", answer.requestId}, {"result", answer.result}});
    }
    object["answers"] = std::move(answerArray);
    return object;
}

LogEntry LogEntry::fromJson(const json::object &object)
{
    LogEntry entry;
    entry.term = core::jsonInteger(object, "term");
    entry.transaction = core::jsonString(object, "transaction");
    entry.workspace = core::jsonString(object, "workspace");
    if (const json::array *statementArray = core::jsonArray(object, "statements")) {
        for (const json::value &value : *statementArray) {
            const json::object *statementObject = value.if_object();
            if (statementObject == nullptr) {
                continue;
            }
            if (std::optional<Statement> statement = Statement::parse(*statementObject)) {
                entry.statements.push_back(std::move(*statement));
            }
        }
    }
    if (const json::array *answerArray = core::jsonArray(object, "answers")) {
        for (const json::value &value : *answerArray) {
            const json::object *answer = value.if_object();
            if (answer == nullptr) {
                continue;
            }
            const json::value *result = answer->if_contains("result");
            entry.answers.push_back({.requestId = core::jsonString(*answer, "request_id"),
                                     .result = result != nullptr ? *result : json::value(nullptr)});
        }
    }
    return entry;
}

json::array termStartsToJson(const std::vector<TermStart> &termStarts)
{
    json::array array;
    for (const TermStart &entry : termStarts) {
        array.push_back(json::array{entry.term, entry.start});
    }
    return array;
}

std::vector<TermStart> termStartsFromJson(const json::array &array)
{
    std::vector<TermStart> termStarts;
    for (const json::value &value : array) {
        const json::array *pair = value.if_array();
        if (pair != nullptr && pair->size() == 2 && (*pair)[0].is_int64() && (*pair)[1].is_int64()) {
            termStarts.push_back({.term = (*pair)[0].as_int64(), .start = (*pair)[1].as_int64()});
        }
    }
    return termStarts;
}

std::int64_t DatabaseLog::size() const
{
    return static_cast<std::int64_t>(this->entries.size());
}

const LogEntry &DatabaseLog::at(std::int64_t position) const
{
    return this->entries.at(static_cast<std::size_t>(position - 1));
}

void DatabaseLog::append(LogEntry entry)
{
    if (entry.term > this->history.back().term) {
        this->history.push_back({.term = entry.term, .start = this->size()});
    }
    this->entries.push_back(std::move(entry));
}

void DatabaseLog::truncate(std::int64_t position)
{
    this->entries.resize(static_cast<std::size_t>(std::min(position, this->size())));
    while (this->history.size() > 1 && this->history.back().start >= position) {
        this->history.pop_back();
    }
}

std::int64_t DatabaseLog::termAt(std::int64_t position) const
{
    std::int64_t term = this->history.front().term;
    for (const TermStart &entry : this->history) {
        if (entry.start < position) {
            term = entry.term;
        }
    }
    return term;
}

std::int64_t DatabaseLog::lastTerm() const
{
    return this->history.back().term;
}

const std::vector<TermStart> &DatabaseLog::termStarts() const
{
    return this->history;
}

std::int64_t DatabaseLog::commonPosition(const std::vector<TermStart> &other, std::int64_t received) const
{
    const auto endOf = [](const std::vector<TermStart> &history, std::size_t index, std::int64_t size) {
        return index + 1 < history.size() ? history[index + 1].start : size;
    };
    // A term has only one primary, so two logs that both contain a term are equal up to the end of that term in the log
    // that has fewer entries of it.
    std::int64_t common = 0;
    for (std::size_t own = 0; own < this->history.size(); ++own) {
        for (std::size_t index = 0; index < other.size(); ++index) {
            if (this->history[own] == other[index]) {
                common = std::min(endOf(this->history, own, this->size()), endOf(other, index, received));
            }
        }
    }
    return common;
}

}
