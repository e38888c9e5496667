#pragma once

#include "gateway/regionmeter.h"
#include "net/peerclient.h"

namespace endiveshore::gateway {

/// Options for connections to other daemons. A connection that has gone silent is closed while a request on it can
/// still be repeated in time.
/// @p meter counts the exchanges with other regions; null for none.
net::PeerClientOptions peerClientOptions(const RegionMeter *meter);

}
