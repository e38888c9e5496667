#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::gateway {

/// Daemons whose registration is missing since the store came back from an older copy. They count as registered until
/// they have had time to register anew, so that homes and shares of rates do not move.
class LostRegistrations
{
public:
    void add(std::string id, core::TimePoint now);

    /// The registration is back, or was removed in the present era.
    void remove(std::string_view id);

    /// Ids of the daemons whose time has passed while the store was reachable; each is returned once. @p storeContact
    /// is the last contact of any daemon with the store.
    std::vector<std::string> takeEnded(core::TimePoint storeContact);

private:
    std::map<std::string, core::TimePoint, std::less<>> lostAt;
};

}
