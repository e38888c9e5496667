#pragma once

#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Chooses the servers that may answer a read.
namespace endiveshore::routing {

/// A server of the database group as known from its latest status.
struct ReadCandidate
{
    std::string serverId;
    std::string dataCentre;
    std::string region;
    bool isPrimary = false;
    bool reachable = true;
    bool leaving = false;
    std::uint64_t appliedPosition = 0;
    std::uint64_t term = 0; ///< Newest term the server knows.
    std::vector<session::TermStart> termStarts;
    core::Duration lag{}; ///< Replication lag at the time of the status.
    std::optional<core::Duration> statusAge; ///< Time since the latest status; std::nullopt before the first status.
    std::uint32_t load = 0; ///< Statements queued and in progress, as far as known.
};

/// Parameters of chooseReadServers().
struct ReadPolicy
{
    core::Duration regionDelay = core::Milliseconds(1); ///< Round trip to another data centre of the region.
    core::Duration remoteDelay = core::Milliseconds(20); ///< Round trip to another region.
    core::Duration maximumStatusAge = core::Milliseconds(5000); ///< An older status is treated as missing.
};

struct ReadRequest
{
    std::string_view dataCentre; ///< Data centre of the daemon that chooses.
    std::string_view region;
    std::optional<session::LogPosition> required; ///< Position of the session, which the answer must cover.
    core::Duration maxAge{}; ///< Maximum lag of the answer; 0 allows the primary only.
    core::Duration catchUpWait{}; ///< Maximum wait for a replica to reach the session's position.
    std::uint64_t tieBreaker = 0; ///< Random number or hash of the request; orders servers that are otherwise equal.
};

enum class PassOverReason {
    Unreachable,
    Leaving,
    PrimaryOnly, ///< The request accepts the primary only.
    TooOld, ///< The reported lag is above the age bound.
    Behind, ///< The server is not expected to reach the session's position in time, or the primary is near.
    Diverged, ///< The history of the server does not contain the session's position.
    Superseded, ///< Another server is primary with a newer term.
};

/// Name of the reason in log lines, in snake case. Must not change.
std::string_view passOverReasonName(PassOverReason reason);

struct PassedOver
{
    std::string serverId;
    PassOverReason reason = PassOverReason::Unreachable;
};

/// Servers to try in order, and the reasons why other servers were passed over.
///
/// The caller passes the session's position with the read and tries the next server if the answer is `behind`. The
/// caller also checks the lag in the answer against the age bound, because the lag may have grown since the status.
struct ReadPlan
{
    std::vector<std::string> servers;
    std::vector<PassedOver> passedOver;
};

/// Orders the servers for a read.
///
/// Replicas come first, ordered by the expected delay of their answer: the distance and, for a replica that does not
/// yet cover the session's position, its lag. Such a replica is tried only if its lag is within catchUpWait and the
/// primary is in another data centre or not available. Equal replicas are ordered by load in powers of two, then at
/// random by the request's tieBreaker. The reachable primary is always last. A leaving primary is used only if no
/// replica qualifies.
ReadPlan
chooseReadServers(const ReadRequest &request, std::span<const ReadCandidate> candidates, const ReadPolicy &policy = {});

}
