#include "limits/witnesses.h"

#include "core/hashing.h"

namespace endiveshore::limits {

WitnessSet witnessesOf(std::string_view workspace, std::span<const std::string> members)
{
    if (members.size() <= MaximumWitnesses) {
        return {.members = std::vector<std::string>(members.begin(), members.end()),
                .required = members.size() / 2 + 1};
    }
    std::vector<std::string> ordered = core::rendezvousOrder(workspace, members);
    ordered.resize(MaximumWitnesses);
    return {.members = std::move(ordered), .required = RequiredWitnesses};
}

}
