#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Inputs and outputs of GroupMonitor.
namespace endiveshore::failover {

/// Start of a term in a server's log: entries after position `start` belong to the term, up to the start of the next
/// term.
struct TermStart
{
    std::int64_t term = 0;
    std::int64_t start = 0;

    bool operator==(const TermStart &other) const = default;
};

/// What a server reported about itself.
struct ServerReport
{
    bool primary = false;
    std::int64_t term = 0;
    std::int64_t fencedTerm = 0;
    std::int64_t position = 0; ///< Last position applied.
    std::int64_t received = 0; ///< Last position received.
    std::int64_t lagMs = 0;
    std::vector<TermStart> termStarts;

    bool operator==(const ServerReport &other) const = default;
};

/// Answer of a server to a fence call.
struct FenceReply
{
    bool granted = false;
    std::int64_t fencedTerm = 0;
    std::int64_t lastTerm = 0; ///< Term of the last log entry received.
    std::int64_t received = 0;
};

/// Answer of another home to a QueryPeer action: whether the home suspects the server too.
enum class Verdict {
    Confirms,
    Denies,
    Unreachable,
};

/// Requests the status of a server. The caller reports each result with probeAnswered() or probeFailed().
struct ProbeServer
{
    std::string server;
    bool newConnection = false; ///< Requires a new connection; otherwise an open connection is preferred.
};

/// Asks the home `daemon` whether the home also suspects that `server`, the primary of `term`, has failed. The caller
/// passes the verdict and `queryId` to peerAnswered().
struct QueryPeer
{
    std::string daemon;
    std::string server;
    std::int64_t term = 0;
    std::uint64_t queryId = 0;
};

/// Answers another home's query: the query that the caller passed to peerQueryReceived() with `token`.
struct AnswerPeer
{
    std::uint64_t token = 0;
    bool suspects = false;
};

struct FenceServer
{
    std::string server;
    std::int64_t term = 0;
    std::string owner;
};

struct PromoteServer
{
    std::string server;
    std::int64_t term = 0;
    std::string owner;
};

struct FollowServer
{
    std::string server;
    std::int64_t term = 0;
    std::string primaryAddress;
};

/// The monitor has learned the primary of a later term.
struct PrimaryChanged
{
    std::int64_t term = 0;
    std::string server;
    bool mustAnnounce = false; ///< The primary is not known from gossip, so the caller must announce it by gossip.
};

/// Entry for the decision log.
struct LogDecision
{
    std::string decision;
    std::string reason;
    std::string alternatives;
};

using Action = std::
    variant<ProbeServer, QueryPeer, AnswerPeer, FenceServer, PromoteServer, FollowServer, PrimaryChanged, LogDecision>;
using Actions = std::vector<Action>;

}
