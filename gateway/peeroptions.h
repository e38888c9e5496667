#pragma once

#include "net/peerclient.h"

namespace endiveshore::gateway {

/// Options for connections to other daemons. A connection that has gone silent is closed while a request on it can
/// still be repeated in time.
net::PeerClientOptions peerClientOptions();

}
