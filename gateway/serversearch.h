#pragma once

#include "core/time.h"

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::gateway {

/// A server that could run a statement now. Candidates are passed in order of preference.
struct SearchCandidate
{
    std::string_view server;
    bool isPrimary = false;
    bool isPenalised = false; ///< The server failed recently or had not received the required position.
    bool isBusy = false; ///< The server's queue was full recently.
};

struct SearchStep
{
    enum class Kind {
        Try, ///< Send the statement to `candidate`.
        Wait, ///< No server can run the statement now; look again after a pause.
        Refuse, ///< No server can run the statement in time.
    };

    Kind kind = Kind::Refuse;
    std::size_t candidate = 0;
    core::Duration queueTimeout{}; ///< Timeout in the candidate's queue.
};

struct ServerSearchOptions
{
    core::TimePoint deadline; ///< Time at which the statement is refused.
    core::Duration spillTimeout{}; ///< Timeout in the queue of one server while others have not been tried.
};

/// Decides which server a statement is sent to next until a server runs it: first every candidate with a short queue
/// timeout, then the preferred candidate for the caller's remaining time. A statement that all queues refuse is refused
/// at once. Does no I/O. There is one instance per statement.
class ServerSearch
{
public:
    explicit ServerSearch(ServerSearchOptions options);

    SearchStep next(std::span<const SearchCandidate> candidates, core::TimePoint now) const;

    /// Records that the statement did not get through the queue of @p server within @p queueTimeout.
    void queueFull(std::string_view server, core::Duration queueTimeout);

    /// Extends the deadline to @p deadline after an answer was lost; never shortens it.
    void extend(core::TimePoint deadline);

private:
    SearchStep tryAt(std::size_t candidate, core::Duration limit, core::TimePoint now) const;

    ServerSearchOptions options;
    std::set<std::string, std::less<>> spilled; ///< Servers whose queue was too long for the spill timeout.
    std::set<std::string, std::less<>> full; ///< Servers whose queue was too long for the remaining time.
};

}
