#pragma once

#include "store/storeclient.h"

#include <boost/json.hpp>

/// Messages of etcd's v3 JSON gateway. Keys and values are base64; 64-bit integers are strings, and fields with zero
/// values are omitted.
namespace endiveshore::store {

boost::json::object rangeMessage(std::string_view prefix, std::string_view from, const RangeOptions &options);
boost::json::object getMessage(std::string_view key);
boost::json::object swapMessage(std::string_view key, std::int64_t expectedVersion, std::string_view value);
boost::json::object removeMessage(std::string_view key, std::int64_t expectedVersion);
boost::json::object watchMessage(const WatchOptions &options);

/// Integer member @p name, written as a string or as a number; 0 if it is missing or invalid.
std::int64_t messageInteger(const boost::json::object &object, std::string_view name);

/// Store revision in the header of a response.
std::int64_t messageRevision(const boost::json::object &response);

/// Entries of a range response.
std::vector<StoreEntry> messageEntries(const boost::json::object &response);

/// Parses the response to a message of swapMessage() or removeMessage().
SwapResult swapResult(const boost::json::object &response);

/// Events of a watch response.
std::vector<StoreEvent> messageEvents(const boost::json::object &result);

}
