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
    Read, ///< Reads `key`; `seen` holds the values read.
    Transaction, ///< Appends `value` to `key` and to `secondKey` in one transaction.
    Final, ///< Read of `key` at the surviving primary after the run; `seen` holds the values.
};

/// Outcome of a request as observed by the caller. `Unknown` means that the request may or may not have run.
enum class EventOutcome {
    Done,
    NotRun,
    Unknown,
};

/// Converts the outcome of a caller's request to the outcome in a history.
EventOutcome eventOutcome(core::Outcome outcome);

/// One request of a session, including all its attempts. Each written value is unique within a history.
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

/// Writes one JSON object per line.
void writeHistory(std::ostream &stream, const std::vector<HistoryEvent> &events);

/// Reads a history in the format of writeHistory(). Throws core::Error(MalformedRequest) if a line is malformed. For an
/// unknown kind or outcome, the message contains the line number.
std::vector<HistoryEvent> readHistory(std::istream &stream);

std::string_view eventKindName(EventKind kind);

}
