#include "gateway/configuration.h"

namespace endiveshore::gateway {

namespace {

/// Highest priority number of the routes that get the most urgent class.
constexpr int LastUrgentPriority = 1;

}

queueing::Priority urgencyOf(const Route &route)
{
    if (route.priority <= LastUrgentPriority) {
        return queueing::Priority::Write;
    }
    return route.kind == RouteKind::Bounded ? queueing::Priority::StaleRead : queueing::Priority::Read;
}

}
