#pragma once

#include "standins/revisionstore.h"

#include <boost/json.hpp>

/// Conversion between the JSON of etcd's v3 gateway and the operations of RevisionStore. Keys and values are encoded in
/// base64, 64-bit integers are written as strings and read as strings or numbers, and fields with zero values are left
/// out.
/// Malformed requests throw core::Error(MalformedRequest).
namespace endiveshore::standins {

struct Transaction
{
    std::vector<Compare> compares;
    std::vector<Operation> success;
    std::vector<Operation> failure;
};

struct WatchRequest
{
    KeyRange range;
    std::int64_t startRevision = 0; ///< First revision to report; 0 = changes after the current revision.
    bool progressNotify = false;
};

/// Integer member @p name, written as a string or as a number.
std::int64_t gatewayInteger(const boost::json::object &object, std::string_view name);

RangeOperation parseRange(const boost::json::object &body);
PutOperation parsePut(const boost::json::object &body);
DeleteOperation parseDelete(const boost::json::object &body);
Transaction parseTransaction(const boost::json::object &body);
WatchRequest parseWatch(const boost::json::object &body);

boost::json::object headerJson(std::int64_t revision);
boost::json::object keyJson(const KeyRevision &entry);
boost::json::object rangeJson(const RangeResult &result, std::int64_t revision);
boost::json::object putJson(std::int64_t revision);
boost::json::object deleteJson(const OperationResult &result, std::int64_t revision);
boost::json::object transactionJson(bool succeeded,
                                    const std::vector<Operation> &operations,
                                    const std::vector<OperationResult> &results,
                                    std::int64_t revision);

/// One watch event: PUT (the default, left out) or DELETE.
boost::json::object eventJson(const KeyRevision &entry);

}
