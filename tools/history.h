#pragma once

#include "core/resultcode.h"

#include <boost/json.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::tools {

enum class EventKind {
    Write, ///< Appends `value` to `key`.
    Read, ///< Reads `key`; `seen` holds its values.
    Transaction, ///< Appends `value` to `key` and to `secondKey` in one transaction.
    Final, ///< Read of the surviving primary after the run; `seen` holds the values.
};

/// What the caller learned.
enum class EventOutcome {
    Done,
    NotRun,
    Unknown,
};

/// The outcome of @p outcome in a history.
EventOutcome eventOutcome(core::Outcome outcome);

/// One request of one session, with all its attempts. Values are unique in a history.
struct HistoryEvent
{
    EventKind kind = EventKind::Read;
    EventOutcome outcome = EventOutcome::Unknown;
    std::string session;
    std::string workspace;
    std::string key;
    std::string secondKey;
    std::string value;
    std::vector<std::string> seen;
    std::string server;
    std::string role;
    std::int64_t startUs = 0; ///< Microseconds since the start of the run.
    std::int64_t endUs = 0;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    int code = 0;
    int attempts = 1;
};

/// One JSON object per line.
void writeHistory(std::ostream &stream, const std::vector<HistoryEvent> &events);
/// Throws core::Error(MalformedRequest) with the line number.
std::vector<HistoryEvent> readHistory(std::istream &stream);

std::string_view eventKindName(EventKind kind);

}
