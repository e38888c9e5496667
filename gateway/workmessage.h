#pragma once

#include "core/error.h"
#include "pooling/statement.h"

#include <boost/json/fwd.hpp>

namespace endiveshore::gateway {

/// Units of work and their results between daemons: JSON with short names, as most messages are about as long as their
/// statement. The readers fail with MalformedRequest.
boost::json::object toJson(const pooling::WorkUnit &unit);
boost::json::object toJson(const pooling::UnitResult &result);
boost::leaf::result<pooling::WorkUnit> workUnitFromJson(const boost::json::object &object);
boost::leaf::result<pooling::UnitResult> unitResultFromJson(const boost::json::object &object);

}
