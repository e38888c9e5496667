#pragma once

#include "standins/databaselog.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveshore::standins {

/// Why a server refuses a call. A refused statement had no effect.
enum class Refusal {
    None,
    WrongTerm,
    NotPrimary,
    Fenced,
    Behind,
    Diverged,
    BadStatement,
    Locked, ///< A key is held by a transaction; the caller may wait and try again.
    UnknownTransaction,
};

/// Name of @p refusal in answers, for example "wrong_term".
std::string_view refusalName(Refusal refusal);

struct StatementRequest
{
    std::int64_t term = 0; ///< 0: any term, reads only.
    Statement statement;
    bool readOnly = false;
    std::string requestId;
    std::string workspace;
    std::string transaction;
    std::int64_t minPosition = 0;
    std::int64_t minTerm = 0;
};

struct StatementAnswer
{
    Refusal refusal = Refusal::None;
    boost::json::value result;
    std::int64_t term = 0; ///< Term of the entry at `position`.
    std::int64_t position = 0;
    bool replayed = false;
};

struct FenceAnswer
{
    bool granted = false;
    std::int64_t fencedTerm = 0;
    std::string owner;
    std::int64_t lastTerm = 0;
    std::int64_t received = 0;
};

struct PromoteAnswer
{
    bool promoted = false;
    std::int64_t term = 0;
    std::int64_t position = 0;
};

struct WaitAnswer
{
    bool reached = false;
    bool superseded = false; ///< Waiting longer cannot change the answer: the server knows a later term.
    std::int64_t term = 0;
    std::int64_t received = 0;
};

/// Part of the primary's log sent to a replica.
struct LogBatch
{
    std::int64_t term = 0;
    std::int64_t common = 0; ///< The replica keeps its log up to here.
    std::vector<LogEntry> entries;
    bool complete = false; ///< The batch reaches the end of the primary's log.
    std::int64_t timeMs = 0; ///< Time of the primary's clock when it sent the batch.
    std::vector<TermStart> termStarts; ///< History of the primary's log up to the end of the batch.

    boost::json::object toJson() const;
    static LogBatch fromJson(const boost::json::object &object);
};

/// State of one database server: log, term, fence, applied data, transactions and locks. Pure; times are milliseconds
/// of one clock shared by the group.
class DatabaseState
{
public:
    /// Starts at term 1, as primary or as a replica that follows @p primaryAddress.
    DatabaseState(bool primary, std::string primaryAddress, std::int64_t nowMs);

    bool isPrimary() const;
    bool isFenced() const; ///< A higher term was granted to a promoter.
    std::int64_t term() const;
    std::int64_t fencedTerm() const;
    std::int64_t applied() const;
    std::int64_t received() const;
    std::int64_t lagMs(std::int64_t nowMs) const;
    const std::string &primaryAddress() const;
    const DatabaseLog &log() const;

    FenceAnswer fence(std::int64_t term, const std::string &owner);
    PromoteAnswer promote(std::int64_t term, const std::string &owner);
    Refusal follow(std::int64_t term, const std::string &primaryAddress);
    WaitAnswer checkWait(std::int64_t term, std::int64_t position) const;

    /// Checks everything that execute() checks before a statement occupies a slot.
    Refusal check(const StatementRequest &request) const;
    StatementAnswer execute(const StatementRequest &request);

    Refusal begin(const std::string &transaction, std::int64_t term, const std::string &workspace);
    StatementAnswer commit(const std::string &transaction, const std::string &requestId);
    void abort(const std::string &transaction);

    /// Entries for a replica at @p term with @p received entries and history @p termStarts.
    Refusal readLog(std::int64_t term,
                    std::int64_t received,
                    const std::vector<TermStart> &termStarts,
                    std::int64_t nowMs,
                    LogBatch &batch) const;

    /// Appends a batch of the followed primary; false if it is of another term or the server is fenced above it.
    bool append(const LogBatch &batch);

    /// Calls @p journal with each change of the log and the roles, for restore() after a restart.
    void setJournal(std::function<void(const boost::json::object &record)> journal);

    /// Repeats a journalled change. A restored replica reports a large lag until it hears its primary.
    void restore(const boost::json::object &record);

    /// Applies received entries up to @p position, at most those received.
    void apply(std::int64_t position);

private:
    struct Transaction
    {
        std::int64_t term = 0;
        std::string workspace;
        KeyValueStore overlay;
        std::vector<Statement> statements;
        std::vector<RecordedAnswer> answers;
        std::vector<std::string> lockedKeys;
    };

    struct AnswerRecord
    {
        std::int64_t position = 0;
        boost::json::value result;
    };

    struct SyncPoint
    {
        std::int64_t position = 0;
        std::int64_t timeMs = 0;
    };

    Refusal checkPrimary(std::int64_t term) const;
    StatementAnswer executeInTransaction(const StatementRequest &request, Transaction &transaction);
    StatementAnswer appendAsPrimary(LogEntry entry, boost::json::value result);
    std::optional<StatementAnswer> replay(const std::string &requestId) const;
    void journalState() const;
    void journalEntry(const LogEntry &entry) const;
    void applyEntry(std::int64_t position);
    void rebuild(std::int64_t position);
    void abortAll();

    std::function<void(const boost::json::object &)> journal;
    DatabaseLog entries;
    KeyValueStore store;
    std::unordered_map<std::string, AnswerRecord> answerRecords;
    std::unordered_map<std::string, Transaction> transactions;
    std::unordered_map<std::string, std::string> locks;
    std::deque<SyncPoint> pendingSyncPoints;
    std::int64_t upToDateMs = 0;
    std::int64_t currentTerm = 1;
    std::int64_t grantedTerm = 1;
    std::int64_t appliedPosition = 0;
    std::string fenceOwner;
    std::string followedAddress;
    bool primary = false;
    bool reconciled = true; ///< False from losing the primary role until the log matches the new primary's.
};

}
