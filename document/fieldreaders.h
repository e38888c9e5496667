#pragma once

#include "core/error.h"

#include <boost/json.hpp>

#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Strict readers of document fields. A structure is read by a table that holds the name and the reader of each field.
namespace endiveshore::document {

using ReadResult = boost::leaf::result<void>;

/// Returns the failure InvalidDocument at @p path.
ReadResult refuse(std::string path, std::string message);

/// Short description of @p value for error messages, for example `the text "1s"`.
std::string describeValue(const boost::json::value &value);

/// Path of member @p name of the object at @p path.
std::string memberPath(const std::string &path, std::string_view name);

/// Path of element @p index of the array at @p path.
std::string elementPath(const std::string &path, std::size_t index);

struct IntegerRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit; ///< Unit for error messages, in the plural; empty for a plain count.
};

struct NumberRange
{
    double minimum = 0;
    double maximum = 0;
    std::string_view unit; ///< Unit for error messages, in the plural; empty for a plain number.
};

struct CountRange
{
    std::size_t minimum = 0;
    std::size_t maximum = 0;
    std::string_view noun; ///< Name of the elements for error messages, in the plural.
};

/// Reads a name of ASCII letters, digits, '-', '_' and '.' that starts with a letter or digit.
ReadResult readIdentifier(const boost::json::value &value, const std::string &path, std::string &target);
/// Reads a display name: any text without control characters or surrounding blanks.
ReadResult readLabel(const boost::json::value &value, const std::string &path, std::string &target);
/// Reads an IPv4 address of the form ip:port.
ReadResult readAddress(const boost::json::value &value, const std::string &path, std::string &target);
ReadResult readBoolean(const boost::json::value &value, const std::string &path, bool &target);
ReadResult
readInteger(const boost::json::value &value, const std::string &path, const IntegerRange &range, std::int64_t &target);
ReadResult
readNumber(const boost::json::value &value, const std::string &path, const NumberRange &range, double &target);
/// Fails if @p value is not an array or the number of its elements is outside @p range.
ReadResult checkCount(const boost::json::value &value, const std::string &path, const CountRange &range);

/// Table entry for one field of @p Struct.
template<typename Struct>
struct Field
{
    std::string_view name;
    bool required = true;
    ReadResult (*read)(const boost::json::value &value, const std::string &path, Struct &target) = nullptr;
};

/// Reads an object by the table of its fields: first refuses unknown fields, then reads the known fields in table order
/// and fails at the first invalid field or missing required field.
template<typename Struct>
ReadResult readObject(const boost::json::value &value,
                      const std::string &path,
                      std::span<const Field<Struct>> fields,
                      Struct &target)
{
    const boost::json::object *object = value.if_object();
    if (object == nullptr) {
        return refuse(path, "an object is required, not " + describeValue(value));
    }
    for (const auto &member : *object) {
        const std::string_view name(member.key().data(), member.key().size());
        bool known = false;
        std::string accepted;
        for (const Field<Struct> &field : fields) {
            known = known || field.name == name;
            accepted += (accepted.empty() ? "" : ", ") + std::string(field.name);
        }
        if (!known) {
            return refuse(memberPath(path, name), "unknown field; accepted here: " + accepted);
        }
    }
    for (const Field<Struct> &field : fields) {
        const boost::json::value *member = object->if_contains({field.name.data(), field.name.size()});
        if (member == nullptr && field.required) {
            return refuse(memberPath(path, field.name), "the field is required");
        }
        if (member == nullptr) {
            continue;
        }
        if (ReadResult result = field.read(*member, memberPath(path, field.name), target); !result) {
            return result;
        }
    }
    return {};
}

/// Reads an array and calls @p readElement(value, path, element) for each element.
template<typename Element, typename ReadElement>
ReadResult readList(const boost::json::value &value,
                    const std::string &path,
                    const CountRange &range,
                    std::vector<Element> &target,
                    ReadElement readElement)
{
    if (ReadResult result = checkCount(value, path, range); !result) {
        return result;
    }
    for (const boost::json::value &element : value.get_array()) {
        Element &added = target.emplace_back();
        if (ReadResult result = readElement(element, elementPath(path, target.size() - 1), added); !result) {
            return result;
        }
    }
    return {};
}

}
