#pragma once

#include "confsync/entrystore.h"
#include "core/error.h"

#include <boost/json/object.hpp>

/// Bodies of the peer message /peer/config.
namespace endiveshore::confsync {

/// `{"since","revision","full","entries":[{"key","version","value"|"value_base64"|"deleted"}]}`. Values that are not
/// valid UTF-8 travel as base64.
boost::json::object deltaToJson(const Delta &delta);

/// Inverse of deltaToJson(). Fails with MalformedRequest and the path of the member for wrong types, versions outside
/// 1..revision, and deleted entries in a full delta.
boost::leaf::result<Delta> deltaFromJson(const boost::json::object &message);

}
