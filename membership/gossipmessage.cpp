#include "membership/gossipmessage.h"

#include "core/json.h"

#include <array>

namespace endiveshore::membership {

namespace json = boost::json;

namespace {

// In the order of GossipType.
constexpr std::array<std::string_view, 7> TypeNames{"ping", "ack", "req", "iack", "sync", "state", "notice"};
constexpr std::string_view MemberListStart = ",\"m\":[";
constexpr std::string_view StateListStart = ",\"a\":[";
// Bytes of a datagram besides the header and the list entries: the starts and closing brackets of both lists and the
// closing brace.
constexpr std::size_t FrameBytes = MemberListStart.size() + StateListStart.size() + 3;
constexpr std::size_t MemberFields = 8;
constexpr std::size_t StateFields = 4;

core::Failure malformed(std::string message)
{
    return {core::ResultCode::MalformedRequest, std::move(message), {}};
}

std::uint64_t numberOf(const json::value &value)
{
    json::error_code error;
    const std::uint64_t number = value.to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

std::int64_t signedNumberOf(const json::value &value)
{
    json::error_code error;
    const std::int64_t number = value.to_number<std::int64_t>(error);
    return error ? 0 : number;
}

std::uint64_t numberOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_number() ? numberOf(*value) : 0;
}

std::string textOf(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : std::string();
}

boost::leaf::result<Member> parseMember(const json::value &value)
{
    const json::array *fields = value.if_array();
    if (fields == nullptr || fields->size() != MemberFields) {
        return boost::leaf::new_error(malformed("gossip member entry has the wrong number of fields"));
    }
    Member member;
    member.id = textOf((*fields)[0]);
    member.address = textOf((*fields)[1]);
    member.dataCentre = textOf((*fields)[2]);
    member.region = textOf((*fields)[3]);
    const std::uint64_t state = numberOf((*fields)[4]);
    member.incarnation = numberOf((*fields)[5]);
    member.refutation = numberOf((*fields)[6]);
    member.configRevision = numberOf((*fields)[7]);
    if (member.id.empty() || member.address.empty() || state > static_cast<std::uint64_t>(MemberState::Left)) {
        return boost::leaf::new_error(malformed("gossip member entry has no id, no address or an unknown state"));
    }
    member.state = static_cast<MemberState>(state);
    return member;
}

boost::leaf::result<std::pair<std::string, StateValue>> parseState(const json::value &value)
{
    const json::array *fields = value.if_array();
    if (fields == nullptr || fields->size() != StateFields || !(*fields)[0].is_string()) {
        return boost::leaf::new_error(malformed("gossip state entry has the wrong number of fields or no key"));
    }
    StateValue state{signedNumberOf((*fields)[1]), textOf((*fields)[2]), signedNumberOf((*fields)[3])};
    return std::pair(textOf((*fields)[0]), std::move(state));
}

json::object headerObject(const GossipHeader &header)
{
    json::object object;
    object["t"] = json::string_view(TypeNames[static_cast<std::size_t>(header.type)].data());
    object["f"] = header.sender;
    if (header.sequence != 0) {
        object["s"] = header.sequence;
    }
    if (header.revision != 0) {
        object["v"] = header.revision;
    }
    if (!header.target.empty()) {
        object["x"] = header.target;
    }
    if (!header.targetAddress.empty()) {
        object["xa"] = header.targetAddress;
    }
    if (header.wantsEntry) {
        object["w"] = 1;
    }
    if (header.digest) {
        object["d"] = json::array{
            header.digest->bucket, header.digest->count, header.digest->hash, header.digest->answer ? 1 : 0};
    }
    if (header.memberCount != 0) {
        object["c"] = json::array{header.memberCount, header.stateCount};
    }
    return object;
}

}

boost::leaf::result<GossipMessage> parseGossip(std::string_view text)
{
    BOOST_LEAF_AUTO(object, core::parseJsonObject(text));
    GossipMessage message;
    GossipHeader &header = message.header;
    const std::string type = core::jsonString(object, "t");
    std::size_t index = 0;
    while (index < TypeNames.size() && TypeNames[index] != type) {
        ++index;
    }
    header.sender = core::jsonString(object, "f");
    if (index == TypeNames.size() || header.sender.empty()) {
        return boost::leaf::new_error(malformed("gossip header has an unknown type or no sender"));
    }
    header.type = static_cast<GossipType>(index);
    header.sequence = numberOf(object, "s");
    header.revision = numberOf(object, "v");
    header.target = core::jsonString(object, "x");
    header.targetAddress = core::jsonString(object, "xa");
    header.wantsEntry = numberOf(object, "w") != 0;
    if (const json::array *digest = core::jsonArray(object, "d"); digest != nullptr && digest->size() == 4) {
        header.digest = SyncDigest{numberOf((*digest)[0]),
                                   std::max<std::uint64_t>(1, numberOf((*digest)[1])),
                                   numberOf((*digest)[2]),
                                   numberOf((*digest)[3]) != 0};
    }
    if (const json::array *counts = core::jsonArray(object, "c"); counts != nullptr && counts->size() == 2) {
        header.memberCount = numberOf((*counts)[0]);
        header.stateCount = numberOf((*counts)[1]);
    }
    if (const json::array *members = core::jsonArray(object, "m")) {
        for (const json::value &value : *members) {
            BOOST_LEAF_AUTO(member, parseMember(value));
            message.members.push_back(std::move(member));
        }
    }
    if (const json::array *states = core::jsonArray(object, "a")) {
        for (const json::value &value : *states) {
            BOOST_LEAF_AUTO(state, parseState(value));
            message.states.push_back(std::move(state));
        }
    }
    return message;
}

GossipWriter::GossipWriter(const GossipHeader &header, std::size_t maxBytes)
    : head(json::serialize(headerObject(header)))
    , maxBytes(maxBytes)
{
    // The lists follow the header inside the same JSON object; finish() closes the object.
    this->head.pop_back();
}

bool GossipWriter::append(std::string &list, const std::string &entry)
{
    if (this->size() + entry.size() + 1 > this->maxBytes) {
        return false;
    }
    if (!list.empty()) {
        list.push_back(',');
    }
    list.append(entry);
    return true;
}

bool GossipWriter::addMember(const Member &member)
{
    const json::array fields{member.id,
                             member.address,
                             member.dataCentre,
                             member.region,
                             static_cast<int>(member.state),
                             member.incarnation,
                             member.refutation,
                             member.configRevision};
    return this->append(this->memberList, json::serialize(fields));
}

bool GossipWriter::addState(std::string_view key, const StateValue &value)
{
    const json::array fields{json::string_view(key.data(), key.size()), value.number, value.text, value.version};
    return this->append(this->stateList, json::serialize(fields));
}

std::size_t GossipWriter::size() const
{
    return this->head.size() + this->memberList.size() + this->stateList.size() + FrameBytes;
}

std::string GossipWriter::finish()
{
    std::string text = std::move(this->head);
    if (!this->memberList.empty()) {
        text.append(MemberListStart).append(this->memberList).push_back(']');
    }
    if (!this->stateList.empty()) {
        text.append(StateListStart).append(this->stateList).push_back(']');
    }
    text.push_back('}');
    return text;
}

}
