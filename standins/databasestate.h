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

/// Reason why a server refuses a call. A refused statement has no effect.
enum class Refusal {
    None,
    WrongTerm,
    NotPrimary,
    Fenced,
    Behind, ///< The server has not applied the required position yet.
    Diverged, ///< The log of the server does not contain the required position of the required term.
    BadStatement,
    Locked, ///< A key is held by a transaction; the caller may wait and try again.
    UnknownTransaction,
};

/// Name of @p refusal in answers, for example "wrong_term".
std::string_view refusalName(Refusal refusal);

struct StatementRequest
{
    std::int64_t term = 0; ///< Current term as known to the caller; 0 accepts any term, for reads only.
    Statement statement;
    bool readOnly = false;
    std::string requestId;
    std::string workspace;
    std::string transaction;
    std::int64_t minPosition = 0; ///< Position that the server must have applied.
    std::int64_t minTerm = 0; ///< Term of the entry at `minPosition`; 0 skips the check for divergence.
};

struct StatementAnswer
{
    Refusal refusal = Refusal::None;
    boost::json::value result;
    std::int64_t term = 0; ///< Term of the entry at `position`.
    std::int64_t position = 0;
    bool replayed = false; ///< Recorded answer of an earlier call with the same request id.
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
    bool final = false; ///< Waiting longer cannot change the answer: the server knows a later term.
    std::int64_t term = 0;
    std::int64_t received = 0;
};

/// Part of the primary's log sent to a replica.
struct LogBatch
{
    std::int64_t term = 0;
    std::int64_t common = 0; ///< Last position that both logs share; the replica truncates its log to `common`.
    std::vector<LogEntry> entries;
    bool complete = false; ///< The batch reaches the end of the primary's log.
    std::int64_t timeMs = 0; ///< Time at which the primary read the batch.
    std::vector<TermStart> termStarts; ///< Term history of the primary's log up to the end of the batch.

    boost::json::object toJson() const;
    static LogBatch fromJson(const boost::json::object &object);
};

/// State of one database server: log, term, fence, applied data, transactions and locks. Does no I/O and reads no
/// clock; times are milliseconds of one clock shared by the group.
class DatabaseState
{
public:
    /// Starts at term 1, as primary or as a replica that follows @p primaryAddress.
    DatabaseState(bool primary, std::string primaryAddress, std::int64_t nowMs);

    bool isPrimary() const;
    bool isFenced() const; ///< A term above the current term was granted to an owner that may promote a server.
    std::int64_t term() const;
    std::int64_t fencedTerm() const;
    std::int64_t applied() const;
    std::int64_t received() const;
    std::int64_t lagMs(std::int64_t nowMs) const;
    const std::string &primaryAddress() const;
    const DatabaseLog &log() const;

    /// Grants @p term to @p owner if the term is above every granted term, and aborts all transactions. A repeated call
    /// of the same owner is granted again.
    FenceAnswer fence(std::int64_t term, const std::string &owner);

    /// Makes the server the primary of @p term if the term was granted to @p owner.
    PromoteAnswer promote(std::int64_t term, const std::string &owner);

    /// Makes the server a replica of the primary of @p term at @p primaryAddress.
    Refusal follow(std::int64_t term, const std::string &primaryAddress);

    /// Whether the log has reached @p position of @p term. Does not block.
    WaitAnswer checkWait(std::int64_t term, std::int64_t position) const;

    /// Checks term, role, fence and required position of @p request, so that a server can refuse a statement before it
    /// occupies a slot. execute() repeats these checks.
    Refusal check(const StatementRequest &request) const;
    StatementAnswer execute(const StatementRequest &request);

    Refusal begin(const std::string &transaction, std::int64_t term, const std::string &workspace);
    StatementAnswer commit(const std::string &transaction, const std::string &requestId);
    void abort(const std::string &transaction);

    /// Reads into @p batch the next entries for a replica at @p term whose log has @p received entries and the term
    /// history @p termStarts.
    Refusal readLog(std::int64_t term,
                    std::int64_t received,
                    const std::vector<TermStart> &termStarts,
                    std::int64_t nowMs,
                    LogBatch &batch) const;

    /// Appends a batch of the followed primary. Returns false if the batch is of another term or does not connect to
    /// the received entries, or if the server is primary or fenced.
    bool append(const LogBatch &batch);

    /// Calls @p journal with a record of each change of the log, the terms and the role, for restore() after a restart.
    void setJournal(std::function<void(const boost::json::object &record)> journal);

    /// Replays a journalled change. A restored replica reports a large lag until it has received and applied a complete
    /// batch of its primary.
    void restore(const boost::json::object &record);

    /// Applies the received entries up to @p position, or all of them if fewer were received.
    void apply(std::int64_t position);

private:
    struct Transaction
    {
        std::int64_t term = 0;
        std::string workspace;
        KeyValueStore overlay; ///< Values of the locked keys as the transaction sees them.
        std::vector<Statement> statements;
        std::vector<RecordedAnswer> answers;
        std::vector<std::string> lockedKeys;
    };

    /// Answer of an applied statement or commit, by its request id.
    struct AnswerRecord
    {
        std::int64_t position = 0;
        boost::json::value result;
    };

    /// A replica that has applied `position` was up to date with its primary at `timeMs`.
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
    std::int64_t upToDateMs = 0; ///< All entries that the primary had at this time are applied.
    std::int64_t currentTerm = 1;
    std::int64_t grantedTerm = 1; ///< Highest term granted by fence() or adopted by follow().
    std::int64_t appliedPosition = 0;
    std::string fenceOwner;
    std::string followedAddress;
    bool primary = false;
    bool reconciled = true; ///< False from the loss of the primary role until the log is a prefix of the new primary's.
};

}
