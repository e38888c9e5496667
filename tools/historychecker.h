#pragma once

#include "tools/history.h"

#include <span>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Violations found in a history. Each list holds one human-readable line per violation.
struct HistoryReport
{
    std::vector<std::string> lostWrites; ///< Writes acknowledged, but missing from the final state.
    std::vector<std::string> doubledWrites; ///< Writes whose value is more than once in the final state.
    std::vector<std::string> falseNotRun; ///< Writes with the outcome NotRun whose value is in the final state.
    std::vector<std::string> staleSessionReads; ///< Reads that miss an earlier acknowledged write of their session.
    std::vector<std::string> crossedAnswers; ///< Reads that return a value that was never written to their key.
    std::vector<std::string> splitTransactions; ///< Transactions with only one of their two writes in the final state.
    /// Writes that started after a write of a later term had been acknowledged, yet were acknowledged in an earlier
    /// term.
    std::vector<std::string> termViolations;

    std::size_t violations() const;
};

/// Checks the history of a concurrent run for session consistency, at-most-once execution, atomic transactions,
/// responses that hold values of another key, and monotonic terms. Each written value must be unique; the value of a
/// transaction is checked in both of its keys. Keys must start with the database and a colon. Events of kind Final hold
/// the final state; the checks against the final state skip keys without such an event.
HistoryReport checkHistory(std::span<const HistoryEvent> events);

}
