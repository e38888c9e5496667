#pragma once

#include "core/error.h"
#include "pooling/statement.h"

#include <boost/json/fwd.hpp>

namespace endiveshore::gateway {

/// JSON encoding of units of work and their results between daemons. Member names are short, so that most messages are
/// hardly longer than their statement. The readers fail with MalformedRequest.
boost::json::object toJson(const pooling::WorkUnit &unit);
boost::json::object toJson(const pooling::UnitResult &result);
boost::leaf::result<pooling::WorkUnit> workUnitFromJson(const boost::json::object &object);
boost::leaf::result<pooling::UnitResult> unitResultFromJson(const boost::json::object &object);

}
