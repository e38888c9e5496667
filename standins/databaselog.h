#pragma once

#include "standins/keyvaluestore.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace endiveshore::standins {

/// Answer recorded with an entry, so that a statement repeated with the same request id is answered without running
/// again.
struct RecordedAnswer
{
    std::string requestId;
    boost::json::value result;
};

/// One entry of the replicated log: a statement, a committed transaction, or the empty entry of a promotion.
struct LogEntry
{
    std::int64_t term = 0;
    std::string transaction;
    std::string workspace;
    std::vector<Statement> statements;
    std::vector<RecordedAnswer> answers;

    boost::json::object toJson() const;
    static LogEntry fromJson(const boost::json::object &object);
};

/// Start of a term: the entries after position `start` belong to the term, up to the start of the next term.
struct TermStart
{
    std::int64_t term = 0;
    std::int64_t start = 0;

    bool operator==(const TermStart &other) const = default;
};

boost::json::array termStartsToJson(const std::vector<TermStart> &termStarts);
std::vector<TermStart> termStartsFromJson(const boost::json::array &array);

/// Replicated log with positions from 1, and its term history. Does no I/O.
class DatabaseLog
{
public:
    std::int64_t size() const;
    const LogEntry &at(std::int64_t position) const;

    /// Appends @p entry; its term must not be below the last term.
    void append(LogEntry entry);

    /// Removes the entries after @p position.
    void truncate(std::int64_t position);

    std::int64_t termAt(std::int64_t position) const;
    std::int64_t lastTerm() const;
    const std::vector<TermStart> &termStarts() const;

    /// Last position up to which this log equals a log with @p received entries and the term history @p other.
    std::int64_t commonPosition(const std::vector<TermStart> &other, std::int64_t received) const;

private:
    std::vector<LogEntry> entries;
    std::vector<TermStart> history{TermStart{.term = 1, .start = 0}};
};

}
