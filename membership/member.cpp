#include "membership/member.h"

#include <tuple>

namespace endiveshore::membership {

std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        break;
    }
    return "left";
}

bool isNewer(const StateValue &candidate, const StateValue &current)
{
    return std::tie(candidate.version, candidate.number, candidate.text)
        > std::tie(current.version, current.number, current.text);
}

}
