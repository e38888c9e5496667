#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace endiveshore::standins {

/// A parsed statement of the stand-in database.
struct Statement
{
    enum class Kind {
        Put, ///< Sets the key; the result is the value.
        Get, ///< The result is the value, or null.
        Append, ///< Appends to the key's JSON array; the result is the new length.
        Add, ///< Adds to the key's integer; the result is the new value.
        Sleep, ///< Occupies a slot; the result is null.
    };

    Kind kind = Kind::Get;
    std::string key;
    boost::json::value value;
    std::int64_t amount = 0;
    std::int64_t sleepMs = 0;

    bool isWrite() const;
    boost::json::object toJson() const;

    /// Parses `{"op",..}`; no value if the operation is unknown or a member is missing.
    static std::optional<Statement> parse(const boost::json::object &object);
};

/// Key-value map that executes statements deterministically. Does no I/O.
class KeyValueStore
{
public:
    /// Runs @p statement and returns its result; no value if the statement does not support the type of the stored
    /// value. A failed statement changes nothing.
    std::optional<boost::json::value> execute(const Statement &statement);

    const boost::json::value *find(const std::string &key) const;
    void assign(const std::string &key, boost::json::value value);
    void clear();

private:
    std::unordered_map<std::string, boost::json::value> values;
};

}
