#include "standins/databasestate.h"

#include "core/json.h"

#include <algorithm>
#include <array>
#include <utility>

namespace endiveshore::standins {

namespace json = boost::json;

namespace {

// Keeps the response to a log pull well below the size limit of an HTTP response.
constexpr std::int64_t MaxBatchEntries = 500;

struct RefusalName
{
    Refusal refusal;
    std::string_view name;
};

constexpr std::array RefusalNames{
    RefusalName{Refusal::None, "none"},
    RefusalName{Refusal::WrongTerm, "wrong_term"},
    RefusalName{Refusal::NotPrimary, "not_primary"},
    RefusalName{Refusal::Fenced, "fenced"},
    RefusalName{Refusal::Behind, "behind"},
    RefusalName{Refusal::Diverged, "diverged"},
    RefusalName{Refusal::BadStatement, "bad_statement"},
    RefusalName{Refusal::Locked, "conflict"},
    RefusalName{Refusal::UnknownTransaction, "unknown_transaction"},
};

}

std::string_view refusalName(Refusal refusal)
{
    for (const RefusalName &entry : RefusalNames) {
        if (entry.refusal == refusal) {
            return entry.name;
        }
    }
    return "none";
}

json::object LogBatch::toJson() const
{
    json::array entryArray;
    for (const LogEntry &entry : this->entries) {
        entryArray.push_back(entry.toJson());
    }
    return json::object{{"term", this->term},
                        {"common", this->common},
                        {"entries", std::move(entryArray)},
                        {"complete", this->complete},
                        {"time_ms", this->timeMs},
                        {"term_starts", termStartsToJson(this->termStarts)}};
}

LogBatch LogBatch::fromJson(const json::object &object)
{
    LogBatch batch;
    batch.term = core::jsonInteger(object, "term");
    batch.common = core::jsonInteger(object, "common");
    batch.complete = core::jsonBool(object, "complete");
    batch.timeMs = core::jsonInteger(object, "time_ms");
    if (const json::array *entryArray = core::jsonArray(object, "entries")) {
        for (const json::value &value : *entryArray) {
            if (const json::object *entry = value.if_object()) {
                batch.entries.push_back(LogEntry::fromJson(*entry));
            }
        }
    }
    if (const json::array *array = core::jsonArray(object, "term_starts")) {
        batch.termStarts = termStartsFromJson(*array);
    }
    return batch;
}

DatabaseState::DatabaseState(bool primary, std::string primaryAddress, std::int64_t nowMs)
    : upToDateMs(nowMs)
    , followedAddress(std::move(primaryAddress))
    , primary(primary)
{
}

bool DatabaseState::isPrimary() const
{
    return this->primary;
}

bool DatabaseState::isFenced() const
{
    return this->grantedTerm > this->currentTerm;
}

std::int64_t DatabaseState::term() const
{
    return this->currentTerm;
}

std::int64_t DatabaseState::fencedTerm() const
{
    return this->grantedTerm;
}

std::int64_t DatabaseState::applied() const
{
    return this->appliedPosition;
}

std::int64_t DatabaseState::received() const
{
    return this->entries.size();
}

std::int64_t DatabaseState::lagMs(std::int64_t nowMs) const
{
    return this->primary ? 0 : std::max<std::int64_t>(0, nowMs - this->upToDateMs);
}

const std::string &DatabaseState::primaryAddress() const
{
    return this->followedAddress;
}

const DatabaseLog &DatabaseState::log() const
{
    return this->entries;
}

FenceAnswer DatabaseState::fence(std::int64_t term, const std::string &owner)
{
    bool granted = term == this->grantedTerm && !owner.empty() && owner == this->fenceOwner;
    if (term > this->grantedTerm) {
        this->grantedTerm = term;
        this->fenceOwner = owner;
        this->abortAll();
        this->journalState();
        granted = true;
    }
    return {.granted = granted,
            .fencedTerm = this->grantedTerm,
            .owner = this->fenceOwner,
            .lastTerm = this->entries.lastTerm(),
            .received = this->received()};
}

PromoteAnswer DatabaseState::promote(std::int64_t term, const std::string &owner)
{
    const bool owned = term == this->grantedTerm && !owner.empty() && owner == this->fenceOwner;
    // A server that already follows a primary of this term must not become a second primary.
    if (owned && term > this->currentTerm) {
        this->currentTerm = term;
        this->primary = true;
        this->reconciled = true;
        this->followedAddress.clear();
        this->pendingSyncPoints.clear();
        this->apply(this->received());
        this->journalState();
        this->appendAsPrimary(LogEntry{.term = term}, nullptr);
    }
    const bool promoted = owned && this->primary && term == this->currentTerm;
    return {.promoted = promoted, .term = this->currentTerm, .position = this->received()};
}

Refusal DatabaseState::follow(std::int64_t term, const std::string &primaryAddress)
{
    if (term < this->grantedTerm) {
        return Refusal::Fenced;
    }
    if (this->primary && term <= this->currentTerm) {
        return Refusal::WrongTerm;
    }
    if (term > this->grantedTerm) {
        this->grantedTerm = term;
        this->fenceOwner.clear();
    }
    this->abortAll();
    this->reconciled = this->reconciled && !this->primary;
    this->primary = false;
    this->currentTerm = term;
    this->followedAddress = primaryAddress;
    this->journalState();
    return Refusal::None;
}

WaitAnswer DatabaseState::checkWait(std::int64_t term, std::int64_t position) const
{
    // If the last entry of this log has the requested term, this log is a prefix of the log of that term's primary. The
    // number of received entries then shows whether this log contains the position.
    const bool fencedAbove = this->grantedTerm > term;
    const bool reached = !fencedAbove && this->entries.lastTerm() == term && this->received() >= position;
    return {.reached = reached, .final = fencedAbove, .term = this->grantedTerm, .received = this->received()};
}

Refusal DatabaseState::checkPrimary(std::int64_t term) const
{
    if (!this->primary) {
        return Refusal::NotPrimary;
    }
    if (this->isFenced()) {
        return Refusal::Fenced;
    }
    return term == this->currentTerm ? Refusal::None : Refusal::WrongTerm;
}

Refusal DatabaseState::check(const StatementRequest &request) const
{
    const bool writes = request.statement.isWrite();
    if (writes && request.readOnly) {
        return Refusal::BadStatement;
    }
    if (writes || request.term != 0 || !request.transaction.empty()) {
        const std::int64_t term = request.term == 0 && !writes ? this->currentTerm : request.term;
        if (const Refusal refusal = this->checkPrimary(term); refusal != Refusal::None) {
            return refusal;
        }
    } else if (this->primary && this->isFenced()) {
        return Refusal::Fenced;
    } else if (!this->reconciled) {
        return Refusal::Behind;
    }
    if (request.minTerm > 0) {
        for (const TermStart &entry : this->entries.termStarts()) {
            if (entry.term > request.minTerm) {
                if (entry.start < request.minPosition) {
                    return Refusal::Diverged;
                }
                break;
            }
        }
        if (request.minTerm > this->entries.lastTerm()) {
            return Refusal::Behind;
        }
    }
    return request.minPosition > this->appliedPosition ? Refusal::Behind : Refusal::None;
}

std::optional<StatementAnswer> DatabaseState::replay(const std::string &requestId) const
{
    const auto found = requestId.empty() ? this->answerRecords.end() : this->answerRecords.find(requestId);
    if (found == this->answerRecords.end()) {
        return std::nullopt;
    }
    const AnswerRecord &record = found->second;
    return StatementAnswer{.result = record.result,
                           .term = this->entries.termAt(record.position),
                           .position = record.position,
                           .replayed = true};
}

StatementAnswer DatabaseState::execute(const StatementRequest &request)
{
    if (const Refusal refusal = this->check(request); refusal != Refusal::None) {
        return {.refusal = refusal, .term = this->grantedTerm, .position = this->appliedPosition};
    }
    const bool writes = request.statement.isWrite();
    if (writes) {
        if (std::optional<StatementAnswer> answer = this->replay(request.requestId)) {
            return *answer;
        }
    }
    if (!request.transaction.empty()) {
        const auto found = this->transactions.find(request.transaction);
        if (found == this->transactions.end()) {
            return {.refusal = Refusal::UnknownTransaction};
        }
        return this->executeInTransaction(request, found->second);
    }
    if (writes && this->locks.contains(request.statement.key)) {
        return {.refusal = Refusal::Locked};
    }
    std::optional<json::value> result = this->store.execute(request.statement);
    if (!result) {
        return {.refusal = Refusal::BadStatement};
    }
    if (!writes) {
        return {.result = std::move(*result),
                .term = this->entries.termAt(this->appliedPosition),
                .position = this->appliedPosition};
    }
    LogEntry entry{.term = this->currentTerm, .workspace = request.workspace, .statements = {request.statement}};
    if (!request.requestId.empty()) {
        entry.answers.push_back({.requestId = request.requestId, .result = *result});
    }
    return this->appendAsPrimary(std::move(entry), std::move(*result));
}

StatementAnswer DatabaseState::executeInTransaction(const StatementRequest &request, Transaction &transaction)
{
    const Statement &statement = request.statement;
    StatementAnswer answer{.term = this->entries.termAt(this->appliedPosition), .position = this->appliedPosition};
    for (const RecordedAnswer &earlier : transaction.answers) {
        if (!request.requestId.empty() && earlier.requestId == request.requestId) {
            answer.result = earlier.result;
            answer.replayed = true;
            return answer;
        }
    }
    if (!statement.key.empty()) {
        // Reads lock their key too; otherwise two transactions could read the same value and both write a value derived
        // from it, so that one update is lost.
        const auto [lock, inserted] = this->locks.try_emplace(statement.key, request.transaction);
        if (lock->second != request.transaction) {
            return {.refusal = Refusal::Locked};
        }
        if (inserted) {
            transaction.lockedKeys.push_back(statement.key);
        }
        const json::value *committed = this->store.find(statement.key);
        if (committed != nullptr && transaction.overlay.find(statement.key) == nullptr) {
            transaction.overlay.assign(statement.key, *committed);
        }
    }
    std::optional<json::value> result = transaction.overlay.execute(statement);
    if (!result) {
        return {.refusal = Refusal::BadStatement};
    }
    if (statement.isWrite()) {
        transaction.statements.push_back(statement);
        if (!request.requestId.empty()) {
            transaction.answers.push_back({.requestId = request.requestId, .result = *result});
        }
    }
    answer.result = std::move(*result);
    return answer;
}

StatementAnswer DatabaseState::appendAsPrimary(LogEntry entry, json::value result)
{
    const std::int64_t term = entry.term;
    this->journalEntry(entry);
    this->entries.append(std::move(entry));
    this->appliedPosition = this->received();
    for (const RecordedAnswer &answer : this->entries.at(this->appliedPosition).answers) {
        this->answerRecords[answer.requestId] = {.position = this->appliedPosition, .result = answer.result};
    }
    return {.result = std::move(result), .term = term, .position = this->appliedPosition};
}

Refusal DatabaseState::begin(const std::string &transaction, std::int64_t term, const std::string &workspace)
{
    if (const Refusal refusal = this->checkPrimary(term); refusal != Refusal::None) {
        return refusal;
    }
    const bool inserted
        = this->transactions.try_emplace(transaction, Transaction{.term = term, .workspace = workspace}).second;
    return inserted && !transaction.empty() ? Refusal::None : Refusal::UnknownTransaction;
}

StatementAnswer DatabaseState::commit(const std::string &transaction, const std::string &requestId)
{
    if (!this->primary || this->isFenced()) {
        return {.refusal = this->checkPrimary(this->currentTerm), .term = this->grantedTerm};
    }
    if (std::optional<StatementAnswer> answer = this->replay(requestId)) {
        return *answer;
    }
    const auto found = this->transactions.find(transaction);
    if (found == this->transactions.end()) {
        return {.refusal = Refusal::UnknownTransaction};
    }
    Transaction finished = std::move(found->second);
    for (const Statement &statement : finished.statements) {
        this->store.execute(statement);
    }
    LogEntry entry{.term = this->currentTerm,
                   .transaction = transaction,
                   .workspace = finished.workspace,
                   .statements = std::move(finished.statements),
                   .answers = std::move(finished.answers)};
    if (!requestId.empty()) {
        entry.answers.push_back({.requestId = requestId, .result = true});
    }
    for (const std::string &key : finished.lockedKeys) {
        this->locks.erase(key);
    }
    this->transactions.erase(found);
    return this->appendAsPrimary(std::move(entry), true);
}

void DatabaseState::abort(const std::string &transaction)
{
    const auto found = this->transactions.find(transaction);
    if (found == this->transactions.end()) {
        return;
    }
    for (const std::string &key : found->second.lockedKeys) {
        this->locks.erase(key);
    }
    this->transactions.erase(found);
}

void DatabaseState::abortAll()
{
    this->transactions.clear();
    this->locks.clear();
}

Refusal DatabaseState::readLog(std::int64_t term,
                               std::int64_t received,
                               const std::vector<TermStart> &termStarts,
                               std::int64_t nowMs,
                               LogBatch &batch) const
{
    if (const Refusal refusal = this->checkPrimary(term); refusal != Refusal::None) {
        return refusal;
    }
    batch.term = term;
    batch.timeMs = nowMs;
    batch.common = this->entries.commonPosition(termStarts, received);
    const std::int64_t last = std::min(batch.common + MaxBatchEntries, this->received());
    for (std::int64_t position = batch.common + 1; position <= last; ++position) {
        batch.entries.push_back(this->entries.at(position));
    }
    batch.complete = last == this->received();
    for (const TermStart &entry : this->entries.termStarts()) {
        if (entry.start < last || entry.start == 0) {
            batch.termStarts.push_back(entry);
        }
    }
    return Refusal::None;
}

bool DatabaseState::append(const LogBatch &batch)
{
    if (this->primary || batch.term != this->currentTerm || this->isFenced() || batch.common > this->received()) {
        return false;
    }
    if (this->received() > batch.common) {
        this->entries.truncate(batch.common);
        if (this->journal) {
            this->journal(json::object{{"cut", batch.common}});
        }
        if (this->appliedPosition > batch.common) {
            this->rebuild(batch.common);
        }
        std::erase_if(this->pendingSyncPoints,
                      [&batch](const SyncPoint &point) { return point.position > batch.common; });
    }
    for (const LogEntry &entry : batch.entries) {
        this->journalEntry(entry);
        this->entries.append(entry);
    }
    if (!std::exchange(this->reconciled, true)) {
        this->journalState();
    }
    if (batch.complete) {
        this->pendingSyncPoints.push_back({.position = this->received(), .timeMs = batch.timeMs});
        this->apply(this->appliedPosition);
    }
    return true;
}

void DatabaseState::apply(std::int64_t position)
{
    while (this->appliedPosition < std::min(position, this->received())) {
        this->applyEntry(++this->appliedPosition);
    }
    while (!this->pendingSyncPoints.empty() && this->pendingSyncPoints.front().position <= this->appliedPosition) {
        this->upToDateMs = std::max(this->upToDateMs, this->pendingSyncPoints.front().timeMs);
        this->pendingSyncPoints.pop_front();
    }
}

void DatabaseState::applyEntry(std::int64_t position)
{
    const LogEntry &entry = this->entries.at(position);
    for (const Statement &statement : entry.statements) {
        this->store.execute(statement);
    }
    for (const RecordedAnswer &answer : entry.answers) {
        this->answerRecords[answer.requestId] = {.position = position, .result = answer.result};
    }
}

void DatabaseState::rebuild(std::int64_t position)
{
    this->store.clear();
    this->answerRecords.clear();
    this->appliedPosition = 0;
    while (this->appliedPosition < position) {
        this->applyEntry(++this->appliedPosition);
    }
}

}
