#pragma once

#include "core/error.h"
#include "routing/serverload.h"

#include <boost/json/fwd.hpp>

namespace endiveshore::reports {

/// Encodes each load as five whole numbers: pressure, failing, slowness, delay and age. Later versions may append more.
boost::json::object serverLoadsToJson(const routing::ServerLoads &loads);

/// The loads @p name of @p object; none if they are missing, as in the reports of daemons that do not measure them.
/// Fails with MalformedRequest.
boost::leaf::result<routing::ServerLoads> serverLoadsFromJson(const boost::json::object &object, std::string_view name);

/// Adds @p elapsed to the ages of @p loads.
routing::ServerLoads aged(routing::ServerLoads loads, core::Duration elapsed);

}
