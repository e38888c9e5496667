#pragma once

#include "core/error.h"
#include "membership/member.h"

#include <optional>
#include <utility>

namespace endiveshore::membership {

enum class GossipType {
    Ping,
    Ack,
    PingRequest, ///< Requests that the receiver pings `target`.
    IndirectAck, ///< Answer to PingRequest: `target` has answered the ping.
    Sync, ///< Digest of one bucket of entries.
    State, ///< Entries in answer to Sync, or on request.
    Notice, ///< Carries only the configuration revision of the sender.
};

/// Digest of the entries in one of `count` buckets. The hash of its key assigns an entry to a bucket.
struct SyncDigest
{
    std::uint64_t bucket = 0;
    std::uint64_t count = 1;
    std::uint64_t hash = 0;
    bool answer = false; ///< Answers another digest; the receiver sends differing entries, but no further digest.
};

/// Fixed part of a datagram. Encoded as JSON with short names, because the size of a datagram is limited.
struct GossipHeader
{
    GossipType type = GossipType::Ping;
    std::string sender;
    std::uint64_t sequence = 0; ///< Repeated in the answer.
    std::uint64_t revision = 0; ///< Configuration revision of the sender.
    std::string target = {}; ///< Member id for PingRequest and IndirectAck.
    std::string targetAddress = {}; ///< For PingRequest.
    bool wantsEntry = false; ///< The sender does not know the receiver and requests its entry.
    std::optional<SyncDigest> digest = std::nullopt;
    std::uint64_t memberCount = 0; ///< For State: number of members that the sender knows.
    std::uint64_t stateCount = 0; ///< For State: number of state keys that the sender knows.
};

struct GossipMessage
{
    GossipHeader header;
    std::vector<Member> members;
    std::vector<std::pair<std::string, StateValue>> states;
};

/// Parses a datagram. Fails with MalformedRequest if the text is not a valid datagram.
boost::leaf::result<GossipMessage> parseGossip(std::string_view text);

/// Builds a datagram of at most a given number of bytes.
class GossipWriter
{
public:
    GossipWriter(const GossipHeader &header, std::size_t maxBytes);

    /// Adds an entry. Returns false if the entry does not fit into the datagram.
    bool addMember(const Member &member);
    bool addState(std::string_view key, const StateValue &value);

    /// Size of the datagram in bytes with the entries added up to now.
    std::size_t size() const;

    std::string finish();

private:
    bool append(std::string &list, const std::string &entry);

    std::string head;
    std::string memberList;
    std::string stateList;
    std::size_t maxBytes;
};

}
