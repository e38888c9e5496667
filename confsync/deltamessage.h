#pragma once

#include "confsync/entrystore.h"
#include "core/error.h"

#include <boost/json/object.hpp>

/// Bodies of the peer message /peer/config.
namespace endiveshore::confsync {

/// `{"kind":"changes"|"full"|"same","since","revision","digest","unchanged":[key],
/// "entries":[{"key","version","value"|"value_base64"|"deleted"}]}`. The digest is hexadecimal. Values that are not
/// valid UTF-8 travel as base64.
boost::json::object deltaToJson(const Delta &delta);

/// Inverse of deltaToJson(). Fails with MalformedRequest and the path of the member for wrong types, versions outside
/// 1..revision, and deleted entries in a full delta.
boost::leaf::result<Delta> deltaFromJson(const boost::json::object &message);

/// Request for the delta that leads from the state of @p store on: `{"since","digest"}`.
boost::json::object deltaRequest(const EntryStore &store);

/// Answer of @p store to deltaRequest(). Fails with MalformedRequest without a valid revision.
boost::leaf::result<boost::json::object> answerDeltaRequest(const EntryStore &store,
                                                            const boost::json::object &request);

}
