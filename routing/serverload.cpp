#include "routing/serverload.h"

namespace endiveshore::routing {

void addYounger(ServerLoads &known, const ServerLoads &loads)
{
    for (const auto &[server, load] : loads) {
        const auto [found, isNew] = known.try_emplace(server, load);
        if (!isNew && load.age < found->second.age) {
            found->second = load;
        }
    }
}

}
