#pragma once

#include "tools/history.h"

#include <span>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Violations found in a history. Every list holds one readable line per violation.
struct HistoryReport
{
    std::vector<std::string> lostWrites; ///< Acknowledged, but missing in the final state.
    std::vector<std::string> doubledWrites; ///< More than once in the final state.
    std::vector<std::string> falseNotRun; ///< Refused as not run, but in the final state.
    std::vector<std::string> staleSessionReads; ///< A read of a session without an earlier acknowledged write of it.
    std::vector<std::string> crossedAnswers; ///< A read that holds a value of another key.
    std::vector<std::string> splitTransactions; ///< A transaction of which only one part is visible.
    std::vector<std::string> termViolations; ///< A write acknowledged in a term after a later term had begun to answer.

    std::size_t violations() const;
};

/// Checks sessions, at-most-once, transactions and terms of a concurrent run. Values must be of the form
/// "<key>/<anything>", except the values of transactions, which are checked in both of their keys. Events of kind Final
/// give the surviving state; without one for a key, the checks that need it are skipped for that key.
HistoryReport checkHistory(std::span<const HistoryEvent> events);

}
