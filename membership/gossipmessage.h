#pragma once

#include "core/error.h"
#include "membership/member.h"

#include <optional>
#include <utility>

namespace endiveshore::membership {

enum class GossipType {
    Ping,
    Ack,
    PingRequest, ///< Asks the receiver to ping `target`.
    IndirectAck, ///< Answer to PingRequest: `target` has answered.
    Sync, ///< Digest of one bucket of entries.
    State, ///< Entries in answer to Sync, or on request.
    Notice, ///< Carries only the sender's revision.
};

/// Digest of the entries whose key falls into one of `count` buckets.
struct SyncDigest
{
    std::uint64_t bucket = 0;
    std::uint64_t count = 1;
    std::uint64_t hash = 0;
    bool answer = false; ///< Sent in answer to a digest; differing entries are sent without another digest.
};

/// Fixed part of a datagram. JSON with short names, as the whole datagram is limited.
struct GossipHeader
{
    GossipType type = GossipType::Ping;
    std::string sender;
    std::uint64_t sequence = 0; ///< Repeated by the answer.
    std::uint64_t revision = 0; ///< Configuration revision of the sender.
    std::string target = {}; ///< Id, for PingRequest and IndirectAck.
    std::string targetAddress = {}; ///< For PingRequest.
    bool wantsEntry = false; ///< The sender does not know the receiver and asks for its entry.
    std::optional<SyncDigest> digest = std::nullopt;
    std::uint64_t memberCount = 0; ///< For State: members and keys that the sender knows.
    std::uint64_t stateCount = 0;
};

struct GossipMessage
{
    GossipHeader header;
    std::vector<Member> members;
    std::vector<std::pair<std::string, StateValue>> states;
};

/// Parses a datagram; MalformedRequest if it is not one.
boost::leaf::result<GossipMessage> parseGossip(std::string_view text);

/// Builds a datagram within a limit of bytes.
class GossipWriter
{
public:
    GossipWriter(const GossipHeader &header, std::size_t maxBytes);

    /// Adds an entry; false if it does not fit any more.
    bool addMember(const Member &member);
    bool addState(std::string_view key, const StateValue &value);

    /// Bytes of the datagram so far.
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
