#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::membership {

/// States in rising precedence for the same incarnation and refutation.
enum class MemberState {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    Left = 3,
};

/// "alive", "suspect", "dead" or "left".
std::string_view memberStateName(MemberState state);

/// One daemon as seen by a member.
struct Member
{
    std::string id;
    std::string address; ///< "ip:port" of the gossip socket; the peer server has the same port number.
    std::string dataCentre;
    std::string region;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0; ///< Rises with each start of the daemon, for example its start time in ms.
    std::uint64_t refutation = 0; ///< Rises each time that the daemon refutes its suspicion or death.
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

/// True if @p candidate replaces @p current.
bool isNewer(const StateValue &candidate, const StateValue &current);

enum class MemberEventKind {
    Joined, ///< First seen, or seen again after it had left.
    Suspect,
    Dead,
    Left,
    AliveAgain, ///< Was suspect or dead and has refuted it.
    Restarted, ///< Seen with a new incarnation before its death was noticed; its earlier state is lost.
    Superseded, ///< Another process runs under the own id at another address; this one has gone silent.
};

struct MemberEvent
{
    MemberEventKind kind = MemberEventKind::Joined;
    Member member;
};

struct RevisionUpdate
{
    std::string memberId; ///< Member that has the revision.
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

/// What the caller has to do after an input: send the datagrams and react to the events, in order.
struct GossipOutput
{
    std::vector<Datagram> datagrams;
    std::vector<MemberEvent> events;
    std::vector<RevisionUpdate> revisionUpdates;
    std::vector<StateUpdate> stateUpdates;
};

}
