#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::membership {

/// States in ascending precedence for the same incarnation and refutation.
enum class MemberState {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    Left = 3,
};

/// Returns "alive", "suspect", "dead" or "left".
std::string_view memberStateName(MemberState state);

/// A daemon as known to a member of the gossip.
struct Member
{
    std::string id;
    std::string address; ///< "ip:port" of the gossip socket; the peer server has the same port number.
    std::string dataCentre;
    std::string region;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0; ///< Increases with each start of the daemon, for example its start time in ms.
    std::uint64_t refutation = 0; ///< Increases each time that the daemon refutes its suspicion or death.
    std::uint64_t configRevision = 0; ///< Highest configuration revision that the member has announced.

    bool operator==(const Member &) const = default;
};

/// Value of a key of the application state. The highest version wins; equal versions are ordered by the content.
struct StateValue
{
    std::int64_t number = 0;
    std::string text;
    std::int64_t version = 0;

    bool operator==(const StateValue &) const = default;
};

/// Returns true if @p candidate replaces @p current.
bool isNewer(const StateValue &candidate, const StateValue &current);

enum class MemberEventKind {
    Joined, ///< The member was seen for the first time, or again after it had left.
    Suspect,
    Dead,
    Left,
    AliveAgain, ///< The member was suspect or dead and has refuted the suspicion or death.
    Restarted, ///< The member has a new incarnation, and its death was not noticed; its earlier state is lost.
    Superseded, ///< Another process uses this member's id at another address; this member has stopped.
};

struct MemberEvent
{
    MemberEventKind kind = MemberEventKind::Joined;
    Member member;
};

struct RevisionUpdate
{
    std::string memberId; ///< Member that announced the revision.
    std::uint64_t revision = 0;
};

struct StateUpdate
{
    std::string key;
    StateValue value;
};

struct Datagram
{
    std::string address;
    std::string payload;
};

/// Result of an input. The caller sends the datagrams and handles the events in order.
struct GossipOutput
{
    std::vector<Datagram> datagrams;
    std::vector<MemberEvent> events;
    std::vector<RevisionUpdate> revisionUpdates;
    std::vector<StateUpdate> stateUpdates;
};

}
