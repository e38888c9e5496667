#pragma once

#include "confsync/entrystore.h"
#include "core/error.h"

#include <boost/json/object.hpp>

/// Bodies of the peer message /peer/config.
namespace endiveshore::confsync {

/// `{"kind":"changes"|"full"|"same","since","revision","digest","unchanged":[key],
/// "entries":[{"key","version","value"|"value_base64"|"deleted"}]}`. The digest is hexadecimal. Values that are not
/// valid UTF-8 are sent as base64.
boost::json::object deltaToJson(const Delta &delta);

/// Inverse of deltaToJson(). Fails with MalformedRequest and the path of the member for wrong types, versions outside
/// 1..revision, and deleted entries in a full delta.
boost::leaf::result<Delta> deltaFromJson(const boost::json::object &message);

/// Request for the delta from the state of @p store to the state of the receiver: `{"since","digest"}`.
boost::json::object deltaRequest(const EntryStore &store);

/// Answers a deltaRequest() of another daemon with a delta from @p store. Fails with MalformedRequest if `since` is not
/// a revision.
boost::leaf::result<boost::json::object> answerDeltaRequest(const EntryStore &store,
                                                            const boost::json::object &request);

}
