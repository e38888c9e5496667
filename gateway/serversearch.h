#pragma once

#include "core/time.h"

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::gateway {

/// A server that could run a statement now, in the order of preference.
struct SearchCandidate
{
    std::string_view server;
    bool isPrimary = false;
    bool isPenalised = false; ///< Failed a moment ago, or lacked the position.
    bool isBusy = false; ///< Its queue was too long a moment ago.
};

struct SearchStep
{
    enum class Kind {
        Try, ///< Ask `candidate`.
        Wait, ///< Nobody can run the statement now; somebody may in a moment.
        Refuse, ///< Nobody can run it in time.
    };

    Kind kind = Kind::Refuse;
    std::size_t candidate = 0;
    core::Duration queueTimeout{}; ///< Longest wait in the candidate's queue.
};

struct ServerSearchOptions
{
    core::TimePoint deadline; ///< The statement is refused then.
    core::Duration spillTimeout{}; ///< Longest wait in a queue while another server may have a shorter one.
};

/// Decides where a statement is tried next until one server runs it: every server that could run it for a short time
/// first, then the preferred one for as long as the caller waits. A statement that every queue refuses is refused at
/// once. Pure; one per statement.
class ServerSearch
{
public:
    explicit ServerSearch(ServerSearchOptions options);

    SearchStep next(std::span<const SearchCandidate> candidates, core::TimePoint now) const;

    /// The queue of @p server was too long for @p queueTimeout.
    void queueFull(std::string_view server, core::Duration queueTimeout);

    /// The statement may be held longer, since an answer was lost.
    void extend(core::TimePoint deadline);

private:
    SearchStep tryAt(std::size_t candidate, core::Duration limit, core::TimePoint now) const;

    ServerSearchOptions options;
    std::set<std::string, std::less<>> spilled; ///< Their queues were too long for the short limit.
    std::set<std::string, std::less<>> full; ///< Their queues were too long for the whole time.
};

}
